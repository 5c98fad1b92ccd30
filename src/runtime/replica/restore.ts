import type { KeyedRecord, KeyedTopic } from "../../types/index.js";

/** What happens to a known key that a restored log does not list: it is kept until it is written again, or dropped. */
export type MissingKeyPolicy = "keep" | "drop";

/**
 * The policy of each topic. What the operator and the gateways wrote after the backup stays in force; a backend server
 * that is running writes its entry again.
 */
export const missingKeyPolicies: Readonly<Record<KeyedTopic, MissingKeyPolicy>> = {
    operator: "keep",
    "backend-servers": "drop",
    instances: "keep",
    "condemned-requests": "keep",
    "weight-sources": "drop",
};

/** Topics in which it matters when a record was written. */
export const datedTopics: ReadonlySet<KeyedTopic> = new Set<KeyedTopic>(["operator"]);

function compareOrders(left: readonly number[], right: readonly number[]): number {
    for (let index = 0; index < Math.min(left.length, right.length); index++) {
        if (left[index] !== right[index]) {
            return left[index]! - right[index]!;
        }
    }
    return 0;
}

/**
 * Decides between two records of a key whose offsets cannot be compared, since the log was restored between them. A key
 * that was dropped gets a value again only by a record whose `order` has a higher first number, as a backend server
 * that was restarted writes it.
 *
 * @param candidate - record that was read later, or in a later era
 * @param known - record that is already stored
 * @returns true if the candidate replaces the known record
 */
export function supersedes(candidate: KeyedRecord, known: KeyedRecord): boolean {
    if (candidate.value === undefined) {
        return known.value !== undefined && (known.order?.[0] ?? -Infinity) <= (candidate.order?.[0] ?? -Infinity);
    }
    if (known.value === undefined) {
        return (candidate.order?.[0] ?? -Infinity) > (known.order?.[0] ?? -Infinity);
    }
    return candidate.order === undefined || known.order === undefined ||
        compareOrders(candidate.order, known.order) > 0;
}
