import type { Clock, Milliseconds } from "../../types/index.js";

/** Response that is being read. */
export interface ReadingResponse {
    /** Stops the parser of the response, also within the bytes that it has already got. */
    pause(): void;
    /** Lets the parser continue, at once with the bytes that it has already got. */
    resume(): void;
    /**
     * Called when the response has used up its turn.
     *
     * @param busy - time for which the parser has run since the last such call
     */
    onTurnUsed(busy: Milliseconds): void;
}

/** Share of a response in the event loop. */
export interface ReadTurn {
    /** Records a part of the body, after which the response may have to wait for its next turn. */
    received(): void;
    /** Ends the share. */
    close(): void;
}

/** Scheduler that limits the time spent parsing responses in one iteration of the event loop. */
export interface ReadTurns {
    /**
     * Adds a response.
     *
     * @param response - the response
     * @returns its share
     */
    open(response: ReadingResponse): ReadTurn;
}

interface ResponseRow {
    readonly response: ReadingResponse;
    /** Parts that have arrived. */
    parts: number;
    /** Monotonic time of the last check. */
    checkedAt: Milliseconds;
    /** Time for which parts have followed each other without a pause. */
    busy: Milliseconds;
    state: "running" | "waiting" | "closed";
}

/** Time for which one response is parsed in a turn of the event loop. */
const maximumResponseTime: Milliseconds = 2;
/** Time for which all responses are parsed in a turn of the event loop. */
const maximumTurnTime: Milliseconds = 10;
/** Number of parts between two checks of a response; a stream whose events come one by one needs few. */
const partsBetweenChecks = 16;
/** Longest time between two checks in which the parts follow each other without a pause. */
const maximumGap: Milliseconds = 1;
/** Time after which what responses have used is forgotten, if none had to wait. */
const usedMemory: Milliseconds = 20;

/**
 * Creates the turns of the responses of a process. A peer that sends a chunk for each byte makes the parser call back so
 * often that a few reads take longer than requests can wait, and one poll of the event loop may bring many reads.
 *
 * @param clock - time source
 * @returns the turns
 */
export function createReadTurns(clock: Pick<Clock, "monotonic">): ReadTurns {
    const waiting: ResponseRow[] = [];
    let used: Milliseconds = 0;
    let usedSince: Milliseconds = 0;

    /** Starts the next turn with the responses that wait, which get the first share of it. */
    function beginTurn(): void {
        const startedAt = clock.monotonic();
        used = 0;
        usedSince = startedAt;
        // Those that have to wait again are resumed in the turn after this one.
        for (let count = waiting.length; count > 0; count--) {
            if (clock.monotonic() - startedAt > maximumTurnTime) {
                break;
            }
            const row = waiting.shift()!;
            row.state = "running";
            row.busy = 0;
            row.checkedAt = clock.monotonic();
            row.response.resume();
        }
        if (waiting.length > 0) {
            setImmediate(beginTurn);
        }
    }

    function wait(row: ResponseRow): void {
        row.state = "waiting";
        waiting.push(row);
        if (waiting.length === 1) {
            setImmediate(beginTurn);
        }
        row.response.pause();
        row.response.onTurnUsed(row.busy);
    }

    function receive(row: ResponseRow): void {
        row.parts++;
        if (row.parts % partsBetweenChecks !== 0) {
            return;
        }
        const now = clock.monotonic();
        const gap = now - row.checkedAt;
        row.checkedAt = now;
        if (now - usedSince > usedMemory) {
            used = 0;
            usedSince = now;
        }
        if (gap > maximumGap) {
            row.busy = 0;
            return;
        }
        row.busy += gap;
        used += gap;
        if ((row.busy > maximumResponseTime || used > maximumTurnTime) && row.state === "running") {
            wait(row);
        }
    }

    return {
        open: response => {
            const row: ResponseRow = { response, parts: 0, checkedAt: -Infinity, busy: 0, state: "running" };
            return {
                received: () => receive(row),
                close: () => {
                    if (row.state === "waiting") {
                        waiting.splice(waiting.indexOf(row), 1);
                    }
                    row.state = "closed";
                },
            };
        },
    };
}
