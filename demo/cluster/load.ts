import { request } from "undici";
import { createIdempotencyKey } from "../../src/runtime/idempotency/index.js";
import { computeTokens } from "../../src/standIn/engine/index.js";
import type { ClientAccount, Milliseconds, RandomSource, RanState } from "../../src/types/index.js";
import { createSystemRandom, sleep } from "../../src/utils/index.js";
import type { Cluster } from "./cluster.js";

/** How a request of the load ended; `unreached` if no entry instance took it, as when its process has ended. */
export type LoadResult = "answered" | "refused" | "unknown" | "broken" | "wrong" | "unreached";

/** One request of the load, as its caller saw it. */
export interface LoadRecord {
    readonly deployment: string;
    readonly result: LoadResult;
    /** Request id that the entry instance gave; empty if there was no answer. */
    readonly requestId: string;
    readonly idempotencyKey: string | undefined;
    /** What the refusal said; undefined for other results. */
    readonly ran: RanState | undefined;
    readonly reason: string;
    readonly version: string;
    readonly firstByteAfter: Milliseconds;
    readonly endedAfter: Milliseconds;
    readonly startedAt: number;
}

/** What callers send. */
export interface LoadOptions {
    /** Model deployments that get completions. */
    readonly models: readonly string[];
    /** Plain services that get non-idempotent calls. */
    readonly services: readonly string[];
    /** Callers that each send one request at a time. */
    readonly callers: number;
    /** Pause of a caller between two requests. */
    readonly pause: Milliseconds;
    readonly deadline?: Milliseconds;
    /** Times that a non-idempotent call without an answer is sent again, through the next entry instance. */
    readonly resends?: number;
    /** Client account of each caller, repeated if there are more callers. Default: ten accounts of equal size. */
    readonly accounts?: readonly ClientAccount[];
    /** Chooses deployments and prompts. Default: an unpredictable sequence. */
    readonly random?: RandomSource;
}

/** Running load. */
export interface Load {
    readonly records: readonly LoadRecord[];
    /** @returns all records, once the requests in progress have ended */
    stop(): Promise<readonly LoadRecord[]>;
}

interface CallResult extends LoadRecord {
    readonly retryAfter: Milliseconds;
}

const defaultDeadline: Milliseconds = 10_000;
const tokens = 16;
const promptVariants = 1_000;
const defaultAccounts: readonly ClientAccount[] = [...Array(10).keys()].map(index => `account-${index}`);

/**
 * Starts callers that send requests through the entry instances in turn.
 *
 * @param cluster - the cluster
 * @param options - deployments, number of callers and pauses
 * @returns the running load
 */
export function startLoad(cluster: Cluster, options: LoadOptions): Load {
    const records: LoadRecord[] = [];
    const { accounts = defaultAccounts, random = createSystemRandom() } = options;
    let stopped = false;
    let turn = 0;

    function nextUrl(): string {
        turn += 1;
        return cluster.entries[turn % cluster.entries.length]!.url;
    }

    async function callModel(account: string): Promise<void> {
        const deployment = choose(random, options.models);
        const result = await sendCompletion(
            nextUrl(),
            deployment,
            account,
            options.deadline ?? defaultDeadline,
            choosePrompt(random),
        );
        records.push(result);
        await sleep(Math.min(result.retryAfter, 1_000));
    }

    async function callService(account: string): Promise<void> {
        const deployment = choose(random, options.services);
        const key = createIdempotencyKey(Date.now(), createSystemRandom());
        for (let attempt = 0; attempt <= (options.resends ?? 2); attempt++) {
            const result = await sendServiceCall(
                nextUrl(),
                deployment,
                account,
                key,
                options.deadline ?? defaultDeadline,
            );
            records.push(result);
            if (result.result === "answered" || stopped) {
                return;
            }
            await sleep(Math.min(result.retryAfter, 1_000));
        }
    }

    async function runCaller(index: number): Promise<void> {
        const account = accounts[index % accounts.length]!;
        const kinds = [
            ...options.models.map(() => callModel),
            ...options.services.map(() => callService),
        ];
        while (!stopped) {
            await choose(random, kinds)(account);
            await sleep(options.pause);
        }
    }

    const running = [...Array(options.callers).keys()].map(index => runCaller(index));
    return {
        records,
        stop: async () => {
            stopped = true;
            await Promise.all(running);
            return records;
        },
    };
}

