/** State of a request that a stand-in began to execute. */
export type JournalState = "running" | "finished" | "canceled" | "crashed";

/** Request that a stand-in began to execute. */
export interface JournalEntry {
    readonly requestId: string;
    readonly idempotencyKey: string | undefined;
    readonly path: string;
    /** Incarnation of the stand-in that executed the request. */
    readonly incarnation: string;
    /** Manifest digest of the weights that the request was executed with; empty for a plain service. */
    readonly manifestDigest: string;
    /** Number of running requests when this one began, including itself. */
    readonly concurrent: number;
    state: JournalState;
}

/** Record of the executed requests; it outlives simulated crashes. */
export interface Journal {
    /**
     * Records that the execution of a request begins.
     *
     * @param entry - the request
     * @returns the entry in the state `running`; the caller changes the state when the execution ends
     */
    begin(entry: Omit<JournalEntry, "state">): JournalEntry;
    /** Marks all running requests as crashed. */
    crash(): void;
    /** @returns the newest entries, in the order in which the requests began */
    list(): readonly JournalEntry[];
    /**
     * Counts the executions with an idempotency key.
     *
     * @param idempotencyKey - the key
     * @returns number of executions since the start, including those whose entries have been discarded
     */
    countEffects(idempotencyKey: string): number;
}

/** Maximum number of entries kept, which bounds the memory of a long-running stand-in. */
const maximumJournalEntries = 100_000;

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
            if (entries.length > 2 * maximumJournalEntries) {
                entries = entries.slice(-maximumJournalEntries);
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
        list: () => entries.slice(-maximumJournalEntries),
        countEffects: idempotencyKey => effects.get(idempotencyKey) ?? 0,
    };
}
