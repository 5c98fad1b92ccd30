import * as z from "zod";
import type { StandInResponse } from "./types.js";

const objectSchema = z.record(z.string(), z.unknown());

/**
 * Creates a response with a JSON body.
 *
 * @param status - HTTP status
 * @param value - value of the body
 * @param headers - further headers
 * @returns the response
 */
export function createJsonResponse(
    status: number,
    value: unknown,
    headers: Readonly<Record<string, string>> = {},
): StandInResponse {
    return { status, headers: { ...headers, "content-type": "application/json" }, body: JSON.stringify(value) };
}

/**
 * Creates the response to a request that was not executed.
 *
 * @param status - HTTP status
 * @param reason - why the request was not executed
 * @param headers - further headers
 * @returns the response, with the header `x-executed: no`
 */
export function createRefusal(
    status: number,
    reason: string,
    headers: Readonly<Record<string, string>> = {},
): StandInResponse {
    return createJsonResponse(status, { error: reason }, { ...headers, "x-executed": "no" });
}

/**
 * Parses a JSON request body.
 *
 * @param body - bytes of the body
 * @returns the object; undefined if the body is not a JSON object
 */
export function parseJsonObject(body: Uint8Array): Readonly<Record<string, unknown>> | undefined {
    try {
        return objectSchema.safeParse(JSON.parse(Buffer.from(body).toString("utf8"))).data;
    }
    catch {
        return undefined;
    }
}

/**
 * Reads the body of a response to its end.
 *
 * @param response - the response
 * @returns the parts of a streamed body; otherwise the body as one part, and no part if there is no body
 */
export async function readBodyParts(response: StandInResponse): Promise<Buffer[]> {
    const { body } = response;
    if (body === undefined) {
        return [];
    }
    if (typeof body === "string" || body instanceof Uint8Array) {
        return [Buffer.from(body as Uint8Array)];
    }
    const parts: Buffer[] = [];
    for await (const part of body) {
        parts.push(Buffer.from(part));
    }
    return parts;
}
