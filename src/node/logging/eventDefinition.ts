/** Subject of a log line, by which docs/events.md groups the events. */
export type EventGroup = "process" | "dependency" | "belief" | "request" | "weights";

/** One kind of log line. */
export interface EventDefinition {
    readonly group: EventGroup;
    /** Programs that write it. */
    readonly programs: readonly ("entry" | "agent" | "gateway")[];
    /** When it is written. */
    readonly meaning: string;
    /** Fields in addition to those that every line has. */
    readonly fields: readonly string[];
}

/**
 * Defines a kind of log line.
 *
 * @param group - subject of the line
 * @param programs - programs that write it
 * @param meaning - when it is written
 * @param fields - fields in addition to those that every line has
 * @returns the definition
 */
export function define(
    group: EventGroup,
    programs: EventDefinition["programs"],
    meaning: string,
    fields: readonly string[] = [],
): EventDefinition {
    return { group, programs, meaning, fields };
}

/** Fields of a line that reports an error. */
export const errorFields = ["code", "step", "peer", "detail"] as const;
