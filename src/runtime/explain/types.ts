import type { Milliseconds, RequestId } from "../../types/index.js";

/** One line that a process has logged. */
export interface LogLine {
    /** Instance of the process. */
    readonly instance: string;
    /** Time by the clock of the process, in milliseconds since 1970. */
    readonly writtenAt: Milliseconds;
    /** Time that all lines share, stated before the line; undefined if there is none. */
    readonly commonTime: Milliseconds | undefined;
    /** Position among all lines that were read. */
    readonly position: number;
    readonly message: string;
    /** All other fields, as they were written. */
    readonly fields: Readonly<Record<string, unknown>>;
}

/** Why a line belongs to the timeline of a request. */
export type Relation = "request" | "backend-server" | "agent" | "configuration";

/** Line of a timeline. */
export interface TimelineEntry {
    readonly line: LogLine;
    readonly relation: Relation;
    /** Time after the first line about the request. */
    readonly after: Milliseconds;
    /**
     * How far the clock of the process is ahead of the middle of all lines, by the time that they share; undefined if
     * they share none.
     */
    readonly clockAhead: Milliseconds | undefined;
}

/** What the lines of several processes tell about one request. */
export interface Explanation {
    readonly requestId: RequestId;
    /** How the request ended and why, in one sentence for each line that decided it. */
    readonly causes: readonly string[];
    readonly timeline: readonly TimelineEntry[];
    /** Processes whose lines take part. */
    readonly instances: readonly string[];
    /** True if the order of lines of different processes rests on a time that they share. */
    readonly clocksCompared: boolean;
}
