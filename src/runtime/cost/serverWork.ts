import type { RequestCost } from "./requestCost.js";

/** Work that this process has sent to a backend server and has not seen end. */
export interface ServerWork {
    /** Attempts in progress. */
    requests: number;
    /** Prompt tokens of attempts whose answer has not begun. */
    unreadTokens: number;
    /** Expected output tokens that are not yet written. */
    outputTokens: number;
    /** Prompt and output tokens in the memory of the engine, once the attempts are complete. */
    memoryTokens: number;
}

/** Work of one attempt, as it counts in the work of its backend server. */
export interface AttemptWork {
    unreadTokens: number;
    /** Output tokens that are expected to follow. */
    outputTokens: number;
    /** Output tokens that were expected before the answer began. */
    readonly expectedTokens: number;
    readonly memoryTokens: number;
    /** Output tokens seen so far. */
    seenTokens: number;
}

/**
 * Share of the tokens seen of a stream that are expected to follow at least. Lengths have a heavy tail, so a stream that
 * is longer than expected is likely to go on.
 */
const overrunShare = 0.5;

/**
 * Creates the work at a backend server to which nothing was sent.
 *
 * @returns the empty work
 */
export function createServerWork(): ServerWork {
    return { requests: 0, unreadTokens: 0, outputTokens: 0, memoryTokens: 0 };
}

/**
 * Adds an attempt.
 *
 * @param work - work of its backend server; changed
 * @param cost - cost of the request
 * @returns the work of the attempt
 */
export function beginWork(work: ServerWork, cost: RequestCost): AttemptWork {
    const { outputTokens, promptTokens } = cost;
    const memoryTokens = promptTokens + outputTokens;
    work.requests++;
    work.unreadTokens += promptTokens;
    work.outputTokens += outputTokens;
    work.memoryTokens += memoryTokens;
    return { unreadTokens: promptTokens, outputTokens, expectedTokens: outputTokens, memoryTokens, seenTokens: 0 };
}

/**
 * Records that tokens of an answer have arrived.
 *
 * @param work - work of the backend server; changed
 * @param attempt - work of the attempt; changed
 * @param tokens - number of output tokens
 * @param maximum - maximum output tokens of the answer; `Infinity` if there is none
 */
export function progressWork(work: ServerWork, attempt: AttemptWork, tokens: number, maximum: number): void {
    work.unreadTokens -= attempt.unreadTokens;
    attempt.unreadTokens = 0;
    attempt.seenTokens += tokens;
    const left = Math.min(
        Math.max(0, maximum - attempt.seenTokens),
        Math.max(attempt.expectedTokens - attempt.seenTokens, overrunShare * attempt.seenTokens),
    );
    work.outputTokens += left - attempt.outputTokens;
    attempt.outputTokens = left;
}

/**
 * Removes an attempt.
 *
 * @param work - work of its backend server; changed
 * @param attempt - work of the attempt, which is not used afterwards
 */
export function endWork(work: ServerWork, attempt: AttemptWork): void {
    work.requests--;
    work.unreadTokens -= attempt.unreadTokens;
    work.outputTokens -= attempt.outputTokens;
    work.memoryTokens -= attempt.memoryTokens;
    if (work.requests === 0) {
        // Sums of fractions do not return to 0 exactly.
        Object.assign(work, createServerWork());
    }
}
