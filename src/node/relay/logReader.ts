import type { Logger } from "pino";
import { beginAfterTruncation } from "../../runtime/state/index.js";
import type { Clock, LogPort, Milliseconds, RandomSource } from "../../types/index.js";
import { sleep } from "../../utils/index.js";
import type { StateStore } from "./stateStore.js";

/** Options of {@link startLogReader}. */
export interface LogReaderOptions {
    readonly log: LogPort;
    readonly store: StateStore;
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly logger: Logger;
    /** Whether this process reads the log itself now; called before each read. */
    readonly shouldRead: () => boolean;
    /** Time for which the log keeps records. */
    readonly retention: Milliseconds;
    /** Longest time that the log service holds a read open until a record arrives. Default: 2,000 ms. */
    readonly waitMilliseconds?: Milliseconds;
    /** Base of the delay after a failed read: 2, 4 and then 8 times this, with jitter. Default: 500 ms. */
    readonly retryMilliseconds?: Milliseconds;
}

/** Reads the log; disposing of it ends the reads. */
export interface LogReader extends AsyncDisposable {
    /** False after a failed read, until the next one succeeds. */
    readonly reachable: boolean;
}

/** Interval at which a process that does not read the log checks whether it should. */
const idleCheckInterval: Milliseconds = 250;
const maximumBackoffDoublings = 3;

/**
 * Reads the log and applies its records while this process is one of the readers.
 *
 * @param options - log, store and conditions
 * @returns the running reader
 */
export function startLogReader(options: LogReaderOptions): LogReader {
    const abort = new AbortController();
    let reachable = true;
    let failures = 0;
    // Set when the records after the applied offset have expired; the next read then starts at the oldest record left.
    let truncated = false;

    async function readOnce(): Promise<Milliseconds> {
        const { store, clock } = options;
        const startedAt = clock.monotonic();
        const afterOffset = truncated ? 0 : store.state.appliedOffset;
        const page = await options.log.read(afterOffset, options.waitMilliseconds ?? 2_000);
        if (page.isErr) {
            truncated = page.error.code === "LOG_TRUNCATED";
            if (reachable) {
                options.logger.warn({ error: page.error }, "log read failed");
            }
            reachable = false;
            failures = Math.min(failures + 1, maximumBackoffDoublings);
            return (options.retryMilliseconds ?? 500) * 2 ** failures * (0.5 + options.random.next());
        }
        reachable = true;
        failures = 0;
        truncated = false;
        const { firstOffset, headOffset, entries } = page.value;
        beginAfterTruncation(store.state, firstOffset, options.retention);
        const outcome = store.applyEntries(entries);
        if (outcome === "gap") {
            options.logger.warn({ appliedOffset: store.state.appliedOffset, firstOffset }, "log has lost records");
            return options.retryMilliseconds ?? 500;
        }
        if (store.state.appliedOffset >= headOffset) {
            // The log read its head after the request was sent, so the time of sending is the safe lower bound.
            store.recordLogKnown(startedAt);
        }
        return 0;
    }

    async function run(): Promise<void> {
        while (!abort.signal.aborted) {
            const pause = options.shouldRead() ? await readOnce() : idleCheckInterval;
            if (pause > 0) {
                await sleep(pause, abort.signal);
            }
        }
    }

    const running = run();
    return {
        get reachable() {
            return reachable;
        },
        [Symbol.asyncDispose]: async () => {
            abort.abort();
            await running;
        },
    };
}
