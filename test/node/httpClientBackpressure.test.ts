import { expect } from "earl";
import { createServer, type Socket } from "node:net";
import { describe, it } from "node:test";
import { createHttpClient, type HttpFailure } from "../../src/node/httpClient/index.js";

const pauseMilliseconds = 30;
/** Two parts of this size exceed what undici buffers before it pauses its parser. */
const part = "x".repeat(40_000);

function wait(milliseconds: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, milliseconds));
}

/** Reads a response of two parts only after its connection has ended. */
async function readLate(
    head: string,
    end: (socket: Socket) => void,
    maximumBodyBytes?: number,
): Promise<number | string> {
    const server = createServer(socket => {
        socket.on("error", () => {});
        socket.once("data", () => {
            socket.write(head + part);
            setTimeout(() => socket.write(part), pauseMilliseconds);
            setTimeout(() => end(socket), 2 * pauseMilliseconds);
        });
    });
    // A call that never ends must not keep the test process alive.
    server.unref();
    await new Promise<void>(resolve => {
        server.listen(0, "127.0.0.1", resolve);
    });
    try {
        const { port } = server.address() as { readonly port: number; };
        await using client = createHttpClient({
            baseUrl: `http://127.0.0.1:${port}`,
            timeouts: { idle: 1_000 },
            maximumBodyBytes,
        });
        const opened = await client.open({ method: "GET", path: "/" });
        if (opened.isErr) {
            return opened.error.reason;
        }
        await wait(5 * pauseMilliseconds);
        let bytes = 0;
        try {
            for await (const { length } of opened.value.body) {
                bytes += length;
            }
        }
        catch (error) {
            const { reason } = (error as Error).cause as HttpFailure;
            return reason === "connection" ? "incomplete" : reason;
        }
        return bytes;
    }
    finally {
        server.close();
    }
}

describe("response that is read after its connection has ended", () => {
    const bytes = 2 * part.length;
    const unframed = "HTTP/1.1 200 OK\r\n\r\n";
    const closing = `HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: ${bytes}\r\n\r\n`;

    it("is complete without a length, and does not end the process", async () => {
        expect(await readLate(unframed, socket => socket.end())).toEqual(bytes);
    });

    it("is complete with a length and `connection: close`, and does not end the process", async () => {
        expect(await readLate(closing, socket => socket.end())).toEqual(bytes);
    });

    it("is complete with a length on a connection that was closed after it", async () => {
        expect(await readLate(closing.replace("close", "keep-alive"), socket => socket.end())).toEqual(bytes);
    });

    it("is incomplete without a length after a reset, and does not end the process", async () => {
        expect(await readLate(unframed, socket => socket.resetAndDestroy())).toEqual("incomplete");
    });

    it("is aborted when more of it is unread than the limit allows", async () => {
        expect(await readLate(closing, socket => socket.end(), part.length)).toEqual("too-large");
    });
});
