import { existsSync, readFileSync } from "node:fs";

/** Event of a soak. */
export interface TimelineEvent {
    /** Wall-clock time in milliseconds. */
    readonly at: number;
    readonly text: string;
}

/** Records what happens in a soak, and when. */
export interface Timeline {
    record(text: string): void;
    readonly events: () => readonly TimelineEvent[];
    /** Formats events in the order of their times, in seconds since the start of the soak. */
    format(events: readonly TimelineEvent[]): string;
}

export function createTimeline(): Timeline {
    const startedAt = Date.now();
    const events: TimelineEvent[] = [];
    return {
        record: text => void events.push({ at: Date.now(), text }),
        events: () => events,
        format: all =>
            all.toSorted((left, right) => left.at - right.at)
                .map(({ at, text }) => `${((at - startedAt) / 1_000).toFixed(3).padStart(8)} ${text}`)
                .join("\n"),
    };
}

const omittedFields = ["level", "time", "msg", "pid", "hostname", "name", "instance"];

/** Reads the log lines of a program. */
export function readLogEvents(name: string, path: string): readonly TimelineEvent[] {
    if (!existsSync(path)) {
        return [];
    }
    return readFileSync(path, "utf8").split("\n").flatMap(line => {
        if (!line.startsWith("{")) {
            return [];
        }
        const fields = JSON.parse(line) as Readonly<Record<string, unknown>>;
        const rest = Object.fromEntries(Object.entries(fields).filter(([key]) => !omittedFields.includes(key)));
        const at = new Date(fields["time"] as string | number).getTime();
        return [{ at, text: `${name} logs: ${String(fields["msg"])} ${JSON.stringify(rest)}` }];
    });
}
