import { request } from "undici";
import { createIdempotencyKey } from "../../src/runtime/idempotency/index.js";
import { computeTokens } from "../../src/standIn/engine/index.js";
import type { ClientAccount, Milliseconds, RandomSource, RanState } from "../../src/types/index.js";
import { createSystemRandom, sleep } from "../../src/utils/index.js";
import type { Cluster } from "./cluster.js";

/**
 * How a request ended, as its caller saw it:
 *
 * - `answered`: the response is complete and belongs to the request.
 * - `wrong`: the response claims success, but is incomplete or belongs to another request.
 * - `refused`: the request was refused as not run.
 * - `unknown`: the request failed and may have run.
 * - `unreached`: the connection was refused, for example because the process of the entry instance has ended.
 * - `broken`: the connection failed in another way, so that the request may have run.
 */
export type LoadResult = "answered" | "refused" | "unknown" | "broken" | "wrong" | "unreached";

/** One request, as its caller saw it. */
export interface LoadRecord {
    readonly deployment: string;
    readonly result: LoadResult;
    /** Request id that the entry instance assigned; empty if there was no response. */
    readonly requestId: string;
    readonly idempotencyKey: string | undefined;
    /** Whether the request ran, according to the refusal; undefined if it was not refused. */
    readonly ran: RanState | undefined;
    /** Reason of the refusal or connection error; empty for other results. */
    readonly reason: string;
    /** Version of the weights that the response names; empty without one. */
    readonly version: string;
    /** Time to first byte; 0 without a response. */
    readonly firstByteAfter: Milliseconds;
    readonly endedAfter: Milliseconds;
    /** Time on the monotonic clock of `performance`, in milliseconds. */
    readonly startedAt: number;
}

/** Options of {@link startLoad}. */
export interface LoadOptions {
    /** Model deployments to which completions are sent. */
    readonly models: readonly string[];
    /** Plain services to which non-idempotent calls are sent. */
    readonly services: readonly string[];
    /** Number of callers. Each sends one request at a time. */
    readonly callers: number;
    /** Pause of each caller between two requests. */
    readonly pause: Milliseconds;
    /** Time allowed for each request. Default: 10 s. */
    readonly deadline?: Milliseconds;
    /** Number of times that an unsuccessful call to a service is sent again, to the next entry instance. Default: 2. */
    readonly resends?: number;
    /** Client account of each caller; used in turn if there are more callers. Default: ten accounts. */
    readonly accounts?: readonly ClientAccount[];
    /** Source of the random choice of deployments and prompts. Default: an unseeded one. */
    readonly random?: RandomSource;
}

/** Running load. */
export interface Load {
    readonly records: readonly LoadRecord[];
    /**
     * Stops sending requests.
     *
     * @returns all records, after the requests in progress have ended
     */
    stop(): Promise<readonly LoadRecord[]>;
}

interface CallResult extends LoadRecord {
    /** Time that the refusal asks the caller to wait; 0 for other results. */
    readonly retryAfter: Milliseconds;
}

const defaultDeadline: Milliseconds = 10_000;
const tokens = 16;
const promptVariants = 1_000;
const defaultAccounts: readonly ClientAccount[] = [...Array(10).keys()].map(index => `account-${index}`);

/**
 * Starts callers that send requests to the entry instances in turn.
 *
 * @param cluster - the cluster
 * @param options - deployments, number of callers and pauses
 * @returns the running load
 */
export function startLoad(cluster: Cluster, options: LoadOptions): Load {
    const records: LoadRecord[] = [];
    const { accounts = defaultAccounts, random = createSystemRandom() } = options;
    let stopped = false;
    let requestCount = 0;

    function nextUrl(): string {
        requestCount += 1;
        return cluster.entries[requestCount % cluster.entries.length]!.url;
    }

    async function callModel(account: string): Promise<void> {
        const deployment = chooseAny(random, options.models);
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
        const deployment = chooseAny(random, options.services);
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
        const calls = [
            ...options.models.map(() => callModel),
            ...options.services.map(() => callService),
        ];
        while (!stopped) {
            await chooseAny(random, calls)(account);
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
 * Sends one streaming completion request and checks every token of the response.
 *
 * @param url - URL of the entry instance
 * @param deployment - deployment that the request addresses
 * @param account - client account
 * @param deadline - time allowed for the whole response
 * @param prompt - prompt; default: a random one out of a thousand
 * @returns how it ended; `wrong` if the response does not have exactly the expected tokens, or ends early without an
 * error
 */
export async function sendCompletion(
    url: string,
    deployment: string,
    account: string,
    deadline: Milliseconds,
    prompt = choosePrompt(createSystemRandom()),
): Promise<CallResult> {
    const body = JSON.stringify({ model: deployment, prompt, max_tokens: tokens, stream: true });
    return sendCall(`${url}/v1/completions`, deployment, undefined, body, {
        "x-client-account": account,
        "x-deadline-milliseconds": String(deadline),
    }, (text, headers) => checkCompletion(text, headers, prompt));
}

/**
 * Sends one non-idempotent call to a plain service and checks that the response contains the idempotency key.
 *
 * @param url - URL of the entry instance
 * @param deployment - deployment that the request addresses
 * @param account - client account
 * @param key - idempotency key
 * @param deadline - time allowed for the whole response
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
    return sendCall(`${url}/services/${deployment}/orders`, deployment, key, body, {
        "x-client-account": account,
        "x-deadline-milliseconds": String(deadline),
        "idempotency-key": key,
    }, text => text.includes(key) ? "answered" : "wrong");
}

function chooseAny<Item>(random: RandomSource, items: readonly Item[]): Item {
    return items[Math.floor(random.next() * items.length)]!;
}

function choosePrompt(random: RandomSource): string {
    return `inspection summary ${Math.floor(random.next() * promptVariants)}`;
}

type Headers = Readonly<Record<string, string | string[] | undefined>>;

async function sendCall(
    url: string,
    deployment: string,
    idempotencyKey: string | undefined,
    body: string,
    headers: Readonly<Record<string, string>>,
    check: (text: string, headers: Headers) => LoadResult,
): Promise<CallResult> {
    const startedAt = performance.now();
    let firstByteAfter = 0;
    const createResult = (result: LoadResult, response: Headers, refusal?: RefusalBody): CallResult => ({
        deployment,
        result,
        idempotencyKey,
        requestId: String(response["x-request-id"] ?? ""),
        ran: refusal?.ran,
        reason: refusal?.reason ?? "",
        version: String(response["x-version"] ?? ""),
        firstByteAfter,
        endedAfter: performance.now() - startedAt,
        startedAt,
        retryAfter: (refusal?.retryAfterSeconds ?? 0) * 1_000,
    });
    try {
        const response = await request(url, {
            method: "POST",
            headers: { "content-type": "application/json", ...headers },
            body,
            headersTimeout: 60_000,
        });
        firstByteAfter = performance.now() - startedAt;
        const text = await response.body.text();
        const refusal = readRefusal(text);
        if (refusal !== undefined) {
            return createResult(refusal.ran === "no" ? "refused" : "unknown", response.headers, refusal);
        }
        return createResult(response.statusCode === 200 ? check(text, response.headers) : "unknown", response.headers);
    }
    catch (error) {
        const reason = String(error);
        return { ...createResult(reason.includes("ECONNREFUSED") ? "unreached" : "broken", {}), reason };
    }
}

interface RefusalBody {
    readonly ran: RanState;
    readonly reason: string;
    readonly retryAfterSeconds: number;
}

/** Finds a refusal, which is either the whole JSON response or the last event of a stream that broke off. */
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
