import type { ListedBackendServer } from "../../types/index.js";

/**
 * Names a lifetime of a backend server, which may start again under the same instance.
 *
 * @param server - the backend server as it is listed
 * @returns the same text for the same start
 */
export function nameLifetime({ instance, startedAt }: Pick<ListedBackendServer, "instance" | "startedAt">): string {
    return `${instance}/${startedAt ?? ""}`;
}
