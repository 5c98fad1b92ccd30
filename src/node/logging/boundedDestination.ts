import { fstatSync } from "node:fs";
import { Socket } from "node:net";
import { destination as openDestination, type DestinationStream } from "pino";

/** Options of {@link createBoundedDestination}. */
export interface BoundedDestinationOptions {
    /** File descriptor to write to. Default: 1, standard output. */
    readonly descriptor?: number | undefined;
    /** Maximum bytes of lines that are buffered until they are read; further lines are dropped. Default: 1 MiB. */
    readonly maximumWaitingBytes?: number | undefined;
}

/** Destination of log lines that never blocks the process. */
export interface BoundedDestination extends DestinationStream {
    /** Number of lines that were dropped because the reader fell behind. */
    readonly countDropped: () => number;
    /** Writes the buffered lines before the process exits, unless this would block because the reader fell behind. */
    readonly flush: () => void;
}

/** Writes lines in the background. */
interface LineWriter {
    /** @returns true if the line was buffered or written; false if it was dropped */
    write(line: string): boolean;
    flush(): void;
}

const defaultMaximumWaitingBytes = 1_048_576;

/** Creates the writer for a pipe or socket. Buffered lines that are not read do not delay the exit of the process. */
function createPipeWriter(descriptor: number, maximumWaitingBytes: number): LineWriter {
    const socket = new Socket({ fd: descriptor, readable: false, writable: true });
    socket.unref();
    let broken = false;
    // The process must survive the exit of its reader; without a listener, the error would end it.
    socket.on("error", () => {
        broken = true;
    });
    let uncorking: NodeJS.Immediate | undefined;

    function uncork(): void {
        clearImmediate(uncorking);
        uncorking = undefined;
        socket.uncork();
    }

    return {
        write: line => {
            if (broken || socket.writableLength + line.length > maximumWaitingBytes) {
                return false;
            }
            if (uncorking === undefined) {
                // The lines of one iteration of the event loop are written with one call.
                socket.cork();
                uncorking = setImmediate(uncork);
            }
            socket.write(line);
            return true;
        },
        flush: uncork,
    };
}

/** Creates the writer for a file or a terminal. */
function createFileWriter(descriptor: number, maximumWaitingBytes: number): LineWriter {
    const stream = openDestination({ fd: descriptor, sync: false, maxLength: maximumWaitingBytes });
    let lost = 0;
    const countLost = (): void => {
        lost++;
    };
    stream.on("drop", countLost);
    stream.on("error", countLost);
    return {
        write: line => {
            const before = lost;
            stream.write(line);
            return lost === before;
        },
        flush: () => {
            try {
                stream.flushSync();
            }
            catch {
                // The file cannot be written, so the lines are lost when the process exits.
            }
        },
    };
}

function isPipe(descriptor: number): boolean {
    const kind = fstatSync(descriptor);
    return kind.isFIFO() || kind.isSocket();
}

/**
 * Creates a destination that writes in the background and drops lines when its reader falls behind. After a gap, it
 * writes a line with the number of dropped lines.
 *
 * @param options - file descriptor and maximum size of the buffer
 * @returns the destination
 */
export function createBoundedDestination(options: BoundedDestinationOptions = {}): BoundedDestination {
    const { descriptor = 1, maximumWaitingBytes = defaultMaximumWaitingBytes } = options;
    const createWriter = isPipe(descriptor) ? createPipeWriter : createFileWriter;
    const writer = createWriter(descriptor, maximumWaitingBytes);
    let dropped = 0;
    let reported = 0;

    return {
        countDropped: () => dropped,
        write: line => {
            if (!writer.write(line)) {
                dropped++;
            }
            else if (dropped > reported) {
                writer.write(
                    `${JSON.stringify({ level: "warn", msg: "log lines dropped", lines: dropped - reported })}\n`,
                );
                reported = dropped;
            }
        },
        flush: () => {
            writer.flush();
        },
    };
}
