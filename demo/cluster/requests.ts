import { request } from "undici";
import type { Milliseconds } from "../../src/types/index.js";
import { sleep } from "../../src/utils/index.js";

/** Answer to a JSON request; status 0 if there was none. */
export interface JsonAnswer {
    readonly status: number;
    readonly headers: Readonly<Record<string, string | string[] | undefined>>;
    /** Parsed JSON, or the text if it is none. */
    readonly body: unknown;
}

const pollInterval: Milliseconds = 50;

/**
 * Sends a request with JSON content.
 *
 * @param method - HTTP method
 * @param url - address
 * @param content - value to send as JSON; undefined for no body
 * @param headers - further headers
 * @returns the answer; never rejects
 */
export async function sendJsonRequest(
    method: "GET" | "POST" | "DELETE",
    url: string,
    content?: unknown,
    headers: Readonly<Record<string, string>> = {},
): Promise<JsonAnswer> {
    try {
        const answer = await request(url, {
            method,
            headers: { "content-type": "application/json", ...headers },
            ...(content === undefined ? {} : { body: JSON.stringify(content) }),
        });
        const text = await answer.body.text();
        return { status: answer.statusCode, headers: answer.headers, body: parseJson(text) };
    }
    catch (error) {
        return { status: 0, headers: {}, body: String(error) };
    }
}

/**
 * Waits for a condition.
 *
 * @param condition - what is waited for, for the message
 * @param timeLimit - time after which the wait has failed
 * @param check - tells whether the condition holds
 * @returns resolves when it holds; rejects after the time limit
 */
export async function waitUntil(
    condition: string,
    timeLimit: Milliseconds,
    check: () => boolean | Promise<boolean>,
): Promise<void> {
    const endsAt = Date.now() + timeLimit;
    while (!await check()) {
        if (Date.now() > endsAt) {
            throw new Error(`${condition}: not within ${timeLimit} ms`);
        }
        await sleep(pollInterval);
    }
}

function parseJson(text: string): unknown {
    try {
        return JSON.parse(text);
    }
    catch {
        return text;
    }
}
