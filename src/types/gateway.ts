import type { AvailabilityZone, ClientAccount, InstanceId, Milliseconds, Region, RequestId } from "./identifiers.js";

/**
 * Kind of the requests of a route: `safe` requests may be repeated, `unsafe` ones may not. `streaming` ones get a
 * stream of events; they may be repeated if the route is resumable.
 */
export type RouteKind = "safe" | "unsafe" | "streaming";

/** Service that receives a share of a route's requests. */
export interface RouteDestination {
    readonly service: string;
    readonly weight: number;
}

/** Route of a gateway configuration. */
export interface RouteRow {
    readonly name: string;
    /** Host name in lower case. */
    readonly host: string;
    /** Begins and ends with a slash. */
    readonly pathPrefix: string;
    readonly kind: RouteKind;
    readonly destinations: readonly RouteDestination[];
    /** Maximum timeout of a request; its caller may state a shorter one. */
    readonly timeout: Milliseconds;
    /** Time within which an answer, or the first event of a stream, is on time. */
    readonly targetLatency: Milliseconds;
    /** Target for the longest pause between two events; undefined for routes without streams. */
    readonly targetGap: Milliseconds | undefined;
    /** 0 is the most urgent. */
    readonly urgency: number;
    /** Maximum number of backend servers that one request is sent to. */
    readonly maximumAttempts: number;
    /** True if no API key is needed. */
    readonly isPublic: boolean;
    /** True if a broken stream may be resumed at another backend server. */
    readonly resumable: boolean;
    /** Regions in which its requests may be served and stored. Default: any. */
    readonly allowedRegions?: readonly Region[] | undefined;
}

/**
 * How long an engine takes for the work in one pass. A pass reads at most `passTokens` prompt tokens, and writes
 * `stepsPerPass` tokens of each answer.
 */
export interface EngineTiming {
    /** Time of a step that writes one token of each answer in progress. */
    readonly stepTime: Milliseconds;
    /** Further time of a step for each answer in progress. */
    readonly stepTimePerRequest: Milliseconds;
    /** Further time of a step for each 1,000 tokens of context of an answer in progress. */
    readonly stepTimePerThousandTokens: Milliseconds;
    readonly promptTokensPerSecond: number;
    /** Time for a million pairs of a prompt token and an earlier token. */
    readonly timePerMillionPairs: Milliseconds;
    readonly passTokens: number;
    readonly stepsPerPass: number;
    /** Mean number of prompt tokens and of output tokens of a request; undefined if it is not stated. */
    readonly usual?: { readonly promptTokens: number; readonly outputTokens: number; } | undefined;
    /** Prompt and output tokens that fit in the memory of an engine. */
    readonly memoryTokens?: number | undefined;
}

/** Engine of a service: the model and the layout of its weights. */
export interface EngineRow {
    /** Model that every backend server of the service holds. */
    readonly model: string;
    readonly layers: number;
    readonly chunks: number;
    readonly chunkBytes: number;
    /** Maximum number of requests that run at once. */
    readonly slots: number;
    /** Undefined if the configuration does not state it completely. */
    readonly timing?: EngineTiming | undefined;
}

/** Limit on requests to a backend server that is cold: it has just started, or has lost its caches. */
export interface SlowStartRow {
    /** Time for which a backend server is cold after its start. */
    readonly duration: Milliseconds;
    /** Requests per second, from all gateways together, that a cold backend server tolerates. */
    readonly requestsPerSecond: number;
}

/** Service of a gateway configuration. */
export interface ServiceRow {
    readonly name: string;
    /** Maximum number of connections that one backend server accepts in total. */
    readonly maximumConnections: number;
    /** Undefined for plain services. */
    readonly engine: EngineRow | undefined;
    /** `host:port` of the origin of weights; undefined for services that run requests. */
    readonly originAddress: string | undefined;
    readonly zone: AvailabilityZone | undefined;
    /** Undefined if backend servers take their full load from their start. */
    readonly slowStart?: SlowStartRow | undefined;
}

/** Limits of what a caller may send. */
export interface CallerLimits {
    readonly headerBytes: number;
    readonly bodyBytes: number;
    readonly headerTimeout: Milliseconds;
    readonly idleTimeout: Milliseconds;
}

/** Client account with its API keys. */
export interface AccountRow {
    readonly name: ClientAccount;
    readonly apiKeys: readonly string[];
    /** 0 is the most urgent; undefined leaves it to the route. */
    readonly urgency: number | undefined;
    /** Regions in which its requests may be served and stored, in addition to the limits of the route. Default: any. */
    readonly allowedRegions?: readonly Region[] | undefined;
}

/** Configuration that gateways act on. */
export interface GatewayConfiguration {
    /** Increases with each change, not always by one. */
    readonly revision: number;
    readonly routes: readonly RouteRow[];
    readonly services: readonly ServiceRow[];
    readonly limits: CallerLimits;
    /** Undefined if requests carry no API keys. */
    readonly accounts: readonly AccountRow[] | undefined;
    /** Fields that were left out because their values are not valid, each with its reason. Default: none. */
    readonly problems?: readonly string[] | undefined;
}

/** State of a backend server in the platform's list. */
export type ListedState = "ready" | "draining";

/** Weights that a backend server has loaded. */
export interface LoadedWeights {
    readonly model: string;
    readonly version: number;
    /** True if every layer is loaded. */
    readonly complete: boolean;
}

