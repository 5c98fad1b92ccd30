import { err, ok } from "true-myth/result";
import { Agent, request } from "undici";
import { createError, type Milliseconds } from "../../types/index.js";
import type { EntryQueryPort } from "./types.js";

/**
 * Creates the HTTP client with which operator commands query entry instances.
 *
 * @param timeLimit - time within which the complete response must arrive
 * @returns the client
 */
export function createEntryQuery(timeLimit: Milliseconds): EntryQueryPort & AsyncDisposable {
    const dispatcher = new Agent({ connect: { timeout: timeLimit } });
    return {
        get: async (baseUrl, path) => {
            const url = baseUrl.replace(/\/+$/, "") + path;
            try {
                const response = await request(url, { dispatcher, signal: AbortSignal.timeout(timeLimit) });
                const text = await response.body.text();
                return ok({ status: response.statusCode, body: parseJson(text) });
            }
            catch (cause) {
                const message = `${url}: ${cause instanceof Error ? cause.message : String(cause)}`;
                return err(createError("PEER_UNREACHABLE", "ask entry instance", baseUrl, message, { cause }));
            }
        },
        [Symbol.asyncDispose]: () => dispatcher.destroy(),
    };
}

function parseJson(text: string): unknown {
    try {
        return JSON.parse(text);
    }
    catch {
        return undefined;
    }
}
