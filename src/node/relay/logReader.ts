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
    /** Whether this process reads the log itself now; asked before each read. */
    readonly shouldRead: () => boolean;
    /** Time for which the log keeps records. */
    readonly retention: Milliseconds;
    /** Time that the log service may wait for a new record. Default: 2,000 ms. */
    readonly waitMilliseconds?: Milliseconds;
    /** Time between reads that fail, at first; doubled up to eight times, with jitter. Default: 500 ms. */
    readonly retryMilliseconds?: Milliseconds;
}

/** Reader of the log; disposing of it ends the reads. */
export interface LogReader extends AsyncDisposable {
    /** False after a failed read, until the next one succeeds. */
    readonly reachable: boolean;
}

/** Time between two checks whether this process should read. */
const idleMilliseconds: Milliseconds = 250;
const maximumBackoffDoublings = 3;

/**
 * Reads the log and applies its records for as long as this process is one of the readers.
 *
 * @param options - log, store and conditions
 * @returns the running reader
 */
export function startLogReader(options: LogReaderOptions): LogReader {
    const abort = new AbortController();
    let reachable = true;
    let failures = 0;
    // Set when the records after the applied offset have expired, so that the next read starts at the first one held.
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
            // The head was read at some time after the request left, so the start of the request is the safe bound.
            store.noteLogKnown(startedAt);
        }
        return 0;
    }

    async function run(): Promise<void> {
        while (!abort.signal.aborted) {
            const pause = options.shouldRead() ? await readOnce() : idleMilliseconds;
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
