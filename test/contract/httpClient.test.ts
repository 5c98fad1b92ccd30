import { expect } from "earl";
import { describe, it } from "node:test";
import {
    createHttpClient,
    type HttpClientOptions,
    type HttpFailure,
    type HttpRequest,
} from "../../src/node/httpClient/index.js";
import { type StandInResponse, startStandInServer, wait } from "../../src/standIn/http/index.js";

interface ClientCase {
    readonly name: string;
    readonly answer: (signal: AbortSignal) => StandInResponse | Promise<StandInResponse>;
    readonly options?: Partial<HttpClientOptions>;
    readonly request?: Partial<HttpRequest>;
    readonly failure: readonly [reason: HttpFailure["reason"], requestWritten: boolean, headReceived: boolean];
}

const cases: readonly ClientCase[] = [
    {
        name: "a response larger than the limit",
        answer: () => ({ status: 200, body: Buffer.alloc(1_001) }),
        options: { maximumBodyBytes: 1_000 },
        failure: ["too-large", true, true],
    },
    {
        name: "a body that goes on beyond the total time",
        answer: signal => ({ status: 200, body: repeat(signal) }),
        options: { timeouts: { total: 3_000 } },
        failure: ["timeout", true, true],
    },
    {
        name: "a head that does not arrive in time",
        answer: async signal => {
            await wait(600_000, signal);
            return { status: 200 };
        },
        options: { timeouts: { head: 3_000, total: 600_000 } },
        failure: ["timeout", true, false],
    },
    {
        name: "a header that HTTP does not allow",
        answer: () => ({ status: 200 }),
        request: { headers: { "x-request-id": "a\r\nb" } },
        failure: ["connection", false, false],
    },
    {
        name: "a signal that was aborted before",
        answer: () => ({ status: 200 }),
        request: { signal: AbortSignal.abort() },
        failure: ["canceled", false, false],
    },
];

describe("HTTP calls", { concurrency: true }, () => {
    for (const { name, answer, options, request, failure } of cases) {
        // Guards against a call that never ends, and against a wrong report on whether its request was written.
        it(`ends ${name}`, async () => {
            await using server = await startStandInServer({}, () => [
                { operation: "any", method: "*", path: "*", handle: ({ signal }) => answer(signal) },
            ]);
            await using client = createHttpClient({ baseUrl: server.baseUrl, ...options });
            const result = await client.send({ method: "GET", path: "/", ...request });
            const [reason, requestWritten, headReceived] = failure;
            const error = result.isErr ? result.error : undefined;
            expect({
                reason: error?.reason,
                requestWritten: error?.requestWritten,
                headReceived: error?.headReceived,
            }).toEqual({ reason, requestWritten, headReceived });
        });
    }

    // Guards against a call that is canceled while it waits for a free connection, but is written or reported as
    // written.
    it("never writes a request that is canceled while all connections are taken", async () => {
        const paths: string[] = [];
        await using server = await startStandInServer({}, () => [{
            operation: "any",
            method: "*",
            path: "*",
            handle: async ({ path, signal }) => {
                paths.push(path);
                await wait(path === "/held" ? 600_000 : 0, signal);
                return { status: 204 };
            },
        }]);
        await using client = createHttpClient({ baseUrl: server.baseUrl, connections: 1 });
        const [held, waiting] = [new AbortController(), new AbortController()];
        const holding = client.send({ method: "GET", path: "/held", signal: held.signal });
        const canceled = client.send({ method: "POST", path: "/canceled", signal: waiting.signal });
        waiting.abort();
        const result = await canceled;
        held.abort();
        await holding;
        const later = await client.send({ method: "GET", path: "/later" });
        expect([result.isErr && result.error.requestWritten, later.isOk, paths.includes("/canceled")])
            .toEqual([false, true, false]);
    });
});

async function* repeat(signal: AbortSignal): AsyncGenerator<Uint8Array> {
    while (await wait(20, signal)) {
        yield Buffer.from("part");
    }
}
