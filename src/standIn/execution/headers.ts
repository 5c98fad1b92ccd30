import type { StandInRequest } from "../http/index.js";

/**
 * Reads a header of a request.
 *
 * @param request - the request
 * @param name - lower-case name
 * @returns its value; undefined if it is absent or empty
 */
export function readHeader(request: StandInRequest, name: string): string | undefined {
    const value = request.headers[name];
    return typeof value === "string" && value !== "" ? value : undefined;
}
