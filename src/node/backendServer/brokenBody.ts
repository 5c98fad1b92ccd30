import type { GoldcrestpointError } from "../../types/index.js";

/**
 * Reads the error value of an answer whose body ended before it was complete.
 *
 * @param thrown - what the iteration over `BackendResponse.body` threw
 * @returns the `STREAM_BROKEN` error; undefined if something else was thrown
 */
export function readBodyFailure(thrown: unknown): GoldcrestpointError | undefined {
    const cause = thrown instanceof Error ? thrown.cause : undefined;
    const code = (cause as Partial<GoldcrestpointError> | undefined)?.code;
    return code === "STREAM_BROKEN" ? cause as GoldcrestpointError : undefined;
}
