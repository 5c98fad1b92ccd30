import type { HeaderTable } from "../../types/index.js";

/** Hop-by-hop headers, which apply to one connection only, and headers for the framing of a message. */
const connectionHeaders: ReadonlySet<string> = new Set([
    "connection",
    "content-length",
    "expect",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
]);

const noHeaders: ReadonlySet<string> = new Set();

/**
 * Copies the headers that a proxy forwards.
 *
 * @param headers - headers by lower-case name
 * @param omitted - names of further headers to leave out
 * @returns the headers without hop-by-hop headers and those that the `connection` header lists
 */
export function copyEndToEndHeaders(
    headers: HeaderTable,
    omitted: ReadonlySet<string> = noHeaders,
): Record<string, string> {
    const { connection } = headers;
    const named = connection === undefined ?
        undefined :
        new Set(connection.split(",").map(name => name.trim().toLowerCase()));
    const copied: Record<string, string> = {};
    for (const name of Object.keys(headers)) {
        if (!connectionHeaders.has(name) && named?.has(name) !== true && !omitted.has(name)) {
            copied[name] = headers[name]!;
        }
    }
    return copied;
}
