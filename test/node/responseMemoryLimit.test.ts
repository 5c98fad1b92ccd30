import { expect } from "earl";
import { createServer } from "node:net";
import { describe, it } from "node:test";
import { createHttpClient, createResponseMemoryLimit, readWholeBody } from "../../src/node/httpClient/index.js";
import { createDisposalStack } from "../../src/utils/index.js";

const maximumBytes = 1_000_000;
const completeBody = "complete";

/** Sends a complete body for `/complete` after 300 ms, and an endless body for any other path. */
async function startServer(): Promise<AsyncDisposable & { readonly baseUrl: string; }> {
    const stack = createDisposalStack();
    const server = createServer(socket => {
        socket.on("error", () => {});
        stack.defer(() => {
            socket.destroy();
            return Promise.resolve();
        });
        socket.once("data", request => {
            socket.write("HTTP/1.1 200 OK\r\n");
            if (request.toString().startsWith("GET /complete ")) {
                socket.write(`content-length: ${completeBody.length}\r\n\r\n${completeBody.slice(0, 2)}`);
                setTimeout(() => socket.write(completeBody.slice(2)), 300);
                return;
            }
            socket.write("\r\n");
            const timer = setInterval(() => socket.write("x".repeat(20_000)), 1);
            socket.once("close", () => clearInterval(timer));
        });
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const { port } = server.address() as { readonly port: number; };
    return {
        baseUrl: `http://127.0.0.1:${port}`,
        [Symbol.asyncDispose]: async () => {
            await stack[Symbol.asyncDispose]();
            server.close();
        },
    };
}

describe("limit on the bytes of all responses", () => {
    it("aborts the largest response when it is exceeded", () => {
        const limit = createResponseMemoryLimit(100);
        const givenUp: string[] = [];
        const small = limit.open(() => givenUp.push("small"));
        const large = limit.open(() => givenUp.push("large"));
        large.add(70);
        small.add(30);
        expect(givenUp).toEqual([]);
        small.add(1);
        expect(givenUp).toEqual(["large"]);
        expect(limit.total()).toEqual(31);
        large.add(1_000);
        large.close();
        small.add(-31);
        expect(limit.total()).toEqual(0);
    });

    // Guards against a process that runs out of memory although each response is within the limit for a single one.
    it("aborts endless responses, but not a complete one", async () => {
        await using server = await startServer();
        const memoryLimit = createResponseMemoryLimit(maximumBytes);
        await using client = createHttpClient({ baseUrl: server.baseUrl, memoryLimit });
        let most = 0;
        const timer = setInterval(() => {
            most = Math.max(most, memoryLimit.total());
        }, 1);
        const read = async (path: string): Promise<string> => {
            const opened = await client.open({ method: "GET", path });
            const whole = opened.isOk ? await readWholeBody(opened.value, 10 * maximumBytes) : opened;
            return whole.isOk ? Buffer.from(whole.value.body).toString() : whole.error.reason;
        };
        const outcomes = await Promise.all([read("/a"), read("/complete"), read("/b"), read("/c")]);
        clearInterval(timer);
        expect(outcomes).toEqual(["too-large", completeBody, "too-large", "too-large"]);
        expect(most).toBeLessThanOrEqual(maximumBytes);
        expect(most).toBeGreaterThan(maximumBytes / 2);
        expect(memoryLimit.total()).toEqual(0);
    });

    it("counts bytes that are not read", async () => {
        await using server = await startServer();
        const memoryLimit = createResponseMemoryLimit(maximumBytes);
        await using client = createHttpClient({ baseUrl: server.baseUrl, memoryLimit });
        const opened = await client.open({ method: "GET", path: "/unread" });
        while (memoryLimit.total() < maximumBytes / 2) {
            await new Promise(resolve => setTimeout(resolve, 1));
        }
        if (opened.isOk) {
            opened.value.discard();
        }
        await new Promise(resolve => setTimeout(resolve, 50));
        expect(memoryLimit.total()).toEqual(0);
    });
});
