import { expect } from "earl";
import createRouter from "find-my-way";
import { createServer, type RequestListener } from "node:http";
import type { AddressInfo } from "node:net";
import { describe, it } from "node:test";
import { createEntryQuery } from "../../../src/node/cli/entryQuery.js";
import { createDecisionLog, createLogger, registerDecisionRoute } from "../../../src/node/logging/index.js";
import { createManualClock } from "../../../src/utils/index.js";
import { expectOk } from "../support.js";

async function listen(listener: RequestListener): Promise<AsyncDisposable & { readonly url: string; }> {
    const server = createServer(listener);
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    return {
        url: `http://127.0.0.1:${(server.address() as AddressInfo).port}`,
        [Symbol.asyncDispose]: () =>
            new Promise(resolve => {
                server.close(() => resolve());
                server.closeAllConnections();
            }),
    };
}

describe("queries of operator commands to entry instances", () => {
    // Guards against a client that does not match the route, and a request id that is not found due to its characters.
    it("read the kept decisions of a request", async () => {
        const logger = createLogger({
            level: "error",
            program: "entry",
            instance: "e",
            destination: { write: () => undefined },
        });
        const decisions = createDecisionLog({ logger, instance: "e", clock: createManualClock() });
        const values = { kind: "routing", outcome: "chosen", deployment: "scribe", choice: "a" } as const;
        decisions.record({ ...values, requestId: "r 1/2", reason: "only-candidate", candidates: 1 });
        const router = createRouter();
        registerDecisionRoute(router, decisions);
        await using server = await listen((request, response) => void router.lookup(request, response));
        await using query = createEntryQuery(10_000);
        const found = expectOk(await query.get(`${server.url}/`, "/operations/decisions/r%201%2F2"));
        expect(found.status).toEqual(200);
        expect(found.body).toEqual({ decisions: [...decisions.listRecent("r 1/2")] });
        expect(expectOk(await query.get(server.url, "/operations/decisions/r2")).status).toEqual(404);
    });

    // Guards against a command that hangs or crashes because of a faulty entry instance.
    const faults: [string, RequestListener, number, string][] = [
        ["no response in time", () => undefined, 50, "PEER_UNREACHABLE"],
        ["connection closed", request => request.socket.destroy(), 10_000, "PEER_UNREACHABLE"],
        [
            "truncated response",
            (...[, response]) => {
                response.writeHead(200, { "content-length": "100" });
                response.write("{", () => response.destroy());
            },
            10_000,
            "PEER_UNREACHABLE",
        ],
        ["response that is not JSON", (...[, response]) => response.end("<html>"), 10_000, "no body"],
    ];
    for (const [name, listener, timeLimit, expected] of faults) {
        it(`return an error or no body: ${name}`, async () => {
            await using server = await listen(listener);
            await using query = createEntryQuery(timeLimit);
            const answer = await query.get(server.url, "/operations/status");
            const outcome = answer.isErr ? answer.error.code : answer.value.body === undefined ? "no body" : "body";
            expect(outcome).toEqual(expected);
        });
    }
});
