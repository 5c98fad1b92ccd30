import type { Milliseconds, RanState, Refusal, RefusalReason } from "../../types/index.js";
import { parseKeyTime } from "./keys.js";
import { evaluateOwnership, recordInterruption } from "./ownership.js";
import type {
    KeyDecision,
    KeyOffer,
    Ledger,
    LedgerOptions,
    LedgerRow,
    LedgerState,
    OwnershipHistory,
    StoredAnswer,
} from "./types.js";

/**
 * Fills in the defaults of the ledger's options.
 *
 * @param partial - options that differ from the defaults
 * @returns all options
 */
export function resolveLedgerOptions(partial: Partial<LedgerOptions> = {}): LedgerOptions {
    return {
        maximumKeyAge: 600_000,
        clockSkew: 2_000,
        maximumEntries: 100_000,
        maximumAnswerBytes: 8 * 1024 * 1024,
        ...partial,
    };
}

/**
 * Creates an empty ledger.
 *
 * @param options - limits of the ledger
 * @returns the ledger
 */
export function createLedger(options: LedgerOptions): Ledger {
    return { options, rows: new Map(), answeredKeys: new Set(), storedBytes: 0, forgottenUntil: 0 };
}

function refuse(ran: RanState, reason: RefusalReason, retryAfterSeconds: number, detail?: string): KeyDecision {
    const refusal: Refusal = detail === undefined ?
        { ran, reason, retryAfterSeconds } :
        { ran, reason, retryAfterSeconds, detail };
    return { kind: "refuse", refusal };
}

/** Decides on a repeated key by the state of its row; undefined if the key may be accepted again. */
const repeatHandlers: Readonly<Record<LedgerState, (row: LedgerRow) => KeyDecision | undefined>> = {
    running: () => refuse("unknown", "key-in-progress", 1),
    finished: row =>
        row.answer === undefined ?
            refuse("unknown", "key-already-accepted", 0, "the request finished, its answer is no longer stored") :
            { kind: "replay", answer: row.answer },
    unknown: () => refuse("unknown", "key-already-accepted", 0, "the outcome of the request is not known"),
    "not-run": () => undefined,
};

function decideRepeat(row: LedgerRow, offer: KeyOffer): KeyDecision | undefined {
    if (row.bodyDigest !== offer.bodyDigest || row.clientAccount !== offer.clientAccount) {
        return refuse("no", "key-reused-with-other-body", 0);
    }
    return repeatHandlers[row.state](row);
}

function removeAnswer(ledger: Ledger, row: LedgerRow): void {
    if (row.answer !== undefined) {
        ledger.storedBytes -= row.answer.body.byteLength;
        ledger.answeredKeys.delete(row.key);
        row.answer = undefined;
    }
}

function removeExpired(ledger: Ledger, now: Milliseconds): void {
    const oldestKept = now - ledger.options.maximumKeyAge;
    for (const row of ledger.rows.values()) {
        if (row.createdAt >= oldestKept) {
            return;
        }
        removeAnswer(ledger, row);
        ledger.rows.delete(row.key);
        ledger.forgottenUntil = Math.max(ledger.forgottenUntil, row.createdAt);
    }
}

function decideNewKey(ledger: Ledger, history: OwnershipHistory, offer: KeyOffer): KeyDecision {
    const { clockSkew, maximumEntries, maximumKeyAge } = ledger.options;
    const createdAt = parseKeyTime(offer.key);
    if (createdAt === undefined) {
        return refuse("no", "key-invalid", 0, "the key is no UUIDv7 in lower case");
    }
    if (createdAt > offer.now + clockSkew) {
        return refuse("no", "key-invalid", 0, "the key was created in the future");
    }
    // If the wall clock was set back, a key whose row has been removed could look young enough to be accepted again.
    if (createdAt < offer.now - maximumKeyAge || createdAt <= ledger.forgottenUntil) {
        return refuse("unknown", "key-expired", 0);
    }
    const { owned, sinceCreation } = evaluateOwnership(history, offer.key, createdAt, clockSkew);
    if (!owned) {
        return refuse(sinceCreation ? "no" : "unknown", "not-key-owner", 1);
    }
    if (!offer.held) {
        // Once the hold has lapsed, another owner may accept keys that were created after the lapse.
        const isProvablyNotRun = sinceCreation && offer.lapsedAt !== undefined &&
            createdAt + clockSkew < offer.lapsedAt;
        return refuse(isProvablyNotRun ? "no" : "unknown", "hold-lapsed", 2);
    }
    if (!sinceCreation) {
        return refuse("unknown", "key-predates-owner", 0);
    }
    if (ledger.rows.size >= maximumEntries && !ledger.rows.has(offer.key)) {
        return refuse("no", "queue-full", 5, "the idempotency ledger is full");
    }
    const { key, clientAccount, bodyDigest } = offer;
    ledger.rows.set(key, { key, clientAccount, bodyDigest, createdAt, state: "running", answer: undefined });
    return { kind: "run" };
}

/**
 * Decides on a request with an idempotency key and, if it may run, adds the key to the ledger.
 *
 * @param ledger - keys that this process has accepted; expired rows are removed, and the key is added if it is accepted
 * @param history - ownership history of the request's deployment
 * @param offer - key with the request's account and body, the hold and the time
 * @returns `run` at most once for each key, unless the run ended as `not-run`
 */
export function offerKey(ledger: Ledger, history: OwnershipHistory, offer: KeyOffer): KeyDecision {
    removeExpired(ledger, offer.now);
    const row = ledger.rows.get(offer.key);
    const decision = (row === undefined ? undefined : decideRepeat(row, offer)) ??
        decideNewKey(ledger, history, offer);
    if (!offer.held) {
        recordInterruption(history, offer.now);
    }
    return decision;
}

/**
 * Records how the request of an accepted key ended.
 *
 * @param ledger - ledger to change
 * @param key - key that `offerKey` accepted; ignored if its request is not running
 * @param state - `not-run` only if it is certain that the backend server has not received the request
 * @param answer - answer for repeats of the key; the oldest answers are dropped when the stored answers exceed
 * `maximumAnswerBytes`
 */
export function finishKey(
    ledger: Ledger,
    key: string,
    state: Exclude<LedgerState, "running">,
    answer?: StoredAnswer,
): void {
    const row = ledger.rows.get(key);
    if (row === undefined || row.state !== "running") {
        return;
    }
    row.state = state;
    if (state !== "finished" || answer === undefined || answer.body.byteLength > ledger.options.maximumAnswerBytes) {
        return;
    }
    row.answer = answer;
    ledger.answeredKeys.add(key);
    ledger.storedBytes += answer.body.byteLength;
    for (const oldest of ledger.answeredKeys) {
        if (ledger.storedBytes <= ledger.options.maximumAnswerBytes) {
            return;
        }
        removeAnswer(ledger, ledger.rows.get(oldest)!);
    }
}
