import { expect } from "earl";
import { createServer } from "node:net";
import { describe, it } from "node:test";
import { createBackendServerClient } from "../../src/node/backendServer/index.js";

describe("answer to an agent whose status is no status of HTTP", () => {
    for (const status of ["000", "099", "20", "2000", "-200", "600", "999"]) {
        // Guards against an answer that the agent forwards, and the entry instance relays to its caller.
        it(`is a broken answer that names the server and the status: ${status}`, async () => {
            const server = createServer(socket => {
                socket.on("error", () => {});
                socket.once("data", () => {
                    socket.write(`HTTP/1.1 ${status} Odd\r\nx-request-id: r1\r\ncontent-length: 1\r\n\r\nx`);
                });
            });
            await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
            const { port } = server.address() as { readonly port: number; };
            {
                await using client = createBackendServerClient({
                    baseUrl: `http://127.0.0.1:${port}`,
                    kind: "service",
                });
                const result = await client.execute({
                    requestId: "r1",
                    method: "GET",
                    path: "/",
                    contentType: "text/plain",
                    body: new Uint8Array(),
                    priority: 1,
                    manifestDigest: undefined,
                }, new AbortController().signal);
                const error = result.isErr ? result.error : undefined;
                expect([error?.code, error?.peer]).toEqual(["STREAM_BROKEN", `127.0.0.1:${port}`]);
                expect(error?.message.includes(status)).toEqual(true);
            }
            server.close();
        });
    }
});
