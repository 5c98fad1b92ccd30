import { create } from "@bufbuild/protobuf";
import { expect } from "earl";
import { createServer } from "node:http";
import { connect } from "node:net";
import { describe, it } from "node:test";
import { ResponseStartSchema } from "../../../src/generated/goldcrestpoint_pb.js";
import { createHttpSink } from "../../../src/node/entry/httpSink.js";

/** More than the sink holds back. */
const content = Buffer.alloc(33 * 1024 * 1024, "a");

/** Calls a server whose answer breaks off after its head was sent, and tells how the connection ended. */
async function receiveBroken(version: "1.0" | "1.1"): Promise<{ readonly ended: string; readonly text: string; }> {
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
        // A reset that arrives together with the last bytes is reported as an end, but leaves the socket without a peer.
        socket.on("end", () => finish(socket.remoteAddress === undefined ? "by a reset" : "in order"));
        socket.on("error", () => finish("by a reset"));
    });
}

describe("HTTP answer that breaks off after its head was sent", () => {
    it("has no last chunk for a caller that speaks HTTP/1.1", async () => {
        expect((await receiveBroken("1.1")).text.endsWith("0\r\n\r\n")).toEqual(false);
    });

    it("does not look complete to a caller that speaks HTTP/1.0", async () => {
        expect((await receiveBroken("1.0")).ended).toEqual("by a reset");
    });
});
