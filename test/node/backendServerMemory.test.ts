import { expect } from "earl";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { describe, it } from "node:test";
import { createBackendServerClient } from "../../src/node/backendServer/index.js";
import { expectOk } from "./support.js";

const maximumHeldBytes = 4 * 1_048_576;

describe("agent whose backend server sends answers without end", () => {
    // Guards against unread answers that together use up the memory of the agent while their callers read slowly.
    it("aborts the largest ones once they exceed the memory limit together", async () => {
        const server = createServer((request, response) => {
            response.on("error", () => {});
            response.writeHead(200, { "x-request-id": request.headers["x-request-id"] });
            const timer = setInterval(() => response.write(Buffer.alloc(65_536)), 2);
            response.on("close", () => clearInterval(timer));
        });
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
        const baseUrl = `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
        await using client = createBackendServerClient({ baseUrl, kind: "service", maximumHeldBytes });
        const { signal } = new AbortController();
        const answers = await Promise.all([1, 2, 3, 4].map(async number =>
            expectOk(
                await client.execute({
                    requestId: `request-${number}`,
                    method: "POST",
                    path: "/",
                    contentType: "application/json",
                    body: Buffer.from("{}"),
                    priority: 1,
                    manifestDigest: undefined,
                }, signal),
            )
        ));
        await new Promise(resolve => setTimeout(resolve, 1_500));
        const ends = await Promise.all(answers.map(async ({ body }) => {
            const endsAt = Date.now() + 500;
            try {
                for await (const part of body) {
                    if (part.length === 0 || Date.now() > endsAt) {
                        return "continues";
                    }
                }
                return "ended";
            }
            catch {
                return "aborted";
            }
        }));
        server.closeAllConnections();
        server.close();
        expect(ends.filter(end => end === "aborted").length).toBeGreaterThan(0);
    });
});
