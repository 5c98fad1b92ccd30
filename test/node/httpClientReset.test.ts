import { expect } from "earl";
import { createServer, type Socket } from "node:net";
import { describe, it } from "node:test";
import { createHttpClient } from "../../src/node/httpClient/index.js";

/** How the server ends the connection of a request, by path. */
type Endings = Readonly<Record<string, (socket: Socket) => void>>;

/** Requests each path, sends the same bytes as the response, and ends each connection as specified. */
async function receiveAll(
    response: string,
    endings: Endings,
    method = "GET",
): Promise<Readonly<Record<string, string>>> {
    const server = createServer(socket => {
        socket.on("error", () => {});
        socket.once("data", (bytes: Buffer) => {
            const path = bytes.toString().split(" ")[1]!;
            socket.write(response, () => endings[path]!(socket));
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

/** Sends bytes as the response to a request, then ends the connection. */
async function receive(response: string, end: (socket: Socket) => void): Promise<string> {
    const received = await receiveAll(response, { "/": socket => setTimeout(() => end(socket), 20) });
    return received["/"]!;
}

describe("response that ends with its connection", () => {
    const unframed = "HTTP/1.1 200 OK\r\n\r\npart";
    const closing = "HTTP/1.1 200 OK\r\nconnection: close\r\ntransfer-encoding: chunked\r\n\r\n4\r\npart\r\n";

    it("is complete when the connection is closed gracefully", async () => {
        expect(await receive(unframed, socket => socket.end())).toEqual("part");
    });

    it("is incomplete when the connection is reset", async () => {
        expect(await receive(unframed, socket => socket.resetAndDestroy())).toEqual("connection");
    });

    it("is incomplete when the connection is reset before the last chunk", async () => {
        expect(await receive(closing, socket => socket.resetAndDestroy())).toEqual("connection");
    });

    it("is incomplete when the reset arrives together with its bytes", async () => {
        const endings: Record<string, (socket: Socket) => void> = {};
        for (let index = 0; index < 50; index++) {
            endings[`/${index}`] = socket => socket.resetAndDestroy();
        }
        const received = await receiveAll(unframed, endings);
        expect(new Set(Object.values(received))).toEqual(new Set(["connection"]));
    });

    for (const codings of ["chunked, gzip", "xchunked", "chunked;q=1"]) {
        it(`is incomplete after a reset when its last transfer coding is not chunked: ${codings}`, async () => {
            const response = `HTTP/1.1 200 OK\r\ntransfer-encoding: ${codings}\r\n\r\npart`;
            expect(await receive(response, socket => socket.resetAndDestroy())).toEqual("connection");
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

describe("response without a body", () => {
    it("is complete on an open connection when it has no length and belongs to a HEAD request", async () => {
        const received = await receiveAll("HTTP/1.1 200 OK\r\n\r\n", { "/": socket => socket.unref() }, "HEAD");
        expect(received).toEqual({ "/": "" });
    });
});
