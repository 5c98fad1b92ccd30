import { expect } from "earl";
import { execFile } from "node:child_process";
import { createServer, type Server } from "node:net";
import { describe, it } from "node:test";
import { promisify } from "node:util";
import { startStandInServer } from "../../src/standIn/http/index.js";
import { findFreePorts } from "../../src/standIn/index.js";

const run = promisify(execFile);
// First ephemeral port on Linux; on other systems the range begins higher.
const firstEphemeralPort = 32_768;

async function findInAnotherProcess(count: number): Promise<number[]> {
    const program = `const { findFreePorts } = await import("${import.meta.resolve("../../src/standIn/index.ts")}");` +
        `console.log(JSON.stringify(await findFreePorts(${count})));`;
    const { stdout } = await run(process.execPath, ["--import", "tsx", "--input-type=module", "--eval", program]);
    return JSON.parse(stdout) as number[];
}

// Guards against a test that expects its requests to be refused at a port that a stand-in of another test file uses by then.
describe("free ports", () => {
    it("are outside of the range that the system assigns", async () => {
        expect((await findFreePorts(20)).filter(port => port >= firstEphemeralPort)).toEqual([]);
    });

    it("are the default ports of stand-ins, which may be suspended", async () => {
        await using server = await startStandInServer({}, () => []);
        expect(server.port < firstEphemeralPort).toEqual(true);
    });

    it("are not returned to other processes at the same time", async () => {
        const own = await findFreePorts(20);
        const others = (await Promise.all([findInAnotherProcess(150), findInAnotherProcess(150)])).flat();
        expect(new Set([...own, ...others]).size).toEqual(own.length + others.length);
    });

    it("exclude ports that something listens on", async () => {
        const [port] = await findFreePorts(1);
        const server = await new Promise<Server>(resolve => {
            const started = createServer().listen(port, "127.0.0.1", () => resolve(started));
        });
        const found = [...await findFreePorts(120), ...await findFreePorts(120)];
        await new Promise(resolve => server.close(resolve));
        expect(found.includes(port!)).toEqual(false);
    });
});
