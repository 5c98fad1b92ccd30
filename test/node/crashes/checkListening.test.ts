import { expect } from "earl";
import { createServer, type Server } from "node:net";
import { describe, it } from "node:test";
import { checkListening } from "../../../src/node/crashes/index.js";
import { splitAddress } from "../../../src/node/httpServer/index.js";
import { findFreePorts } from "../../../src/standIn/index.js";

describe("check whether a process listens at an address", () => {
    // Guards against a backend server that is considered crashed because one of its connections broke.
    it("distinguishes a process that listens from one that has ended", async () => {
        const [port] = await findFreePorts(1);
        const address = `127.0.0.1:${port}`;
        expect(await checkListening(address, 1_000)).toEqual("refused");
        const server = await new Promise<Server>(resolve => {
            const started = createServer().listen(splitAddress(address), () => resolve(started));
        });
        expect(await checkListening(address, 1_000)).toEqual("listening");
        await new Promise(resolve => server.close(resolve));
    });

    // Guards against a crash that goes unnoticed because the event loop of the gateway was blocked at the time.
    it("uses an answer that arrived while the event loop was blocked", async () => {
        const [port] = await findFreePorts(1);
        const checked = checkListening(`127.0.0.1:${port}`, 50);
        const endsAt = Date.now() + 200;
        while (Date.now() < endsAt) {
            // Blocks the event loop.
        }
        expect(await checked).toEqual("refused");
    });
});
