import type { Cluster } from "./cluster.js";
import type { LoadRecord } from "./load.js";
import { sendJsonRequest } from "./requests.js";

/** Execution that a backend server has recorded. */
export interface Execution {
    readonly instance: string;
    readonly requestId: string;
    readonly idempotencyKey?: string;
    readonly state: string;
    readonly concurrent: number;
    readonly incarnation: string;
    /** Manifest digest of the weights; empty for plain services. */
    readonly manifestDigest?: string;
}

/** Broken guarantees; all lists are empty if none was broken. */
export interface BrokenGuarantees {
    /** Answers that were not the whole answer to their own request. */
    readonly wrongAnswers: readonly LoadRecord[];
    /** Requests that were refused as not run and did run. */
    readonly refusedButRun: readonly LoadRecord[];
    /** Idempotency keys that were executed more than once. */
    readonly executedTwice: readonly string[];
}

/**
 * Reads what the backend servers have executed. Journals of processes that were killed are lost.
 *
 * @param cluster - the cluster
 * @returns executions of all backend servers
 */
export async function readExecutions(cluster: Cluster): Promise<readonly Execution[]> {
    const journals = await Promise.all(cluster.runners.map(async ({ instance, backendUrl }) => {
        const answer = await sendJsonRequest("GET", `${backendUrl}/journal`);
        const entries = answer.status === 200 ?
            (answer.body as { entries: Omit<Execution, "instance">[]; }).entries :
            [];
        return entries.map(entry => ({ ...entry, instance }));
    }));
    return journals.flat();
}

/**
 * Compares what callers saw with what backend servers executed.
 *
 * @param records - requests of the load
 * @param executions - executions of all backend servers
 * @returns the guarantees that were broken
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
 * @returns number of records for each result that occurs
 */
export function countResults(records: readonly LoadRecord[]): Readonly<Record<string, number>> {
    const counts: Record<string, number> = {};
    for (const { result } of records) {
        counts[result] = (counts[result] ?? 0) + 1;
    }
    return counts;
}
