import { err, ok } from "true-myth/result";
import { runCommandLine } from "../../../src/node/cli/commandLine.js";
import type { EntryAnswer, FoldPort, OperatorPorts } from "../../../src/node/cli/types.js";
import { createError, type LogEntry, type LogPort, type LogRecord, type Manifest } from "../../../src/types/index.js";
import { computeDigest, createManualClock } from "../../../src/utils/index.js";

/** Fault of one append; a function is called before the record is appended. */
export type AppendFault = "none" | "answer-lost" | "refused" | "lost" | ((log: MemoryLog) => void);

/** In-memory log whose appends and reads fail as specified. */
export interface MemoryLog extends LogPort {
    readonly entries: LogEntry[];
    /** Faults of the next appends, in order; none if empty. */
    readonly appendFaults: AppendFault[];
    /** Number of reads that fail before the next one succeeds. */
    failingReads: number;
    write(record: LogRecord): number;
}

export function createMemoryLog(): MemoryLog {
    const entries: LogEntry[] = [];
    const unreachable = () => createError("LOG_UNREACHABLE", "append record", "log", "the log is down");
    const ambiguous = () =>
        createError("APPEND_AMBIGUOUS", "append record", "log", "the answer was lost", { mayHaveTakenEffect: true });
    const log: MemoryLog = {
        entries,
        appendFaults: [],
        failingReads: 0,
        write: record => {
            const previousOffset = entries.at(-1)?.offset ?? 0;
            // Leaves gaps between offsets, as the expiry of other records does.
            entries.push({ offset: previousOffset + 3, previousOffset, record });
            return previousOffset + 3;
        },
        append: record => {
            const fault = log.appendFaults.shift() ?? "none";
            if (fault === "refused") {
                return Promise.resolve(err(unreachable()));
            }
            if (fault === "lost") {
                return Promise.resolve(err(ambiguous()));
            }
            if (typeof fault === "function") {
                fault(log);
            }
            const offset = log.write(record);
            return Promise.resolve(fault === "answer-lost" ? err(ambiguous()) : ok(offset));
        },
        read: afterOffset => {
            if (log.failingReads > 0) {
                log.failingReads -= 1;
                return Promise.resolve(err(unreachable()));
            }
            const page = entries.filter(({ offset }) => offset > afterOffset).slice(0, 2);
            return Promise.resolve(ok({
                firstOffset: entries[0]?.offset ?? 0,
                headOffset: entries.at(-1)?.offset ?? 0,
                entries: page,
            }));
        },
    };
    return log;
}

export const manifest: Manifest = {
    model: "quill",
    adapter: "",
    version: "7",
    totalBytes: 10,
    chunks: [{ bytes: 10, digest: "c" }],
};

/** Creates a function that runs a command with in-memory ports and collects its output. */
export function createCommandRunner(log: MemoryLog, fold: FoldPort, answers: Record<string, EntryAnswer> = {}) {
    let nextId = 1;
    let pauses = 0;
    const ports: OperatorPorts & AsyncDisposable = {
        log,
        fold,
        origin: {
            resolveManifest: (model, adapter, version) => Promise.resolve(ok({ ...manifest, model, adapter, version })),
            readManifest: () => Promise.resolve(ok(manifest)),
            readChunk: () => Promise.resolve(ok(new Uint8Array())),
        },
        entries: {
            get: (baseUrl, path) => {
                const answer = answers[baseUrl + path];
                return Promise.resolve(
                    answer === undefined ?
                        err(createError("PEER_UNREACHABLE", "ask", baseUrl, "no answer")) :
                        ok(answer),
                );
            },
        },
        computeManifestDigest: ({ model, adapter, version }) => computeDigest(model, adapter, version),
        clock: createManualClock(),
        createId: () => `id-${nextId++}`,
        pause: () => {
            pauses += 1;
            return Promise.resolve(pauses < 10);
        },
        [Symbol.asyncDispose]: () => Promise.resolve(),
    };
    const program = () => Promise.resolve(ok(undefined));
    return async (...commandArguments: string[]) => {
        let output = "";
        let errors = "";
        const exitCode = await runCommandLine(commandArguments, {
            environment: {},
            writeOutput: text => {
                output += text;
            },
            writeError: text => {
                errors += text;
            },
            createPorts: () => Promise.resolve(ports),
            programs: { entry: program, agent: program, platform: program, engine: program, service: program },
        });
        return { exitCode, output, errors, json: parseOutput(output) };
    };
}

function parseOutput(output: string): Record<string, unknown> {
    return output.startsWith("{") ? JSON.parse(output.split("\n")[0]!) as Record<string, unknown> : {};
}
