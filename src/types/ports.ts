import type { Result } from "true-myth/result";
import type { GoldcrestpointError } from "./errors.js";
import type { InstanceId, ManifestDigest, Milliseconds, Offset } from "./identifiers.js";
import type { Manifest } from "./manifest.js";
import type { LogEntry, LogRecord } from "./records.js";
import type { InstanceRole, InstanceState } from "./tables.js";

/** Result of an operation on an external system. */
export type PortResult<Value> = Promise<Result<Value, GoldcrestpointError>>;

/** Part of the log that a read returned. */
export interface LogPage {
    /** Smallest offset that the log still contains; entries below it have expired. */
    readonly firstOffset: Offset;
    /** Offset of the newest record; 0 for an empty log. */
    readonly headOffset: Offset;
    /** Entries with offsets greater than the one asked for, in order. */
    readonly entries: readonly LogEntry[];
}

/** The platform's append-only log. */
export interface LogPort {
    /**
     * Appends a record.
     *
     * @param record - the record
     * @returns its offset; `APPEND_AMBIGUOUS` if the response was lost and the record may have been appended
     */
    append(record: LogRecord): PortResult<Offset>;
    /**
     * Reads entries after an offset.
     *
     * @param afterOffset - the last offset that the caller knows
     * @param waitMilliseconds - maximum time that the service waits for a new record
     * @returns the entries; at most 500
     */
    read(afterOffset: Offset, waitMilliseconds: Milliseconds): PortResult<LogPage>;
}

/** Row of the platform's instance list. */
export interface ListedInstance {
    readonly instance: InstanceId;
    readonly role: InstanceRole;
    readonly pool: string;
    readonly zone: string;
    readonly region: string;
    readonly address: string;
    readonly state: Exclude<InstanceState, "gone">;
}

/** The platform's list of instances, which shows changes with a delay. */
export interface InstanceListPort {
    /**
     * Reads the list.
     *
     * @returns live and leaving instances
     */
    list(): PortResult<readonly ListedInstance[]>;
}

/** The platform's origin of weights, and its weight store with the manifests, whose reads are rate-limited. */
export interface OriginPort {
    /**
     * Finds the manifest of a weight set.
     *
     * @param model - model name
     * @param adapter - adapter name; empty for none
     * @param version - version name
     * @returns the manifest
     */
    resolveManifest(model: string, adapter: string, version: string): PortResult<Manifest>;
    /**
     * Reads a manifest by its digest.
     *
     * @param digest - manifest digest
     * @param signal - aborts the read
     * @returns the manifest, verified against the digest
     */
    readManifest(digest: ManifestDigest, signal?: AbortSignal): PortResult<Manifest>;
    /**
     * Reads one chunk. The content is not verified.
     *
     * @param digest - manifest digest
     * @param index - index of the chunk in the manifest
     * @param signal - aborts the transfer
     * @returns the chunk's bytes
     */
    readChunk(digest: ManifestDigest, index: number, signal?: AbortSignal): PortResult<Uint8Array>;
}

/** Fencing token of an order; compared by epoch, then agent start, then sequence. */
export interface FencingToken {
    readonly epoch: Offset;
    /** Wall-clock start of the agent process in milliseconds since 1970. */
    readonly agentStart: number;
    readonly sequence: number;
}

/** State of one weight set that is staged in the memory of the engine's host. */
export interface StagedSet {
    readonly manifestDigest: ManifestDigest;
    readonly chunksTotal: number;
    /** Bitfield of the staged chunks in base64, least significant bit first. */
    readonly bitfield: string;
}

/** What an engine reports about itself. */
export interface EngineState {
    /** Changes with each start of the engine. */
    readonly incarnation: string;
    /** The active set; undefined if none. */
    readonly active: {
        readonly model: string;
        readonly adapter: string;
        readonly version: string;
        readonly manifestDigest: ManifestDigest;
    } | undefined;
    readonly staged: readonly StagedSet[];
    readonly running: number;
    readonly queued: number;
    readonly capacity: number;
    readonly cachedPrefixes: readonly string[];
    readonly highestToken: FencingToken | undefined;
}

/** Order to an engine. */
export type EngineOrder =
    | {
        readonly kind: "prepare";
        readonly token: FencingToken;
        readonly manifestDigest: ManifestDigest;
        readonly chunksTotal: number;
    }
    | {
        readonly kind: "activate";
        readonly token: FencingToken;
        readonly manifestDigest: ManifestDigest;
        readonly model: string;
        readonly adapter: string;
        readonly version: string;
    }
    | { readonly kind: "deactivate"; readonly token: FencingToken; }
    | { readonly kind: "drop"; readonly token: FencingToken; readonly manifestDigest: ManifestDigest; };

/** Request to a backend server. */
export interface BackendRequest {
    readonly requestId: string;
    readonly method: string;
    readonly path: string;
    readonly contentType: string;
    readonly body: Uint8Array;
    readonly priority: number;
    /** Weights that must compute the answer; undefined for plain services. */
    readonly manifestDigest: ManifestDigest | undefined;
    /** Key by which the backend server may recognize a repeated request; undefined for none. */
    readonly idempotencyKey?: string | undefined;
}

/** Beginning of a backend server's answer. */
export interface BackendResponse {
    readonly status: number;
    readonly contentType: string;
    readonly requestId: string;
    readonly model: string;
    readonly adapter: string;
    readonly version: string;
    readonly manifestDigest: ManifestDigest;
    readonly body: AsyncIterable<Uint8Array>;
}

/** Model engine or plain service on the instance of an agent. */
export interface BackendServerPort {
    /** @returns the engine's state; plain services report no active set */
    readState(): PortResult<EngineState>;
    /**
     * Sends an order.
     *
     * @param order - the order
     * @returns nothing; `ENGINE_REFUSED` for an old fencing token, `ORDER_AMBIGUOUS` if the response was lost
     */
    order(order: EngineOrder): PortResult<void>;
    /**
     * Stages a verified chunk in the memory of the engine's host.
     *
     * @param digest - manifest digest of the set
     * @param index - index of the chunk
     * @param content - verified bytes
     * @returns nothing
     */
    stageChunk(digest: ManifestDigest, index: number, content: Uint8Array): PortResult<void>;
    /**
     * Reads a staged chunk, to send it to another agent.
     *
     * @param digest - manifest digest of the set
     * @param index - index of the chunk
     * @returns the chunk's bytes
     */
    readChunk(digest: ManifestDigest, index: number): PortResult<Uint8Array>;
    /**
     * Runs a request.
     *
     * @param request - the request
     * @param signal - cancels the request
     * @returns the answer; `mayHaveTakenEffect` of an error states whether the request may have run
     */
    execute(request: BackendRequest, signal: AbortSignal): PortResult<BackendResponse>;
}
