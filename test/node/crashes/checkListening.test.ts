import { expect } from "earl";
import { createServer, type Server } from "node:net";
import { describe, it } from "node:test";
import { checkListening } from "../../../src/node/crashes/index.js";
import { splitAddress } from "../../../src/node/httpServer/index.js";
import { findFreePorts } from "../../../src/standIn/index.js";

describe("check of an address", () => {
    // Guards against a backend server that is taken for ended because one of its connections broke.
    it("tells a process that listens from one that has ended", async () => {
        const [port] = await findFreePorts(1);
        const address = `127.0.0.1:${port}`;
        expect(await checkListening(address, 1_000)).toEqual("refused");
        const server = await new Promise<Server>(resolve => {
            const started = createServer().listen(splitAddress(address), () => resolve(started));
        });
        expect(await checkListening(address, 1_000)).toEqual("listening");
        await new Promise(resolve => server.close(resolve));
    });

    // Guards against the end of a backend server that goes unnoticed because the gateway was held up meanwhile.
    it("counts an answer that came while the process was held up", async () => {
        const [port] = await findFreePorts(1);
        const checked = checkListening(`127.0.0.1:${port}`, 50);
        const endsAt = Date.now() + 200;
        while (Date.now() < endsAt) {
            // Holds the event loop up.
        }
        expect(await checked).toEqual("refused");
    });
});
