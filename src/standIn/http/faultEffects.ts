import type { ServerResponse } from "node:http";
import { answerRefusal, collectParts } from "./answers.js";
import { sendAnswer } from "./sendAnswer.js";
import type { FaultKind, FaultRule, StandInAnswer, StandInRequest, StandInRoute } from "./types.js";
import { wait, waitForAbort } from "./wait.js";

/** Exchange that a fault is applied to. */
export interface FaultyExchange {
    readonly rule: FaultRule;
    readonly route: StandInRoute;
    readonly request: StandInRequest;
    readonly response: ServerResponse;
    /** Carries the action out. */
    readonly run: () => Promise<StandInAnswer>;
    /** Aborted when the server stops for good. */
    readonly stopped: AbortSignal;
    /** Ends when a later request of the same operation was answered. */
    readonly overtaken: () => Promise<void>;
}

const defaultDelay = 200;

/** Effects of the faults by kind. */
export const faultEffects: Readonly<Record<FaultKind, (exchange: FaultyExchange) => Promise<void>>> = {
    outage: ({ response }) => {
        response.socket?.destroy();
        return Promise.resolve();
    },
    reset: ({ response }) => {
        response.socket?.resetAndDestroy();
        return Promise.resolve();
    },
    refuse: ({ response, request }) =>
        sendAnswer(response, answerRefusal(503, "refused by a fault rule", { "retry-after": "1" }), request.signal),
    // A late action takes place although its caller has given up, like an order that was held up in the network.
    slow: async exchange => {
        if (await wait(readDelay(exchange), exchange.stopped)) {
            await sendNormally(exchange);
        }
    },
    "lose-answer": async ({ run, response }) => {
        await collectParts(await run());
        response.socket?.destroy();
    },
    truncate: truncateAnswer,
    corrupt: async exchange => {
        const answer = await exchange.run();
        const body = Buffer.concat(await collectParts(answer));
        const position = body.length >> 1;
        if (body.length > 0) {
            body[position] = body[position]! ^ 0x01;
        }
        await sendAnswer(exchange.response, { ...answer, body }, exchange.request.signal);
    },
    duplicate: async exchange => {
        if (exchange.route.rearrange?.duplicate === undefined) {
            await collectParts(await exchange.run());
        }
        await sendNormally(exchange);
    },
    "out-of-order": async exchange => {
        if (exchange.route.rearrange?.["out-of-order"] !== undefined) {
            await sendNormally(exchange);
            return;
        }
        const overtaken = exchange.overtaken();
        const answer = await exchange.run();
        const sent = new AbortController();
        const limit = AbortSignal.any([exchange.request.signal, sent.signal]);
        await Promise.race([overtaken, wait(readDelay(exchange), limit)]);
        sent.abort();
        await sendAnswer(exchange.response, answer, exchange.request.signal);
    },
    "cross-answer": async exchange => {
        const answer = await exchange.run();
        const headers = { ...answer.headers, "x-request-id": `other-than-${answer.headers?.["x-request-id"] ?? ""}` };
        await sendAnswer(exchange.response, { ...answer, headers }, exchange.request.signal);
    },
    "slow-stream": async exchange => {
        const answer = await exchange.run();
        const body = delayParts(answer, readDelay(exchange), exchange.request.signal);
        await sendAnswer(exchange.response, { ...answer, body }, exchange.request.signal);
    },
    "stall-stream": async exchange => {
        const answer = await exchange.run();
        const body = stallAfterHalf(answer, exchange.request.signal);
        await sendAnswer(exchange.response, { ...answer, body }, exchange.request.signal);
    },
};

function readDelay({ rule }: FaultyExchange): number {
    return rule.delayMilliseconds ?? defaultDelay;
}

async function sendNormally(exchange: FaultyExchange): Promise<void> {
    const answer = await exchange.run();
    const rearrange = exchange.route.rearrange?.[exchange.rule.kind];
    await sendAnswer(exchange.response, rearrange?.(answer) ?? answer, exchange.request.signal);
}

async function truncateAnswer({ rule, run, response, request }: FaultyExchange): Promise<void> {
    const answer = await run();
    const parts = await collectParts(answer);
    const half = takeHalf(parts);
    if (rule.clean === true) {
        await sendAnswer(response, { ...answer, body: half }, request.signal);
        return;
    }
    const length = Buffer.concat(parts).byteLength;
    response.writeHead(answer.status, { ...answer.headers, "content-length": String(length) });
    response.write(half, () => response.socket?.destroy());
}

/** Half of the parts of a stream, or half of the bytes of a single part. */
function takeHalf(parts: readonly Buffer[]): Buffer {
    const [first] = parts;
    if (parts.length === 1 && first !== undefined) {
        return first.subarray(0, first.byteLength >> 1);
    }
    return Buffer.concat(parts.slice(0, parts.length >> 1));
}

async function* delayParts(answer: StandInAnswer, delay: number, signal: AbortSignal): AsyncGenerator<Uint8Array> {
    const { body } = answer;
    const isStream = typeof body === "object" && !(body instanceof Uint8Array);
    for await (const part of isStream ? body : await collectParts(answer)) {
        if (!await wait(delay, signal)) {
            return;
        }
        yield part;
    }
}

async function* stallAfterHalf(answer: StandInAnswer, signal: AbortSignal): AsyncGenerator<Uint8Array> {
    yield takeHalf(await collectParts(answer));
    await waitForAbort(signal);
}
