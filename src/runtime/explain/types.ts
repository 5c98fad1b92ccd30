import type { Milliseconds, RequestId } from "../../types/index.js";

/** Parsed line of a log file. */
export interface LogLine {
    /** Instance of the process. */
    readonly instance: string;
    /** Time by the clock of the process, in milliseconds since 1970. */
    readonly writtenAt: Milliseconds;
    /** Time by the clock of the log collector, which precedes the line; undefined if there is none. */
    readonly commonTime: Milliseconds | undefined;
    /** Position among all lines that were read. */
    readonly position: number;
    readonly message: string;
    /** All other fields, as they were written. */
    readonly fields: Readonly<Record<string, unknown>>;
}

/** What a line in the timeline of a request is about. */
export type Relation = "request" | "backend-server" | "agent" | "configuration";

/** Line of a timeline. */
export interface TimelineEntry {
    readonly line: LogLine;
    readonly relation: Relation;
    /** Time since the first line about the request; negative before it. */
    readonly after: Milliseconds;
    /**
     * How far the clock of the process is ahead of the median of all lines, compared by their common time; undefined if
     * not all lines have one.
     */
    readonly clockAhead: Milliseconds | undefined;
}

/** What the log lines of several processes say about one request. */
export interface Explanation {
    readonly requestId: RequestId;
    /** How the request ended and why, in one sentence for each line that decided it. */
    readonly causes: readonly string[];
    readonly timeline: readonly TimelineEntry[];
    /** Instances of the processes whose lines the timeline contains. */
    readonly instances: readonly string[];
    /** True if lines of different processes are ordered by a common time instead of the processes' own clocks. */
    readonly clocksCompared: boolean;
}