/** Backend server as the platform lists it. */
export interface ListedBackendServer {
    readonly instance: InstanceId;
    readonly service: string;
    /** `host:port` */
    readonly address: string;
    readonly zone: AvailabilityZone;
    readonly slots: number;
    readonly state: ListedState;
    /** Undefined for plain services and before any weights are loaded. */
    readonly weights: LoadedWeights | undefined;
    /** Start of the backend server in milliseconds since 1970; undefined if it is not known. */
    readonly startedAt: number | undefined;
    /** Time for which it stays cold, as of when it wrote the entry; undefined if it does not state it. */
    readonly coldRemaining?: Milliseconds | undefined;
}

/** Version of a model that the operator has declared. */
export interface DeclaredVersion {
    readonly model: string;
    readonly version: number;
}

/** Fields of a caller's request that a caller protocol decodes from its headers. */
export interface CallerCall {
    readonly requestId: RequestId;
    /** Timeout that the caller states, counted from when it sent the request; undefined if it states none. */
    readonly callerTimeout: Milliseconds | undefined;
    /** Identifier of the last event that the caller has received; undefined at the start of a stream. */
    readonly resumeAfter: string | undefined;
    readonly apiKey: string | undefined;
    readonly model: string | undefined;
    /** Number of prompt tokens, and maximum number of output tokens; undefined for plain services. */
    readonly promptTokens: number | undefined;
    readonly maximumOutputTokens: number | undefined;
    /** Identifiers of the parts of the prompt that other requests may share, in order; empty for plain services. */
    readonly sharedParts: readonly string[];
    /** Number of output tokens that the caller expects: right at the median, but often far off. Default: not stated. */
    readonly expectedOutputTokens?: number | undefined;
}

/** Fields that a gateway adds to a request that it forwards. */
export interface ForwardedCall {
    /** Only instance that may run the request. */
    readonly instance: InstanceId;
    readonly remaining: Milliseconds;
    readonly clientAccount: ClientAccount | undefined;
    /** Identifier of the last event that was sent to the caller. */
    readonly resumeAfter: string | undefined;
    /** Version of the weights that must answer; undefined if any may. */
    readonly version: number | undefined;
    /** Rank in the queue of the engine, from 0 (first) to 9. Default: not stated, which engines treat as 5. */
    readonly engineRank?: number | undefined;
}

/** Load that a backend server states in an answer. */
export interface StatedLoad {
    readonly running: number;
    readonly queued: number;
    readonly slots: number;
    /** How long work takes on its instance at this moment; 1 is as usual, 2 is twice as long. Default: not stated. */
    readonly slowdown?: number | undefined;
}

/**
 * Rate limit that a backend server states in an answer, in requests per second from all gateways together; undefined if
 * it states none.
 */
export type StatedRateLimit = number | "unreadable" | undefined;

/** Head of a backend server's answer. */
export interface BackendServerHead {
    /** Request that the answer belongs to; undefined if its head does not name one. */
    readonly requestId: RequestId | undefined;
    /** True if the backend server states that it did not run the request. */
    readonly notRun: boolean;
    /** True if the answer has the header that proves that the backend server created it. */
    readonly proven: boolean;
    /** True if the body has a content encoding, which backend servers do not apply. */
    readonly encoded: boolean;
    readonly load: StatedLoad | undefined;
    /** True if the backend server closes the connection, for example because it leaves. */
    readonly closing: boolean;
    /** True if the backend server states that it is leaving. */
    readonly leaving: boolean;
    /** Time for which a backend server that turns the request away wants no others; undefined if it states none. */
    readonly pause: Milliseconds | undefined;
    readonly rateLimit: StatedRateLimit;
    /** Time for which it stays cold; undefined if it does not state it. */
    readonly coldRemaining?: Milliseconds | undefined;
}

/** Headers by lower-case name. */
export type HeaderTable = Readonly<Record<string, string>>;

/** Translation of the headers of requests and answers between callers, the gateway and backend servers. */
export interface CallerProtocol {
    /**
     * Decodes the headers of a caller's request.
     *
     * @param headers - headers by lower-case name
     * @returns the fields of the request; undefined if it has no request identifier
     */
    decodeCall(headers: HeaderTable): CallerCall | undefined;
    /**
     * Encodes the headers of a request to a backend server.
     *
     * @param headers - the caller's headers by lower-case name
     * @param forwarded - fields that the gateway adds
     * @returns the headers to send, without those that apply to a single connection
     */
    encodeForwarded(headers: HeaderTable, forwarded: ForwardedCall): Record<string, string>;
    /**
     * Decodes the head of a backend server's answer.
     *
     * @param status - HTTP status
     * @param headers - headers by lower-case name
     * @returns the fields of the head
     */
    decodeHead(status: number, headers: HeaderTable): BackendServerHead;
}

/** Kind of a record of the operator. */
export type OperatorRecordKind = "configuration" | "declared-version" | "evacuation" | "other";

/** Decodes the platform's records. Each function returns undefined for a record that cannot be read. */
export interface RecordDecoder {
    decodeConfiguration(key: string, value: Uint8Array): GatewayConfiguration | undefined;
    decodeDeclaredVersion(key: string, value: Uint8Array): DeclaredVersion | undefined;
    decodeBackendServer(key: string, value: Uint8Array): ListedBackendServer | undefined;
    /** Returns the kind of the record at a key of the operator's topic. */
    classifyOperatorKey(key: string): OperatorRecordKind;
    /**
     * Reads the zone of an evacuation. While the key has a record, nothing is sent to the backend servers of the zone.
     *
     * @param key - key of the record
     * @returns the zone; undefined if the key names none
     */
    decodeEvacuation(key: string): AvailabilityZone | undefined;
}
