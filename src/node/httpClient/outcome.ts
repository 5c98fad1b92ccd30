import { createError, type ErrorCode, type GoldcrestpointError } from "../../types/index.js";
import type { HttpAnswer, HttpFailure, HttpHead } from "./types.js";

/** Answer header by which an outside system states that it did not carry out the action: `x-executed: no`. */
export const executedHeader = "x-executed";

/**
 * Tells whether an answer states that the action was not carried out.
 *
 * @param answer - head of the answer
 * @returns true for client errors and for answers with `x-executed: no`
 */
export function wasNotExecuted(answer: HttpHead): boolean {
    const { status, headers } = answer;
    return headers[executedHeader] === "no" || (status >= 400 && status < 500 && status !== 408);
}

/**
 * Creates the error value of a failed call.
 *
 * @param code - kind of failure
 * @param step - operation in progress
 * @param peer - other side
 * @param failure - what happened to the call
 * @returns the error; it may have taken effect if the request was written
 */
export function toCallError(code: ErrorCode, step: string, peer: string, failure: HttpFailure): GoldcrestpointError {
    return createError(code, step, peer, `${failure.reason}: ${failure.message}`, {
        mayHaveTakenEffect: failure.requestWritten,
        cause: failure.cause,
    });
}

/**
 * Creates the error value of a failed call that changes nothing on the other side.
 *
 * @param code - kind of failure
 * @param step - operation in progress
 * @param peer - other side
 * @param failure - what happened to the call
 * @returns the error, which never may have taken effect
 */
export function toReadError(code: ErrorCode, step: string, peer: string, failure: HttpFailure): GoldcrestpointError {
    return { ...toCallError(code, step, peer, failure), mayHaveTakenEffect: false };
}

/**
 * Creates the error value of an answer with a status other than the expected one.
 *
 * @param code - kind of failure
 * @param step - operation in progress
 * @param peer - other side
 * @param answer - the answer
 * @returns the error; its message holds the beginning of the body
 */
export function toStatusError(code: ErrorCode, step: string, peer: string, answer: HttpAnswer): GoldcrestpointError {
    const text = Buffer.from(answer.body).toString("utf8").slice(0, 200);
    return createError(code, step, peer, `answered with status ${answer.status}: ${text}`, {
        mayHaveTakenEffect: !wasNotExecuted(answer),
    });
}

/**
 * Parses a JSON body.
 *
 * @param body - bytes of the body
 * @returns the value; undefined if the body is no JSON text
 */
export function parseJson(body: Uint8Array): unknown {
    try {
        return JSON.parse(Buffer.from(body).toString("utf8")) as unknown;
    }
    catch {
        return undefined;
    }
}
