import type { IncomingMessage } from "node:http";

/**
 * Joins header fields of the same name.
 *
 * @param message - request or response
 * @returns the headers by lower-case name
 */
export function joinHeaders({ headers }: Pick<IncomingMessage, "headers">): Record<string, string> {
    const joined: Record<string, string> = {};
    for (const [name, value] of Object.entries(headers)) {
        if (value !== undefined) {
            joined[name] = Array.isArray(value) ? value.join(", ") : value;
        }
    }
    return joined;
}
