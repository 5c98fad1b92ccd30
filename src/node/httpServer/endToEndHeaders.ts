import type { HeaderTable } from "../../types/index.js";

/** Headers that concern one connection, or the framing of a message on it. */
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

/**
 * Copies headers that are passed on.
 *
 * @param headers - headers by lower-case name
 * @param omitted - further names to leave out
 * @returns the headers without those that concern one connection, or that `connection` names
 */
export function copyEndToEndHeaders(
    headers: HeaderTable,
    omitted: ReadonlySet<string> = new Set(),
): Record<string, string> {
    const named = new Set((headers["connection"] ?? "").split(",").map(name => name.trim().toLowerCase()));
    return Object.fromEntries(
        Object.entries(headers).filter(([name]) =>
            !connectionHeaders.has(name) && !named.has(name) && !omitted.has(name)
        ),
    );
}
