import { z } from "zod";
import type { StandInAnswer } from "./types.js";

const objectSchema = z.record(z.string(), z.unknown());

/**
 * Creates an answer with a JSON body.
 *
 * @param status - HTTP status
 * @param value - value of the body
 * @param headers - further headers
 * @returns the answer
 */
export function answerJson(
    status: number,
    value: unknown,
    headers: Readonly<Record<string, string>> = {},
): StandInAnswer {
    return { status, headers: { ...headers, "content-type": "application/json" }, body: JSON.stringify(value) };
}

/**
 * Creates the answer to a request that was not carried out.
 *
 * @param status - HTTP status
 * @param reason - why
 * @param headers - further headers
 * @returns the answer, with `x-executed: no`
 */
export function answerRefusal(
    status: number,
    reason: string,
    headers: Readonly<Record<string, string>> = {},
): StandInAnswer {
    return answerJson(status, { error: reason }, { ...headers, "x-executed": "no" });
}

/**
 * Parses a JSON request body.
 *
 * @param body - bytes of the body
 * @returns the object; undefined if the body is no JSON object
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
 * Reads the parts of an answer's body.
 *
 * @param answer - the answer
 * @returns the parts; one part for a body that is no stream
 */
export async function collectParts(answer: StandInAnswer): Promise<Buffer[]> {
    const { body } = answer;
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
