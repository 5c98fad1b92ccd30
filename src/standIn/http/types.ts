import type { IncomingHttpHeaders } from "node:http";
import type { Clock, Milliseconds, RandomSource } from "../../types/index.js";

/**
 * Faults of an operation:
 *
 * - `outage`: the connection is closed without an answer, nothing is carried out;
 * - `reset`: like `outage`, with a TCP reset;
 * - `refuse`: status 503 with `x-executed: no`, nothing is carried out;
 * - `slow`: the action is carried out after `delayMilliseconds`, also if the connection was closed meanwhile;
 * - `lose-answer`: the action is carried out and the connection is closed without an answer;
 * - `truncate`: the action is carried out and the connection is closed after half of the body; with `clean` the
 *   answer ends after half of the body without a sign of an error;
 * - `corrupt`: one byte of the body is changed;
 * - `duplicate`: the action is carried out twice; a read repeats its entries;
 * - `out-of-order`: the answer waits until a later request of the same operation was answered, at most
 *   `delayMilliseconds`; a read returns its entries in reverse order;
 * - `cross-answer`: the answer carries another request's id;
 * - `slow-stream`: `delayMilliseconds` pass before each part of the body;
 * - `stall-stream`: half of the body is sent, then nothing.
 */
export type FaultKind =
    | "outage"
    | "reset"
    | "refuse"
    | "slow"
    | "lose-answer"
    | "truncate"
    | "corrupt"
    | "duplicate"
    | "out-of-order"
    | "cross-answer"
    | "slow-stream"
    | "stall-stream";

/** Fault that a stand-in applies to an operation. */
export interface FaultRule {
    /** Name of the operation, or `*` for each operation but those of control. */
    readonly operation: string;
    readonly kind: FaultKind;
    /** Matching requests that pass before the rule applies. Default: 0. */
    readonly skip?: number | undefined;
    /** Requests that the rule applies to. Default: no limit. */
    readonly times?: number | undefined;
    /** Share of the matching requests that the rule applies to. Default: 1. */
    readonly probability?: number | undefined;
    /** Default: 200 ms. */
    readonly delayMilliseconds?: Milliseconds | undefined;
    /** See `truncate`. Default: false. */
    readonly clean?: boolean | undefined;
}

/** Request to a stand-in. */
export interface StandInRequest {
    readonly method: string;
    readonly path: string;
    /** Parameters of the route. */
    readonly parameters: Readonly<Record<string, string>>;
    readonly query: URLSearchParams;
    readonly headers: IncomingHttpHeaders;
    readonly body: Uint8Array;
    /** Aborted when the connection closes before the answer is complete. */
    readonly signal: AbortSignal;
}

/** Answer of a stand-in. */
export interface StandInAnswer {
    readonly status: number;
    readonly headers?: Readonly<Record<string, string>> | undefined;
    readonly body?: Uint8Array | string | AsyncIterable<Uint8Array> | undefined;
}

/** Operation of a stand-in. */
export interface StandInRoute {
    /** Name that fault rules use. */
    readonly operation: string;
    readonly method: string;
    /** Path in the notation of `find-my-way`. */
    readonly path: string;
    /** Body for the faults that change it: `duplicate` and `out-of-order` of a read. Default: the general effect. */
    readonly rearrange?: Partial<Record<FaultKind, (answer: StandInAnswer) => StandInAnswer>> | undefined;
    readonly handle: (request: StandInRequest) => StandInAnswer | Promise<StandInAnswer>;
}

/** Options that all stand-ins share. */
export interface StandInServerOptions {
    /** Default: `127.0.0.1`. */
    readonly host?: string | undefined;
    /** Default: a free port that nothing else takes while the server is suspended. */
    readonly port?: number | undefined;
    /** Default: the machine's clocks. */
    readonly clock?: Clock | undefined;
    /** Source of the choices of fault rules with a probability. Default: seeded with 1. */
    readonly random?: RandomSource | undefined;
    /** Faults from the start. Default: none. */
    readonly faults?: readonly FaultRule[] | undefined;
}

/** Fault control of a stand-in. */
export interface FaultControl {
    /**
     * Adds a rule; the rule that was added first applies first.
     *
     * @param rule - the rule
     */
    add(rule: FaultRule): void;
    /**
     * Removes rules.
     *
     * @param operation - rules of this operation only; default: all rules
     */
    clear(operation?: string): void;
    /** @returns the rules */
    list(): readonly FaultRule[];
}

/** Running server of a stand-in. */
export interface StandInServer extends AsyncDisposable {
    readonly host: string;
    readonly port: number;
    readonly baseUrl: string;
    readonly faults: FaultControl;
    /** Aborted when the server stops for good. */
    readonly stopped: AbortSignal;
    /** Closes all connections and refuses new ones. */
    suspend(): Promise<void>;
    /** Listens again on the same port. */
    resume(): Promise<void>;
}
