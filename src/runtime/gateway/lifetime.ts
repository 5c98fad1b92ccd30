import type { ListedBackendServer } from "../../types/index.js";

/**
 * Creates the identifier of the lifetime of a backend server: the time from one start of its process to the end. A
 * backend server may restart under the same instance, which begins another lifetime.
 *
 * @param server - entry of the backend server
 * @returns identifier of the lifetime
 */
export function createLifetimeId({ instance, startedAt }: Pick<ListedBackendServer, "instance" | "startedAt">): string {
    return `${instance}/${startedAt ?? ""}`;
}
