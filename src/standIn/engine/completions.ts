import * as z from "zod";
import { readHeader } from "../execution/index.js";
import {
    createJsonResponse,
    createRefusal,
    parseJsonObject,
    type StandInRequest,
    type StandInResponse,
    wait,
} from "../http/index.js";
import type { EngineCore } from "./core.js";
import { type ActiveWeights, computePrefixDigest, computeTokens } from "./tokens.js";

const completionSchema = z.object({
    prompt: z.string(),
    max_tokens: z.number().int().min(1).max(4_096).default(16),
    stream: z.boolean().default(false),
});

type Completion = z.infer<typeof completionSchema>;

interface CompletionRun {
    readonly requestId: string;
    readonly completion: Completion;
    readonly weights: ActiveWeights;
    readonly headers: Readonly<Record<string, string>>;
    readonly signal: AbortSignal;
    readonly finish: (state: "finished" | "canceled") => void;
}

/**
 * Handles `POST /v1/completions` with the body `{ prompt, max_tokens, stream }`.
 *
 * @param core - state of the engine
 * @param request - the request
 * @returns a JSON response with all tokens, or an event stream with one event for each token and `data: [DONE]` at the
 * end
 */
export async function handleCompletion(core: EngineCore, request: StandInRequest): Promise<StandInResponse> {
    const requestId = readHeader(request, "x-request-id") ?? "";
    const refuse = (status: number, reason: string): StandInResponse =>
        createRefusal(status, reason, { "x-request-id": requestId, "retry-after": "1" });
    const parsed = completionSchema.safeParse(parseJsonObject(request.body));
    if (!parsed.success) {
        return createJsonResponse(400, { error: z.prettifyError(parsed.error) }, { "x-request-id": requestId });
    }
    if (core.batch.isFull()) {
        return refuse(429, "queue-full");
    }
    const tracked = core.trackRequest(requestId, request.signal);
    const releaseSlot = await core.batch.acquireSlot(Number(readHeader(request, "x-priority") ?? 5), tracked.signal);
    if (releaseSlot === undefined) {
        tracked.release();
        return refuse(499, "canceled");
    }
    const weights = core.target.active;
    const requestedDigest = readHeader(request, "x-manifest-digest") ?? weights?.manifestDigest;
    if (
        weights === undefined || (core.behaviour.checksRequestedWeights && weights.manifestDigest !== requestedDigest)
    ) {
        releaseSlot();
        tracked.release();
        return refuse(409, "not-serving");
    }
    const entry = core.journal.begin({
        requestId,
        idempotencyKey: readHeader(request, "idempotency-key"),
        path: request.path,
        incarnation: core.incarnation,
        manifestDigest: weights.manifestDigest,
        concurrent: core.batch.running,
    });
    const finish = (state: "finished" | "canceled"): void => {
        entry.state = entry.state === "running" ? state : entry.state;
        releaseSlot();
        tracked.release();
    };
    const { prompt } = parsed.data;
    if (prompt.includes(core.behaviour.crashMarker)) {
        await core.crash();
        finish("canceled");
        return refuse(500, "crashed");
    }
    const headers = createHeaders(requestId, weights);
    return createCompletionResponse(core, {
        requestId,
        completion: parsed.data,
        weights,
        headers,
        signal: tracked.signal,
        finish,
    });
}

async function createCompletionResponse(core: EngineCore, run: CompletionRun): Promise<StandInResponse> {
    const { requestId, completion, weights, headers } = run;
    if (completion.stream) {
        return {
            status: 200,
            headers: { ...headers, "content-type": "text/event-stream" },
            body: streamEvents(core, run),
        };
    }
    const tokens: string[] = [];
    for await (const token of generateTokens(core, run)) {
        tokens.push(token);
    }
    const { model, adapter, version, manifestDigest } = weights;
    const identity = { id: requestId, model, adapter, version, manifestDigest };
    return createJsonResponse(200, { ...identity, text: tokens.join(" "), tokens, finish_reason: "length" }, headers);
}

async function* streamEvents(core: EngineCore, run: CompletionRun): AsyncGenerator<Uint8Array> {
    const { requestId } = run;
    let index = 0;
    for await (const token of generateTokens(core, run)) {
        yield encodeEvent(JSON.stringify({ id: requestId, index, token }));
        index += 1;
    }
    if (run.signal.aborted) {
        throw new Error("the request was canceled");
    }
    yield encodeEvent(JSON.stringify({ id: requestId, finish_reason: "length", tokens: index }));
    yield encodeEvent("[DONE]");
}

/** Generates tokens, more slowly the more requests run; releases the slot in the batch in every case. */
async function* generateTokens(core: EngineCore, run: CompletionRun): AsyncGenerator<string> {
    const { completion, weights, signal } = run;
    const { behaviour, batch } = core;
    try {
        const prefix = computePrefixDigest(completion.prompt, behaviour.prefixCharacters);
        const cached = core.prefixCache.touch(weights.manifestDigest, prefix) ? behaviour.prefixCharacters : 0;
        const prefill = Math.max(0, completion.prompt.length - cached) * behaviour.prefillMilliseconds / 1_000;
        await pause(prefill, signal);
        for (const token of computeTokens(weights, completion.prompt, completion.max_tokens)) {
            const slowdown = 1 + behaviour.batchSlowdown * (batch.running - 1);
            await pause(behaviour.tokenMilliseconds * slowdown, signal);
            if (signal.aborted) {
                return;
            }
            yield token;
        }
    }
    finally {
        run.finish(signal.aborted ? "canceled" : "finished");
    }
}

async function pause(duration: number, signal: AbortSignal): Promise<void> {
    if (duration > 0) {
        await wait(duration, signal);
    }
}

function createHeaders(requestId: string, weights: ActiveWeights): Record<string, string> {
    return {
        "x-request-id": requestId,
        "x-model": weights.model,
        "x-adapter": weights.adapter,
        "x-version": weights.version,
        "x-manifest-digest": weights.manifestDigest,
    };
}

function encodeEvent(data: string): Uint8Array {
    return Buffer.from(`data: ${data}\n\n`);
}
