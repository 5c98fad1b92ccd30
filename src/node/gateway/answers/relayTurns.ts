import type { Clock, Milliseconds } from "../../../types/index.js";

/** Turns of the streams of a gateway, which share the event loop with all other requests. */
export interface RelayTurns {
    /**
     * Asks for a turn to relay a piece of a stream.
     *
     * @param bytes - size of the piece
     * @returns undefined if there is time left in the present turn of the event loop; otherwise resolves in a later one, in
     * the order of the calls
     */
    next(bytes: number): Promise<void> | undefined;
}

/** Time for which streams are relayed in one turn of the event loop. */
const maximumTurnTime: Milliseconds = 8;
/** Largest piece that takes too little time to be counted, as single events of a stream do. */
const maximumFreeBytes = 4_096;

/**
 * Creates the turns. What arrives on many connections at once is otherwise relayed without a poll in between.
 *
 * @param clock - time source
 * @returns the turns
 */
export function createRelayTurns(clock: Pick<Clock, "monotonic">): RelayTurns {
    const waiting: (() => void)[] = [];
    let turnStartedAt: Milliseconds | undefined;

    function beginTurn(): void {
        turnStartedAt = undefined;
        const release = waiting.shift();
        if (release !== undefined) {
            startTurn();
            release();
        }
    }

    function startTurn(): void {
        turnStartedAt = clock.monotonic();
        setImmediate(beginTurn);
    }

    return {
        next: bytes => {
            if (bytes <= maximumFreeBytes && waiting.length === 0) {
                return undefined;
            }
            if (turnStartedAt === undefined) {
                startTurn();
                return undefined;
            }
            if (waiting.length === 0 && clock.monotonic() - turnStartedAt < maximumTurnTime) {
                return undefined;
            }
            return new Promise(resolve => waiting.push(resolve));
        },
    };
}
