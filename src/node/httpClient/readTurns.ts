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

/** Shares the event loop between the responses that are read, and leaves time for everything else. */
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
    /** Number of the turn of the event loop in which the last part arrived. */
    turn: number;
    /** Monotonic time of the first and of the last part in that turn. */
    firstAt: Milliseconds;
    lastAt: Milliseconds;
    parts: number;
    state: "running" | "waiting" | "closed";
}

/** Time for which one response is parsed in a turn of the event loop. */
const maximumResponseTime: Milliseconds = 2;
/** Time for which all responses are parsed in a turn of the event loop. */
const maximumTurnTime: Milliseconds = 10;
/** Number of parts in a turn up to which a response never waits for others that have used up the turn. */
const minimumParts = 16;

/**
 * Creates the turns of the responses of a process. A peer that sends a chunk for each byte makes the parser call back so
 * often that a few reads take longer than requests can wait, and one poll of the event loop may bring many reads.
 *
 * @param clock - time source
 * @returns the turns
 */
export function createReadTurns(clock: Pick<Clock, "monotonic">): ReadTurns {
    const waiting: ResponseRow[] = [];
    let turn = 0;
    let used: Milliseconds = 0;
    let isScheduled = false;

    function schedule(): void {
        if (!isScheduled) {
            isScheduled = true;
            setImmediate(beginTurn);
        }
    }

    /** Starts the next turn with the responses that wait, which get the first share of it. */
    function beginTurn(): void {
        isScheduled = false;
        turn++;
        used = 0;
        const startedAt = clock.monotonic();
        // Those that have to wait again are resumed in the turn after this one.
        for (let count = waiting.length; count > 0; count--) {
            if (clock.monotonic() - startedAt > maximumTurnTime) {
                break;
            }
            const row = waiting.shift()!;
            row.state = "running";
            row.response.resume();
        }
        if (waiting.length > 0) {
            schedule();
        }
    }

    function receive(row: ResponseRow): void {
        const now = clock.monotonic();
        if (row.turn !== turn) {
            Object.assign(row, { turn, firstAt: now, lastAt: now, parts: 0 });
        }
        used += now - row.lastAt;
        row.lastAt = now;
        row.parts++;
        schedule();
        const busy = now - row.firstAt;
        const isOver = busy > maximumResponseTime || (used > maximumTurnTime && row.parts > minimumParts);
        if (isOver && row.state === "running") {
            row.state = "waiting";
            waiting.push(row);
            row.response.pause();
            row.response.onTurnUsed(busy);
        }
    }

    return {
        open: response => {
            const row: ResponseRow = { response, turn: -1, firstAt: 0, lastAt: 0, parts: 0, state: "running" };
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
