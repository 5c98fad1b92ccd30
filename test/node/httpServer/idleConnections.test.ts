import { expect } from "earl";
import { once } from "node:events";
import type { AddressInfo } from "node:net";
import { connect } from "node:net";
import { describe, it } from "node:test";
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
});
