import { expect } from "earl";
import { createServer, type Socket } from "node:net";
import { describe, it } from "node:test";
import { createHttpClient } from "../../src/node/httpClient/index.js";

/** How the server ends the connections of requests by path, in order of the requests. */
type Endings = Readonly<Record<string, (socket: Socket) => void>>;

/** Sends the same bytes as the answer to a request for each path, and ends its connection as told. */
async function receiveAll(
    answer: string,
    endings: Endings,
    method = "GET",
): Promise<Readonly<Record<string, string>>> {
    const server = createServer(socket => {
        socket.on("error", () => {});
        socket.once("data", (bytes: Buffer) => {
            const path = bytes.toString().split(" ")[1]!;
            socket.write(answer, () => endings[path]!(socket));
        });
    });
    await new Promise<void>(resolve => {
        server.listen(0, "127.0.0.1", resolve);
    });
    const { port } = server.address() as { readonly port: number; };
    await using client = createHttpClient({ baseUrl: `http://127.0.0.1:${port}` });
    const received = await Promise.all(
        Object.keys(endings).map(async path => {
            const outcome = await client.send({ method, path });
            return [path, outcome.isOk ? Buffer.from(outcome.value.body).toString() : outcome.error.reason] as const;
        }),
    );
    server.close();
    return Object.fromEntries(received);
}

/** Sends bytes as the answer to a request, then ends the connection. */
async function receive(answer: string, end: (socket: Socket) => void): Promise<string> {
    const received = await receiveAll(answer, { "/": socket => setTimeout(() => end(socket), 20) });
    return received["/"]!;
}

describe("answer whose end is the end of its connection", () => {
    const unframed = "HTTP/1.1 200 OK\r\n\r\npart";
    const closing = "HTTP/1.1 200 OK\r\nconnection: close\r\ntransfer-encoding: chunked\r\n\r\n4\r\npart\r\n";

    it("is complete when the connection is closed in order", async () => {
        expect(await receive(unframed, socket => socket.end())).toEqual("part");
    });

    it("is broken off when the connection is reset", async () => {
        expect(await receive(unframed, socket => socket.resetAndDestroy())).toEqual("connection");
    });

    it("is broken off when it is reset before the last chunk", async () => {
        expect(await receive(closing, socket => socket.resetAndDestroy())).toEqual("connection");
    });

    it("is broken off when the reset comes with its bytes", async () => {
        const endings: Record<string, (socket: Socket) => void> = {};
        for (let index = 0; index < 50; index++) {
            endings[`/${index}`] = socket => socket.resetAndDestroy();
        }
        const received = await receiveAll(unframed, endings);
        expect(new Set(Object.values(received))).toEqual(new Set(["connection"]));
    });

    for (const codings of ["chunked, gzip", "xchunked", "chunked;q=1"]) {
        it(`is broken off by a reset when its transfer codings are not framed by chunks: ${codings}`, async () => {
            const answer = `HTTP/1.1 200 OK\r\ntransfer-encoding: ${codings}\r\n\r\npart`;
            expect(await receive(answer, socket => socket.resetAndDestroy())).toEqual("connection");
        });
    }

    it("does not depend on how other connections to the same peer end", async () => {
        const received = await receiveAll(unframed, {
            "/late": socket => setTimeout(() => socket.end(), 60),
            "/reset": socket => setTimeout(() => socket.resetAndDestroy(), 30),
        });
        expect(received).toEqual({ "/late": "part", "/reset": "connection" });
    });
});

describe("answer without a body", () => {
    it("is complete on an open connection when it answers a HEAD request without naming a length", async () => {
        const received = await receiveAll("HTTP/1.1 200 OK\r\n\r\n", { "/": socket => socket.unref() }, "HEAD");
        expect(received).toEqual({ "/": "" });
    });
});
