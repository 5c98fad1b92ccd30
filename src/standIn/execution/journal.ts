/** State of a request that a backend server began to run. */
export type JournalState = "running" | "finished" | "canceled" | "crashed";

/** Request that a backend server began to run. */
export interface JournalEntry {
    readonly requestId: string;
    readonly idempotencyKey: string | undefined;
    readonly path: string;
    /** Incarnation of the server that ran the request. */
    readonly incarnation: string;
    /** Manifest digest of the weights; empty for none. */
    readonly manifestDigest: string;
    /** Requests that ran at the same time when this one began, itself included. */
    readonly concurrent: number;
    state: JournalState;
}

/** Record of the executions, kept across crashes. */
export interface Journal {
    /**
     * Records that a request begins to run.
     *
     * @param entry - the request
     * @returns the entry, whose state changes as it ends
     */
    begin(entry: Omit<JournalEntry, "state">): JournalEntry;
    /** Marks all running requests as crashed. */
    crash(): void;
    /** @returns the entries in the order in which they began */
    list(): readonly JournalEntry[];
    /**
     * Counts executions.
     *
     * @param idempotencyKey - key to look for
     * @returns number of entries with the key
     */
    countEffects(idempotencyKey: string): number;
}

/** Bounds the memory of a stand-in that runs for long. */
const entryLimit = 100_000;

/**
 * Creates an empty journal.
 *
 * @returns the journal; it keeps the newest 100,000 entries
 */
export function createJournal(): Journal {
    let entries: JournalEntry[] = [];
    const effects = new Map<string, number>();
    return {
        begin: fields => {
            const entry: JournalEntry = { ...fields, state: "running" };
            entries.push(entry);
            if (entries.length > 2 * entryLimit) {
                entries = entries.slice(-entryLimit);
            }
            if (entry.idempotencyKey !== undefined) {
                effects.set(entry.idempotencyKey, (effects.get(entry.idempotencyKey) ?? 0) + 1);
            }
            return entry;
        },
        crash: () => {
            entries.filter(({ state }) => state === "running").forEach(entry => {
                entry.state = "crashed";
            });
        },
        list: () => entries.slice(-entryLimit),
        countEffects: idempotencyKey => effects.get(idempotencyKey) ?? 0,
    };
}
