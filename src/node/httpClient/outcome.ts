import { createError, type ErrorCode, type GoldcrestpointError } from "../../types/index.js";
import type { HttpFailure, HttpHead, HttpResponse } from "./types.js";

/** Response header with which an outside system states that it did not carry out the action: `x-executed: no`. */
export const executedHeader = "x-executed";

/**
 * Tells whether a response states that the action was not carried out.
 *
 * @param response - head of the response
 * @returns true for client errors other than 408 (request timeout), and for responses with `x-executed: no`
 */
export function wasNotExecuted(response: HttpHead): boolean {
    const { status, headers } = response;
    return headers[executedHeader] === "no" || (status >= 400 && status < 500 && status !== 408);
}

/**
 * Creates the error value of a failed call.
 *
 * @param code - kind of failure
 * @param step - operation in progress
 * @param peer - other side
 * @param failure - what happened to the call
 * @returns the error; the call may have taken effect if the request was written
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
 * @returns the error, with `mayHaveTakenEffect` false
 */
export function toReadError(code: ErrorCode, step: string, peer: string, failure: HttpFailure): GoldcrestpointError {
    return { ...toCallError(code, step, peer, failure), mayHaveTakenEffect: false };
}

/**
 * Creates the error value of a response with an unexpected status.
 *
 * @param code - kind of failure
 * @param step - operation in progress
 * @param peer - other side
 * @param response - the response
 * @returns the error; its message contains the beginning of the body
 */
export function toStatusError(
    code: ErrorCode,
    step: string,
    peer: string,
    response: HttpResponse,
): GoldcrestpointError {
    const text = Buffer.from(response.body).toString("utf8").slice(0, 200);
    return createError(code, step, peer, `answered with status ${response.status}: ${text}`, {
        mayHaveTakenEffect: !wasNotExecuted(response),
    });
}

/**
 * Parses a JSON body.
 *
 * @param body - bytes of the body
 * @returns the value; undefined if the body is not valid JSON
 */
export function parseJson(body: Uint8Array): unknown {
    try {
        return JSON.parse(Buffer.from(body).toString("utf8")) as unknown;
    }
    catch {
        return undefined;
    }
}
