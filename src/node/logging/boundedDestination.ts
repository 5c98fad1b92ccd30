import { fstatSync } from "node:fs";
import { Socket } from "node:net";
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

/** Writes lines in the background. */
interface LineWriter {
    /** @returns whether the line was taken; else it is lost */
    write(line: string): boolean;
    flush(): void;
}

const defaultWaitingBytes = 1_048_576;

/** Creates the writer for a pipe or socket. Nothing that waits for a reader delays the end of the process. */
function createPipeWriter(descriptor: number, maximumWaitingBytes: number): LineWriter {
    const socket = new Socket({ fd: descriptor, readable: false, writable: true });
    socket.unref();
    let broken = false;
    // A reader that has gone away must not end the process.
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
                // The lines of one turn of the event loop are written together.
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
                // The file cannot be written; the lines are lost with the process.
            }
        },
    };
}

function isPipe(descriptor: number): boolean {
    const kind = fstatSync(descriptor);
    return kind.isFIFO() || kind.isSocket();
}

/**
 * Creates a destination that writes in the background and drops lines when its reader falls behind. The first line after
 * a gap tells how many were dropped.
 *
 * @param options - descriptor and bound
 * @returns the destination
 */
export function createBoundedDestination(options: BoundedDestinationOptions = {}): BoundedDestination {
    const { descriptor = 1, maximumWaitingBytes = defaultWaitingBytes } = options;
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
