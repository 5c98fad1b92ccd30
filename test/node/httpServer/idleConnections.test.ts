import { expect } from "earl";
import { once } from "node:events";
import type { AddressInfo } from "node:net";
import { connect, type Socket } from "node:net";
import { describe, it, mock } from "node:test";
import { type ConnectionCloseReason, DrainableServer } from "../../../src/node/httpServer/index.js";
import { createSystemClock } from "../../../src/utils/index.js";

describe("HTTP server", () => {
    it("closes an idle connection gracefully after the stated limit", async () => {
        const reasons: ConnectionCloseReason[] = [];
        const server = new DrainableServer({}, (...[, response]) => void response.end("answer"), createSystemClock(), {
            onClose: reason => reasons.push(reason),
        });
        server.keepAliveTimeout = 1_000;
        server.listen(0, "127.0.0.1");
        await once(server, "listening");
        const socket = connect((server.address() as AddressInfo).port, "127.0.0.1");
        let text = "";
        socket.on("data", part => {
            text += part.toString();
        });
        socket.write("GET / HTTP/1.1\r\nhost: entry\r\n\r\n");
        const startedAt = performance.now();
        await once(socket, "end");
        expect(performance.now() - startedAt).toBeGreaterThan(2_000);
        expect([text.includes("\r\nKeep-Alive: timeout=1\r\n"), reasons]).toEqual([true, ["idle"]]);
        server.close();
        await once(server, "close");
    });

    // Guards against servers that wake up the process without having a connection to check.
    it("looks for connections to close only while there are any", async t => {
        const starts = mock.method(globalThis, "setInterval");
        const ends = mock.method(globalThis, "clearInterval");
        t.after(() => mock.restoreAll());
        const countChecks = (): number => {
            const ended = new Set(ends.mock.calls.map(({ arguments: [timer] }) => timer));
            const running = starts.mock.calls.filter(({ arguments: [, delay], result }) =>
                delay === 250 && !ended.has(result)
            );
            return running.length;
        };
        const server = new DrainableServer({}, (...[, response]) => void response.end(), createSystemClock());
        server.listen(0, "127.0.0.1");
        await once(server, "listening");
        const before = countChecks();
        const accepted = once(server, "connection");
        const socket = connect((server.address() as AddressInfo).port, "127.0.0.1");
        const [connection] = await accepted as [Socket];
        const during = countChecks();
        socket.destroy();
        await once(connection, "close");
        expect([before, during, countChecks()]).toEqual([0, 1, 0]);
        server.close();
        await once(server, "close");
    });
});
