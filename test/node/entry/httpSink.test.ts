import { create } from "@bufbuild/protobuf";
import { expect } from "earl";
import { createServer, IncomingMessage, ServerResponse } from "node:http";
import { connect, Socket } from "node:net";
import { describe, it } from "node:test";
import { ResponseStartSchema } from "../../../src/generated/goldcrestpoint_pb.js";
import type { AttemptSink } from "../../../src/node/entry/attempt.js";
import { createHttpSink, HeldAnswerEvictedError } from "../../../src/node/entry/httpSink.js";
import { createResponseMemoryLimit } from "../../../src/node/httpClient/index.js";

/** Larger than the 32 MiB that the sink holds back. */
const content = Buffer.alloc(33 * 1024 * 1024, "a");

/** Calls a server whose answer breaks off after its headers were sent, and returns how the connection ended. */
async function receiveBrokenAnswer(
    version: "1.0" | "1.1",
): Promise<{ readonly ended: string; readonly text: string; }> {
    const server = createServer((...[, response]) => {
        const sink = createHttpSink(response, "request-1", () => {});
        const attempt = sink.beginAttempt();
        attempt.start(create(ResponseStartSchema, { status: 200, contentType: "application/octet-stream" }));
        void attempt.data(content);
        setTimeout(() => sink.refuse({ ran: "unknown", reason: "connection-lost", retryAfterSeconds: 0 }), 300);
    });
    await new Promise<void>(resolve => {
        server.listen(0, "127.0.0.1", resolve);
    });
    const { port } = server.address() as { readonly port: number; };
    return new Promise(resolve => {
        let text = "";
        const socket = connect(port, "127.0.0.1", () => socket.write(`GET / HTTP/${version}\r\nhost: entry\r\n\r\n`));
        const finish = (ended: string): void => {
            server.close();
            resolve({ ended, text });
        };
        socket.on("data", (bytes: Buffer) => {
            text = (text + bytes.toString("latin1")).slice(-100);
        });
        // A reset that arrives together with the last bytes is reported as `end`, but the socket then has no peer.
        socket.on("end", () => finish(socket.remoteAddress === undefined ? "by a reset" : "in order"));
        socket.on("error", () => finish("by a reset"));
    });
}

describe("HTTP answer that breaks off after its headers were sent", () => {
    // Guards against a broken answer that the caller takes for a complete one.
    it("has no last chunk for an HTTP/1.1 caller", async () => {
        expect((await receiveBrokenAnswer("1.1")).text.endsWith("0\r\n\r\n")).toEqual(false);
    });

    // HTTP/1.0 has no chunked encoding, so the end of the connection is the end of the answer unless it is a reset.
    it("ends with a reset for an HTTP/1.0 caller", async () => {
        expect((await receiveBrokenAnswer("1.0")).ended).toEqual("by a reset");
    });
});

describe("HTTP answers that are held back at the same time", () => {
    // Guards against an entry instance that runs out of memory by the endless answers of a faulty backend server.
    it("are dropped, the largest one first, once they exceed their memory limit together", () => {
        const memoryLimit = createResponseMemoryLimit(1_000);
        const attempts = [0, 1, 2].map(() => {
            const response = new ServerResponse(new IncomingMessage(new Socket()));
            const attempt = createHttpSink(response, "request-1", () => {}, memoryLimit).beginAttempt();
            attempt.start(create(ResponseStartSchema, { status: 200, contentType: "application/json" }));
            return attempt;
        });
        const [endless, other, last] = attempts as [AttemptSink, AttemptSink, AttemptSink];
        void other.data(Buffer.alloc(300));
        void endless.data(Buffer.alloc(600));
        void last.data(Buffer.alloc(200));
        expect(memoryLimit.total()).toEqual(500);
        expect(() => endless.data(Buffer.alloc(1))).toThrow(HeldAnswerEvictedError);
        void other.data(Buffer.alloc(100));
        expect(memoryLimit.total()).toEqual(600);
    });
});
