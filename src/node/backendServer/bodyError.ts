import type { GoldcrestpointError } from "../../types/index.js";

/**
 * Returns the error value of a response whose body ended before it was complete.
 *
 * @param thrown - value that the iteration over `BackendResponse.body` threw
 * @returns the `STREAM_BROKEN` error; undefined if something else was thrown
 */
export function getBodyError(thrown: unknown): GoldcrestpointError | undefined {
    const cause = thrown instanceof Error ? thrown.cause : undefined;
    const code = (cause as Partial<GoldcrestpointError> | undefined)?.code;
    return code === "STREAM_BROKEN" ? cause as GoldcrestpointError : undefined;
}
