import { expect } from "earl";
import { createServer, type ServerResponse } from "node:http";
import { type AddressInfo, connect } from "node:net";
import { describe, it } from "node:test";
import { abortResponse } from "../../../src/node/httpServer/index.js";

type Version = "1.0" | "1.1";

/** Sends a request; returns the text that was received until the connection ended, and whether it was reset. */
async function receive(version: Version, answer: (response: ServerResponse) => void): Promise<[string, boolean]> {
    const server = createServer((...[, response]) => answer(response));
    await new Promise<void>(resolve => {
        server.listen(0, "127.0.0.1", resolve);
    });
    const socket = connect((server.address() as AddressInfo).port, "127.0.0.1");
    const received = await new Promise<[string, boolean]>(resolve => {
        let text = "";
        socket.on("data", part => {
            text += part.toString();
        });
        socket.on("end", () => resolve([text, socket.remoteAddress === undefined]));
        socket.on("error", () => resolve([text, true]));
        socket.write(`GET / HTTP/${version}\r\nhost: entry\r\nconnection: close\r\n\r\n`);
    });
    socket.destroy();
    server.close();
    return received;
}

function sendPart(response: ServerResponse, then: () => void): void {
    response.writeHead(200, { "content-type": "text/plain" });
    response.write("part", () => setTimeout(then, 20));
}

describe("aborted response", () => {
    it("resets the connection if only its end marks the end of the response", async () => {
        const [text, wasReset] = await receive("1.0", response => sendPart(response, () => abortResponse(response)));
        expect([text.endsWith("part"), wasReset]).toEqual([true, true]);
    });

    it("closes the connection gracefully if the last chunk is missing", async () => {
        const [text, wasReset] = await receive("1.1", response => sendPart(response, () => abortResponse(response)));
        expect([text.endsWith("part\r\n"), wasReset]).toEqual([true, false]);
    });

    it("closes the connection gracefully if no head was sent", async () => {
        expect(await receive("1.0", abortResponse)).toEqual(["", false]);
    });

    it("differs from a complete response, which does not reset the connection", async () => {
        const [text, wasReset] = await receive("1.0", response => sendPart(response, () => response.end()));
        expect([text.endsWith("part"), wasReset]).toEqual([true, false]);
    });
});
