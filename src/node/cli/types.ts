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

/** Functions that derive the state from log records, applied in the order of the log. */
export interface FoldPort {
    createFoldState(): FoldState;
    foldEntry(state: FoldState, entry: LogEntry): FoldOutcome;
    /** Prepares an empty state for a log whose first entries have expired. */
    beginAfterTruncation(state: FoldState, firstOffset: Offset): void;
}

/** HTTP response of an entry instance to an operator's query. */
export interface EntryAnswer {
    readonly status: number;
    /** Parsed JSON; undefined if the body is not JSON. */
    readonly body: unknown;
}

/** HTTP requests of operators to entry instances. */
export interface EntryQueryPort {
    /**
     * Sends a GET request to an entry instance.
     *
     * @param baseUrl - base URL of the entry instance
     * @param path - path that begins with `/`
     * @returns the response; `PEER_UNREACHABLE` if there is none
     */
    get(baseUrl: string, path: string): PortResult<EntryAnswer>;
}

/** External services and functions that the operator commands use. */
export interface OperatorPorts {
    readonly log: LogPort;
    readonly origin: OriginPort;
    readonly entries: EntryQueryPort;
    readonly fold: FoldPort;
    /** Computes the manifest digest that is written to a configuration record. */
    computeManifestDigest(manifest: Manifest): ManifestDigest;
    readonly clock: Clock;
    /** Creates a UUID. */
    createId(): string;
    /**
     * Waits.
     *
     * @param duration - time to wait
     * @returns false if the program was interrupted and has to end
     */
    pause(duration: Milliseconds): Promise<boolean>;
}

/** Result of a command in both forms of output. */
export interface CommandReport {
    readonly text: string;
    readonly json: unknown;
}

/** Ports, settings and output of an operator command. */
export interface OperatorContext {
    readonly ports: OperatorPorts;
    readonly settings: OperatorSettings;
    /** Writes a report to standard output, as JSON or text as the operator requested. */
    emit(report: CommandReport): void;
    /** Writes a line of text to standard error. */
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

/** Runs a daemon or stand-in and returns when it has ended. */
export type ProgramStarter = (sources: SettingsSources) => Promise<Result<void, GoldcrestpointError>>;

/** Environment, output and implementations that the command line uses. */
export interface CommandLineDependencies {
    readonly environment: Readonly<Record<string, string | undefined>>;
    readonly writeOutput: (text: string) => void;
    readonly writeError: (text: string) => void;
    /** Creates the ports; called only by commands that use them. */
    createPorts(settings: OperatorSettings): Promise<OperatorPorts & AsyncDisposable>;
    /** Daemons and stand-ins by name. */
    readonly programs: Readonly<Record<"entry" | "agent" | "platform" | "engine" | "service", ProgramStarter>>;
}
