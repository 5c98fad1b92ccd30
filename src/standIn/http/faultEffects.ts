import type { ServerResponse } from "node:http";
import { createRefusal, readBodyParts } from "./responses.js";
import { sendResponse } from "./sendResponse.js";
import type { FaultKind, FaultRule, StandInRequest, StandInResponse, StandInRoute } from "./types.js";
import { wait, waitForAbort } from "./wait.js";

/** Request that a fault is applied to, with what is needed to respond to it. */
export interface FaultyExchange {
    readonly rule: FaultRule;
    readonly route: StandInRoute;
    readonly request: StandInRequest;
    readonly serverResponse: ServerResponse;
    /** Executes the request with the handler of its route. */
    readonly run: () => Promise<StandInResponse>;
    /** Aborted when the server is disposed of. */
    readonly stopped: AbortSignal;
    /** Resolves once a later request for the same operation has been answered without a fault. */
    readonly waitForLaterResponse: () => Promise<void>;
}

const defaultDelayMilliseconds = 200;

/** Applies the fault of each kind to a request; see `FaultKind` for the effects. */
export const faultEffects: Readonly<Record<FaultKind, (exchange: FaultyExchange) => Promise<void>>> = {
    outage: ({ serverResponse }) => {
        serverResponse.socket?.destroy();
        return Promise.resolve();
    },
    reset: ({ serverResponse }) => {
        serverResponse.socket?.resetAndDestroy();
        return Promise.resolve();
    },
    refuse: ({ serverResponse, request }) =>
        sendResponse(
            serverResponse,
            createRefusal(503, "refused by a fault rule", { "retry-after": "1" }),
            request.signal,
        ),
    // Executes the request even if the caller has disconnected, like an order that was delayed in the network.
    slow: async exchange => {
        if (await wait(getDelay(exchange), exchange.stopped)) {
            await sendNormally(exchange);
        }
    },
    "lose-answer": async ({ run, serverResponse }) => {
        await readBodyParts(await run());
        serverResponse.socket?.destroy();
    },
    truncate: truncateResponse,
    corrupt: async exchange => {
        const response = await exchange.run();
        const body = Buffer.concat(await readBodyParts(response));
        const position = body.length >> 1;
        if (body.length > 0) {
            body[position] = body[position]! ^ 0x01;
        }
        await sendResponse(exchange.serverResponse, { ...response, body }, exchange.request.signal);
    },
    duplicate: async exchange => {
        if (exchange.route.transforms?.duplicate === undefined) {
            await readBodyParts(await exchange.run());
        }
        await sendNormally(exchange);
    },
    "out-of-order": async exchange => {
        if (exchange.route.transforms?.["out-of-order"] !== undefined) {
            await sendNormally(exchange);
            return;
        }
        const laterResponse = exchange.waitForLaterResponse();
        const response = await exchange.run();
        const raceEnded = new AbortController();
        const timerSignal = AbortSignal.any([exchange.request.signal, raceEnded.signal]);
        await Promise.race([laterResponse, wait(getDelay(exchange), timerSignal)]);
        raceEnded.abort();
        await sendResponse(exchange.serverResponse, response, exchange.request.signal);
    },
    "cross-answer": async exchange => {
        const response = await exchange.run();
        const headers = {
            ...response.headers,
            "x-request-id": `other-than-${response.headers?.["x-request-id"] ?? ""}`,
        };
        await sendResponse(exchange.serverResponse, { ...response, headers }, exchange.request.signal);
    },
    "slow-stream": async exchange => {
        const response = await exchange.run();
        const body = delayParts(response, getDelay(exchange), exchange.request.signal);
        await sendResponse(exchange.serverResponse, { ...response, body }, exchange.request.signal);
    },
    "stall-stream": async exchange => {
        const response = await exchange.run();
        const body = stallAfterHalf(response, exchange.request.signal);
        await sendResponse(exchange.serverResponse, { ...response, body }, exchange.request.signal);
    },
};

function getDelay({ rule }: FaultyExchange): number {
    return rule.delayMilliseconds ?? defaultDelayMilliseconds;
}

async function sendNormally(exchange: FaultyExchange): Promise<void> {
    const response = await exchange.run();
    const transform = exchange.route.transforms?.[exchange.rule.kind];
    await sendResponse(exchange.serverResponse, transform?.(response) ?? response, exchange.request.signal);
}

async function truncateResponse({ rule, run, serverResponse, request }: FaultyExchange): Promise<void> {
    const response = await run();
    const parts = await readBodyParts(response);
    const half = takeHalf(parts);
    if (rule.clean === true) {
        await sendResponse(serverResponse, { ...response, body: half }, request.signal);
        return;
    }
    const length = Buffer.concat(parts).byteLength;
    serverResponse.writeHead(response.status, { ...response.headers, "content-length": String(length) });
    serverResponse.write(half, () => serverResponse.socket?.destroy());
}

/** Returns the first half of the parts of a stream, or of the bytes of a single part. */
function takeHalf(parts: readonly Buffer[]): Buffer {
    const [first] = parts;
    if (parts.length === 1 && first !== undefined) {
        return first.subarray(0, first.byteLength >> 1);
    }
    return Buffer.concat(parts.slice(0, parts.length >> 1));
}

async function* delayParts(response: StandInResponse, delay: number, signal: AbortSignal): AsyncGenerator<Uint8Array> {
    const { body } = response;
    const isStream = typeof body === "object" && !(body instanceof Uint8Array);
    for await (const part of isStream ? body : await readBodyParts(response)) {
        if (!await wait(delay, signal)) {
            return;
        }
        yield part;
    }
}

async function* stallAfterHalf(response: StandInResponse, signal: AbortSignal): AsyncGenerator<Uint8Array> {
    yield takeHalf(await readBodyParts(response));
    await waitForAbort(signal);
}
