import { expect } from "earl";
import { execFile } from "node:child_process";
import { createServer, type Server } from "node:net";
import { describe, it } from "node:test";
import { promisify } from "node:util";
import { startStandInServer } from "../../src/standIn/http/index.js";
import { findFreePorts } from "../../src/standIn/index.js";

const run = promisify(execFile);
// Linux assigns ports from here on, other systems from higher ones.
const firstAssignedPort = 32_768;

async function findInAnotherProcess(count: number): Promise<number[]> {
    const program = `const { findFreePorts } = await import("${import.meta.resolve("../../src/standIn/index.ts")}");` +
        `console.log(JSON.stringify(await findFreePorts(${count})));`;
    const { stdout } = await run(process.execPath, ["--import", "tsx", "--input-type=module", "--eval", program]);
    return JSON.parse(stdout) as number[];
}

// Guards against a test whose refusing address is taken by a stand-in of another test file, which then gets its requests.
describe("free ports of a test", () => {
    it("are none that the system assigns", async () => {
        expect((await findFreePorts(20)).filter(port => port >= firstAssignedPort)).toEqual([]);
    });

    it("are given to stand-ins, which may be suspended", async () => {
        await using server = await startStandInServer({}, () => []);
        expect(server.port < firstAssignedPort).toEqual(true);
    });

    it("are found by no other process meanwhile", async () => {
        const own = await findFreePorts(20);
        const others = (await Promise.all([findInAnotherProcess(150), findInAnotherProcess(150)])).flat();
        expect(new Set([...own, ...others]).size).toEqual(own.length + others.length);
    });

    it("are none on which something listens", async () => {
        const [port] = await findFreePorts(1);
        const server = await new Promise<Server>(resolve => {
            const started = createServer().listen(port, "127.0.0.1", () => resolve(started));
        });
        const found = [...await findFreePorts(120), ...await findFreePorts(120)];
        await new Promise(resolve => server.close(resolve));
        expect(found.includes(port!)).toEqual(false);
    });
});
