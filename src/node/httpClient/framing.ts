import type { HeaderTable } from "../../types/index.js";
import type { BodyFraming, HttpHead, HttpRequest } from "./types.js";

/** Statuses whose responses have no body. */
const bodilessStatuses: ReadonlySet<number> = new Set([204, 304]);

/**
 * Determines how the end of a response body is recognized.
 *
 * @param request - request to which the response belongs
 * @param head - head of the response
 * @returns the framing of the body
 */
export function resolveFraming(request: Pick<HttpRequest, "method">, head: HttpHead): BodyFraming {
    if (request.method === "HEAD" || bodilessStatuses.has(head.status)) {
        return "none";
    }
    const codings = head.headers["transfer-encoding"];
    if (codings !== undefined) {
        // A body ends with a last chunk only if `chunked` is the last coding that was applied.
        return codings.split(",").at(-1)!.trim().toLowerCase() === "chunked" ? "chunked" : "connection";
    }
    return head.headers["content-length"] === undefined ? "connection" : "length";
}

/** Status line of a response, at any position of a text. */
const statusLinePattern = /HTTP\/1\.[01] \d{3}/;

/**
 * Tells whether a head consists of the parts of two responses: a peer that repeats a part of an earlier response lets
 * its reason or a header field run into the status line of the next response.
 *
 * @param reason - reason phrase of the status line
 * @param headers - headers by lower-case name
 * @returns true if the status, or some of the fields, belong to another response
 */
export function isMixedHead(reason: string, headers: HeaderTable): boolean {
    return statusLinePattern.test(reason) || Object.values(headers).some(value => statusLinePattern.test(value));
}

/**
 * Tells whether a body has transfer codings other than `chunked`. Node and undici decode only `chunked`, so the bytes
 * that they deliver are not the sender's body.
 *
 * @param headers - headers of the message by lower-case name
 * @returns true if the delivered bytes are still encoded
 */
export function hasUndecodedTransferCoding(headers: HeaderTable): boolean {
    const codings = headers["transfer-encoding"];
    return codings !== undefined && codings.trim().toLowerCase() !== "chunked";
}
