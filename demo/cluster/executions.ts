import type { Cluster } from "./cluster.js";
import type { LoadRecord } from "./load.js";
import { sendJsonRequest } from "./requests.js";

/** Execution of a request, as recorded in the journal of a backend server. */
export interface Execution {
    readonly instance: string;
    readonly requestId: string;
    readonly idempotencyKey?: string;
    readonly state: string;
    /** Number of requests in progress when this one started, including itself. */
    readonly concurrent: number;
    readonly incarnation: string;
    /** Manifest digest of the weights; empty for plain services. */
    readonly manifestDigest?: string;
}

/** Violations of guarantees. All lists are empty if there were none. */
export interface BrokenGuarantees {
    /** Requests with a successful response that is incomplete or belongs to another request. */
    readonly wrongAnswers: readonly LoadRecord[];
    /** Requests that were refused as not run, but ran. */
    readonly refusedButRun: readonly LoadRecord[];
    /** Idempotency keys that were executed more than once. */
    readonly executedTwice: readonly string[];
}

/**
 * Reads the executions of all backend servers. Killed processes lose theirs, because journals are held in memory.
 *
 * @param cluster - the cluster
 * @returns the executions of all backend servers that respond
 */
export async function readExecutions(cluster: Cluster): Promise<readonly Execution[]> {
    const journals = await Promise.all(cluster.runners.map(async ({ instance, backendUrl }) => {
        const response = await sendJsonRequest("GET", `${backendUrl}/journal`);
        const entries = response.status === 200 ?
            (response.body as { entries: Omit<Execution, "instance">[]; }).entries :
            [];
        return entries.map(entry => ({ ...entry, instance }));
    }));
    return journals.flat();
}

/**
 * Compares the results that callers saw with the executions of the backend servers.
 *
 * @param records - requests of the load
 * @param executions - executions of all backend servers
 * @returns the violations
 */
export function findBrokenGuarantees(
    records: readonly LoadRecord[],
    executions: readonly Execution[],
): BrokenGuarantees {
    const executed = new Set(executions.map(({ requestId }) => requestId));
    const keys = new Map<string, number>();
    for (const { idempotencyKey } of executions) {
        if (idempotencyKey !== undefined) {
            keys.set(idempotencyKey, (keys.get(idempotencyKey) ?? 0) + 1);
        }
    }
    return {
        wrongAnswers: records.filter(({ result }) => result === "wrong"),
        refusedButRun: records.filter(({ ran, requestId }) => ran === "no" && executed.has(requestId)),
        executedTwice: [...keys].filter(([, count]) => count > 1).map(([key]) => key),
    };
}

/**
 * Counts records by result.
 *
 * @param records - requests of the load
 * @returns number of records by result
 */
export function countResults(records: readonly LoadRecord[]): Readonly<Record<string, number>> {
    const counts: Record<string, number> = {};
    for (const { result } of records) {
        counts[result] = (counts[result] ?? 0) + 1;
    }
    return counts;
}
