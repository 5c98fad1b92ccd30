import type { BodyFraming, HttpHead } from "./types.js";

/** Statuses whose answers have no body. */
const bodilessStatuses: ReadonlySet<number> = new Set([204, 304]);

/**
 * Tells how the end of an answer's body is recognized.
 *
 * @param head - head of the answer
 * @returns the framing of the body
 */
export function resolveFraming(head: HttpHead): BodyFraming {
    if (bodilessStatuses.has(head.status)) {
        return "none";
    }
    if (head.headers["transfer-encoding"]?.toLowerCase().includes("chunked") === true) {
        return "chunked";
    }
    return head.headers["content-length"] === undefined ? "connection" : "length";
}