/**
 * Sends one streamed completion and checks every token of its answer.
 *
 * @param url - entry instance
 * @param deployment - deployment to ask
 * @param account - client account
 * @param deadline - time for the whole answer
 * @param prompt - prompt; default: one of a thousand
 * @returns how it ended; `wrong` if the answer does not belong to the request or is not complete although it says so
 */
export async function sendCompletion(
    url: string,
    deployment: string,
    account: string,
    deadline: Milliseconds,
    prompt = choosePrompt(createSystemRandom()),
): Promise<CallResult> {
    const body = JSON.stringify({ model: deployment, prompt, max_tokens: tokens, stream: true });
    return call(`${url}/v1/completions`, deployment, undefined, body, {
        "x-client-account": account,
        "x-deadline-milliseconds": String(deadline),
    }, (text, headers) => checkCompletion(text, headers, prompt));
}

/**
 * Sends one non-idempotent call to a plain service and checks that the answer repeats its content.
 *
 * @param url - entry instance
 * @param deployment - deployment to ask
 * @param account - client account
 * @param key - idempotency key
 * @param deadline - time for the whole answer
 * @returns how it ended
 */
export async function sendServiceCall(
    url: string,
    deployment: string,
    account: string,
    key: string,
    deadline: Milliseconds,
): Promise<CallResult> {
    const body = JSON.stringify({ order: key });
    return call(`${url}/services/${deployment}/orders`, deployment, key, body, {
        "x-client-account": account,
        "x-deadline-milliseconds": String(deadline),
        "idempotency-key": key,
    }, text => text.includes(key) ? "answered" : "wrong");
}

function choose<Item>(random: RandomSource, items: readonly Item[]): Item {
    return items[Math.floor(random.next() * items.length)]!;
}

function choosePrompt(random: RandomSource): string {
    return `inspection summary ${Math.floor(random.next() * promptVariants)}`;
}

type Headers = Readonly<Record<string, string | string[] | undefined>>;

async function call(
    url: string,
    deployment: string,
    idempotencyKey: string | undefined,
    body: string,
    headers: Readonly<Record<string, string>>,
    check: (text: string, headers: Headers) => LoadResult,
): Promise<CallResult> {
    const startedAt = performance.now();
    let firstByteAfter = 0;
    const describe = (result: LoadResult, answer: Headers, refusal?: RefusalBody): CallResult => ({
        deployment,
        result,
        idempotencyKey,
        requestId: String(answer["x-request-id"] ?? ""),
        ran: refusal?.ran,
        reason: refusal?.reason ?? "",
        version: String(answer["x-version"] ?? ""),
        firstByteAfter,
        endedAfter: performance.now() - startedAt,
        startedAt,
        retryAfter: (refusal?.retryAfterSeconds ?? 0) * 1_000,
    });
    try {
        const answer = await request(url, {
            method: "POST",
            headers: { "content-type": "application/json", ...headers },
            body,
            headersTimeout: 60_000,
        });
        firstByteAfter = performance.now() - startedAt;
        const text = await answer.body.text();
        const refusal = readRefusal(text);
        if (refusal !== undefined) {
            return describe(refusal.ran === "no" ? "refused" : "unknown", answer.headers, refusal);
        }
        return describe(answer.statusCode === 200 ? check(text, answer.headers) : "unknown", answer.headers);
    }
    catch (error) {
        const reason = String(error);
        return { ...describe(reason.includes("ECONNREFUSED") ? "unreached" : "broken", {}), reason };
    }
}

interface RefusalBody {
    readonly ran: RanState;
    readonly reason: string;
    readonly retryAfterSeconds: number;
}

/** Finds a refusal, as a JSON answer or as the last event of a broken stream. */
function readRefusal(text: string): RefusalBody | undefined {
    const found = /\{"error":(\{"ran":.*\})\}\s*$/.exec(text);
    return found?.[1] === undefined ? undefined : JSON.parse(found[1]) as RefusalBody;
}

function checkCompletion(text: string, headers: Headers, prompt: string): LoadResult {
    const expected = computeTokens(
        {
            model: String(headers["x-model"]),
            adapter: String(headers["x-adapter"]),
            version: String(headers["x-version"]),
            manifestDigest: String(headers["x-manifest-digest"]),
            complete: true,
        },
        prompt,
        tokens,
    );
    const received = [...text.matchAll(/"token":"([0-9a-f]+)"/g)].map(match => match[1]);
    const complete = text.trimEnd().endsWith("data: [DONE]");
    return complete && received.length === expected.length &&
            expected.every((token, index) => token === received[index]) ?
        "answered" :
        "wrong";
}
