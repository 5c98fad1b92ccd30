import type { Result } from "true-myth/result";
import type { FoldOutcome, FoldState } from "../../runtime/state/types.js";
import type {
    Clock,
    GoldcrestpointError,
    LogEntry,
    LogPort,
    Manifest,
    ManifestDigest,
    Milliseconds,
    Offset,
    OriginPort,
    PortResult,
} from "../../types/index.js";
import type { OperatorSettings, SettingsSources } from "../settings/index.js";
import type { ExitCode } from "./exitCodes.js";

/** The ordered fold of log records. */
export interface FoldPort {
    createFoldState(): FoldState;
    foldEntry(state: FoldState, entry: LogEntry): FoldOutcome;
    /** Prepares an empty state for a log whose first entries have expired. */
    beginAfterTruncation(state: FoldState, firstOffset: Offset): void;
}

/** Answer of an entry instance to an operator's question. */
export interface EntryAnswer {
    readonly status: number;
    /** Parsed JSON; undefined if the answer is none. */
    readonly body: unknown;
}

/** HTTP requests of operators to entry instances. */
export interface EntryQueryPort {
    /**
     * Reads a path of an entry instance.
     *
     * @param baseUrl - HTTP address of the entry instance
     * @param path - path from `/`
     * @returns the answer; `PEER_UNREACHABLE` if there is none
     */
    get(baseUrl: string, path: string): PortResult<EntryAnswer>;
}

/** What the operator commands use of the outside. */
export interface OperatorPorts {
    readonly log: LogPort;
    readonly origin: OriginPort;
    readonly entries: EntryQueryPort;
    readonly fold: FoldPort;
    /** Computes the digest that a configuration record pins. */
    computeManifestDigest(manifest: Manifest): ManifestDigest;
    readonly clock: Clock;
    /** Creates a UUID. */
    createId(): string;
    /**
     * Waits.
     *
     * @param duration - time to wait
     * @returns false if the program is to end
     */
    pause(duration: Milliseconds): Promise<boolean>;
}

/** Result of a command in both forms of output. */
export interface CommandReport {
    readonly text: string;
    readonly json: unknown;
}

/** What an operator command works with. */
export interface OperatorContext {
    readonly ports: OperatorPorts;
    readonly settings: OperatorSettings;
    /** Writes a report in the form that the operator asked for. */
    emit(report: CommandReport): void;
    /** Writes a line for people to standard error. */
    warn(line: string): void;
}

/** Options of a command as commander parses them. */
export type CommandOptions = Readonly<Record<string, string | boolean | readonly string[] | undefined>>;

/** Runs an operator command. */
export type CommandHandler = (
    context: OperatorContext,
    argument: string,
    options: CommandOptions,
) => Promise<Result<ExitCode, GoldcrestpointError>>;

/** Starts a daemon or stand-in and returns when it has ended. */
export type ProgramStarter = (sources: SettingsSources) => Promise<Result<void, GoldcrestpointError>>;

/** What the command line needs of the process that it runs in. */
export interface CommandLineDependencies {
    readonly environment: Readonly<Record<string, string | undefined>>;
    readonly writeOutput: (text: string) => void;
    readonly writeError: (text: string) => void;
    /** Creates the ports; called only by commands that use them. */
    createPorts(settings: OperatorSettings): Promise<OperatorPorts & AsyncDisposable>;
    /** Daemons and stand-ins by name. */
    readonly programs: Readonly<Record<"entry" | "agent" | "platform" | "engine" | "service", ProgramStarter>>;
}
