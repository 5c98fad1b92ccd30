import { destination as openDestination, type DestinationStream } from "pino";

/** Options of {@link createBoundedDestination}. */
export interface BoundedDestinationOptions {
    /** File descriptor to write to. Default: 1, standard output. */
    readonly descriptor?: number | undefined;
    /** Bytes of lines that may wait for a reader; further lines are dropped. Default: 1 MiB. */
    readonly maximumWaitingBytes?: number | undefined;
}

/** Destination of log lines that never blocks the process. */
export interface BoundedDestination extends DestinationStream {
    /** Lines that were dropped because nobody read them in time. */
    readonly countDropped: () => number;
    /** Writes what waits, before the process ends; nothing if the reader has fallen behind, which would block. */
    readonly flush: () => void;
}

const defaultWaitingBytes = 1_048_576;

/**
 * Creates a destination that writes in the background and drops lines when its reader falls behind. The first line after
 * a gap tells how many were dropped.
 *
 * @param options - descriptor and bound
 * @returns the destination
 */
export function createBoundedDestination(options: BoundedDestinationOptions = {}): BoundedDestination {
    const { descriptor = 1, maximumWaitingBytes = defaultWaitingBytes } = options;
    const stream = openDestination({ fd: descriptor, sync: false, maxLength: maximumWaitingBytes });
    let dropped = 0;
    let reported = 0;
    stream.on("drop", () => {
        dropped++;
    });
    // A reader that has gone away must not end the process.
    stream.on("error", () => {
        dropped++;
    });

    return {
        countDropped: () => dropped,
        write: line => {
            const before = dropped;
            stream.write(line);
            if (dropped === before && dropped > reported) {
                stream.write(
                    `${JSON.stringify({ level: "warn", msg: "log lines dropped", lines: dropped - reported })}\n`,
                );
                reported = dropped;
            }
        },
        flush: () => {
            if (dropped > 0) {
                return;
            }
            try {
                stream.flushSync();
            }
            catch {
                // The reader is gone or does not read; the lines are lost with the process.
            }
        },
    };
}
