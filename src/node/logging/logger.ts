import { type DestinationStream, type Logger, pino, stdTimeFunctions } from "pino";

/** Options of a logger. */
export interface LoggerOptions {
    /** Least severe level that is written. */
    readonly level: "debug" | "info" | "warn" | "error";
    /** Name of the program, written into each line. */
    readonly program: string;
    /** Identifier of the instance, written into each line. */
    readonly instance: string;
    /** Default: standard output. */
    readonly destination?: DestinationStream | undefined;
}

/**
 * Creates a logger that writes one JSON object per line.
 *
 * @param options - level, names and destination
 * @returns the logger
 */
export function createLogger(options: LoggerOptions): Logger {
    const settings = {
        level: options.level,
        base: { program: options.program, instance: options.instance },
        timestamp: stdTimeFunctions.isoTime,
        formatters: { level: (label: string) => ({ level: label }) },
    };
    return options.destination === undefined ? pino(settings) : pino(settings, options.destination);
}
