import {
    chooseEnded,
    computeHeldThresholds,
    decideRefusing,
    type HeldStage,
    stallLimit,
} from "../../runtime/memory/index.js";
import type { Clock, Milliseconds } from "../../types/index.js";
import type { MemoryReservation, ResponseMemoryLimit } from "../httpClient/index.js";

/** What was ended to free memory; `answer` for the answer of a backend server to a request that runs. */
export interface EndedHolding {
    readonly stage: HeldStage | "answer";
    readonly bytes: number;
    /** Time for which its stage had lasted. */
    readonly age: Milliseconds;
}

/** Options of {@link createHeldMemory}. */
export interface HeldMemoryOptions {
    /** Bytes that may be held; `Infinity` for no limit. */
    readonly limit: number;
    /** Those of them that may be held for answers of backend servers; the largest answer is ended beyond it. */
    readonly answerLimit: number;
    readonly clock: Pick<Clock, "monotonic">;
    /** Called with the number of bytes of each part that was read, which may be dropped at once. */
    readonly onRead?: (bytes: number) => void;
    /** Called when something was ended to free memory. */
    readonly onEnded?: (ended: EndedHolding, total: number) => void;
    /** Called when new requests begin to be refused, and when they are accepted again. */
    readonly onRefusing?: (isRefusing: boolean, total: number) => void;
}

/** Bytes that are held for one request. */
export interface Holding extends ResponseMemoryLimit {
    /**
     * Changes the bytes of the request itself.
     *
     * @param bytes - bytes to add; negative to release some
     */
    add(bytes: number): void;
    /** Replaces the number of bytes of the request itself. */
    setBytes(bytes: number): void;
    /** Notes that the request has arrived completely, or that its caller has read what was written. */
    run(): void;
    /** Notes that the caller does not read the answer as fast as it is written. */
    block(): void;
    readonly isBlocked: () => boolean;
    /** Releases all bytes. */
    close(): void;
}

/** Limit on the bytes that a process holds for callers and backend servers that send or read slowly. */
export interface HeldMemory {
    /** @returns bytes that are held */
    readonly total: () => number;
    readonly limit: number;
    /**
     * Notes bytes that were read from callers; those of answers are noted as they are held.
     *
     * @param bytes - number of bytes
     */
    recordRead(bytes: number): void;
    /** Tells whether new requests have to be refused. */
    readonly isRefusing: () => boolean;
    /** Waits until the bodies of requests may be read; undefined if they may be. */
    readonly awaitRoom: () => Promise<void> | undefined;
    /**
     * Opens a holding of a request that arrives.
     *
     * @param end - ends the request, or its answer; called at most once, after its bytes were released
     * @returns the holding
     */
    hold(end: () => void): Holding;
    /** Ends requests that arrive slowly and answers that are not read, while new requests are refused. */
    check(): void;
}

interface AnswerRow {
    bytes: number;
    readonly evict: () => void;
}

interface Row {
    stage: HeldStage;
    bytes: number;
    since: Milliseconds;
    ownBytes: number;
    readonly answers: Set<AnswerRow>;
    readonly end: () => void;
}

/**
 * Creates a limit on held bytes.
 *
 * @param options - limits and observers
 * @returns the limit
 */
