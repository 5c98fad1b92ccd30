import { expect } from "earl";
import { once } from "node:events";
import { type AddressInfo, connect, type Socket } from "node:net";
import { describe, it } from "node:test";
import { DrainableServer } from "../../../src/node/httpServer/index.js";
import { createSystemClock } from "../../../src/utils/index.js";

const timeLimit = 200;

describe("HTTP server that stops listening", () => {
    // Guards against a shutdown that outlasts its time because connections keep arriving.
    it("accepts waiting connections for no longer than the time limit", async () => {
        const server = new DrainableServer({}, () => {}, createSystemClock());
        server.listen(0, "127.0.0.1");
        await once(server, "listening");
        const { port } = server.address() as AddressInfo;
        const sockets: Socket[] = [];
        let isOver = false;
        const open = (): void => {
            // Each iteration of the event loop takes some time and finds another connection.
            const busyUntil = performance.now() + 5;
            while (performance.now() < busyUntil) {
                // Busy wait.
            }
            if (!isOver) {
                sockets.push(connect(port, "127.0.0.1").on("error", () => {}));
                setImmediate(open);
            }
        };
        open();
        const startedAt = performance.now();
        await server.stopAccepting(timeLimit);
        isOver = true;
        expect(performance.now() - startedAt).toBeLessThan(5 * timeLimit);
        sockets.forEach(socket => socket.destroy());
        server.closeAllConnections();
    });
});
