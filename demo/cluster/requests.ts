import { request } from "undici";
import type { Milliseconds } from "../../src/types/index.js";
import { sleep } from "../../src/utils/index.js";

/** Response to a JSON request; status 0 if the request failed without a response. */
export interface JsonResponse {
    readonly status: number;
    readonly headers: Readonly<Record<string, string | string[] | undefined>>;
    /** Parsed JSON; the text itself if it is not JSON, or the error if there was no response. */
    readonly body: unknown;
}

const pollInterval: Milliseconds = 50;

/**
 * Sends a request with JSON content.
 *
 * @param method - HTTP method
 * @param url - URL
 * @param content - value to send as JSON; undefined for no body
 * @param headers - additional headers
 * @returns the response; never rejects
 */
export async function sendJsonRequest(
    method: "GET" | "POST" | "DELETE",
    url: string,
    content?: unknown,
    headers: Readonly<Record<string, string>> = {},
): Promise<JsonResponse> {
    try {
        const response = await request(url, {
            method,
            headers: { "content-type": "application/json", ...headers },
            ...(content === undefined ? {} : { body: JSON.stringify(content) }),
        });
        const text = await response.body.text();
        return { status: response.statusCode, headers: response.headers, body: parseJson(text) };
    }
    catch (error) {
        return { status: 0, headers: {}, body: String(error) };
    }
}

/**
 * Polls until a condition holds.
 *
 * @param condition - description of the condition, for the error message
 * @param timeLimit - time after which the wait fails
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
            throw new Error(`${condition}: timed out after ${timeLimit} ms`);
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