export function createHeldMemory(options: HeldMemoryOptions): HeldMemory {
    const { answerLimit, clock, limit } = options;
    const thresholds = computeHeldThresholds(limit);
    const rows = new Set<Row>();
    let total = 0;
    let answerTotal = 0;
    let isRefusing = false;
    let waiting: (() => void)[] = [];

    function updateState(): void {
        const refuses = decideRefusing(isRefusing, total, thresholds);
        if (refuses !== isRefusing) {
            isRefusing = refuses;
            options.onRefusing?.(refuses, total);
        }
        if (total < thresholds.pause && waiting.length > 0) {
            const resumed = waiting;
            waiting = [];
            resumed.forEach(resume => resume());
        }
    }

    function change(row: Row, bytes: number): void {
        row.bytes += bytes;
        total += bytes;
    }

    function release(row: Row): void {
        if (rows.delete(row)) {
            row.answers.forEach(answer => {
                answerTotal -= answer.bytes;
            });
            row.answers.clear();
            total -= row.bytes;
        }
    }

    function endRow(row: Row): void {
        const { bytes, since, stage } = row;
        release(row);
        options.onEnded?.({ stage, bytes, age: clock.monotonic() - since }, total);
        row.end();
    }

    /** Ends the largest answer; if it is held because its caller does not read, the caller's connection is closed. */
    function endLargestAnswer(): boolean {
        let largest: { readonly row: Row; readonly answer: AnswerRow; } | undefined;
        for (const row of rows) {
            for (const answer of row.answers) {
                if (answer.bytes > (largest?.answer.bytes ?? 0)) {
                    largest = { row, answer };
                }
            }
        }
        if (largest === undefined) {
            return false;
        }
        const { answer, row } = largest;
        if (row.stage === "unread") {
            endRow(row);
            return true;
        }
        row.answers.delete(answer);
        answerTotal -= answer.bytes;
        change(row, -answer.bytes);
        options.onEnded?.({ stage: "answer", bytes: answer.bytes, age: clock.monotonic() - row.since }, total);
        answer.evict();
        return true;
    }

    function enforce(): void {
        while (answerTotal > answerLimit && endLargestAnswer()) {
            // Each iteration ends one answer.
        }
        while (total > limit) {
            const row = chooseEnded(rows, clock.monotonic());
            if (row !== undefined) {
                endRow(row);
            }
            else if (!endLargestAnswer()) {
                break;
            }
        }
        updateState();
    }

    function openAnswer(row: Row, evict: () => void): MemoryReservation {
        const answer: AnswerRow = { bytes: 0, evict };
        const addBytes = (bytes: number): void => {
            if (bytes > 0) {
                options.onRead?.(bytes);
            }
            if (row.answers.has(answer)) {
                answer.bytes += bytes;
                answerTotal += bytes;
                change(row, bytes);
                enforce();
            }
        };
        if (rows.has(row)) {
            row.answers.add(answer);
        }
        return {
            add: addBytes,
            close: () => {
                addBytes(-answer.bytes);
                row.answers.delete(answer);
            },
        };
    }

    function enter(row: Row, stage: HeldStage): void {
        if (row.stage !== stage) {
            row.stage = stage;
            row.since = clock.monotonic();
        }
    }

    return {
        total: () => total,
        limit,
        recordRead: bytes => options.onRead?.(bytes),
        isRefusing: () => isRefusing,
        awaitRoom: () =>
            total < thresholds.pause ? undefined : new Promise(resolve => {
                waiting.push(resolve);
            }),
        hold: end => {
            const row: Row = {
                stage: "arriving",
                bytes: 0,
                ownBytes: 0,
                since: clock.monotonic(),
                answers: new Set(),
                end,
            };
            rows.add(row);
            const setBytes = (bytes: number): void => {
                if (rows.has(row)) {
                    change(row, bytes - row.ownBytes);
                    row.ownBytes = bytes;
                    enforce();
                }
            };
            return {
                total: () => row.bytes,
                open: evict => openAnswer(row, evict),
                add: bytes => setBytes(row.ownBytes + bytes),
                setBytes,
                run: () => enter(row, "running"),
                block: () => enter(row, "unread"),
                isBlocked: () => row.stage === "unread",
                close: () => {
                    release(row);
                    updateState();
                },
            };
        },
        check: () => {
            while (isRefusing) {
                const row = chooseEnded(rows, clock.monotonic(), stallLimit);
                if (row === undefined) {
                    break;
                }
                endRow(row);
                updateState();
            }
        },
    };
}
