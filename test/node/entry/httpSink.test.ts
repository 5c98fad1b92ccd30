import { create } from "@bufbuild/protobuf";
import { expect } from "earl";
import { createServer } from "node:http";
import { connect } from "node:net";
import { describe, it } from "node:test";
import { ResponseStartSchema } from "../../../src/generated/goldcrestpoint_pb.js";
import { createHttpSink } from "../../../src/node/entry/httpSink.js";

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
