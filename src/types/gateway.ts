import type { AvailabilityZone, ClientAccount, InstanceId, Milliseconds, RequestId } from "./identifiers.js";

/** What may be repeated: everything, nothing, or a stream of events. */
export type RouteKind = "safe" | "unsafe" | "streaming";

/** Service that a share of a route's requests goes to. */
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
    /** Longest time for which a request may be kept waiting. */
    readonly timeout: Milliseconds;
    /** Time within which an answer, or the first event of a stream, is on time. */
    readonly targetLatency: Milliseconds;
    /** Longest pause between two events that is on time; undefined for other kinds. */
    readonly targetGap: Milliseconds | undefined;
    /** 0 is the most urgent. */
    readonly urgency: number;
    /** Backend servers that one request may be sent to. */
    readonly maximumAttempts: number;
    /** True if no API key is needed. */
    readonly isPublic: boolean;
    /** True if a broken stream may go on at another backend server. */
    readonly resumable: boolean;
}

/** Engine of a service: how its backend servers hold weights. */
export interface EngineRow {
    /** Model that every backend server of the service holds. */
    readonly model: string;
    readonly layers: number;
    readonly chunks: number;
    readonly chunkBytes: number;
    /** Requests that run at once. */
    readonly slots: number;
}

/** Service of a gateway configuration. */
export interface ServiceRow {
    readonly name: string;
    /** Connections that one backend server accepts from all callers together. */
    readonly maximumConnections: number;
    /** Undefined for plain services. */
    readonly engine: EngineRow | undefined;
    /** `host:port` of the origin of weights; undefined for services that run requests. */
    readonly originAddress: string | undefined;
    readonly zone: AvailabilityZone | undefined;
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
}

/** Configuration that gateways act on. */
export interface GatewayConfiguration {
    /** Grows with each change, not always by one. */
    readonly revision: number;
    readonly routes: readonly RouteRow[];
    readonly services: readonly ServiceRow[];
    readonly limits: CallerLimits;
    /** Undefined if requests carry no API keys. */
    readonly accounts: readonly AccountRow[] | undefined;
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
}

/** Version of a model that the operator has declared. */
export interface DeclaredVersion {
    readonly model: string;
    readonly version: number;
}

/** Request as a caller protocol describes it. */
export interface CallerCall {
    readonly requestId: RequestId;
    /** Time that the caller will wait from the moment at which it sent the request; undefined if it did not say. */
    readonly patience: Milliseconds | undefined;
    /** Identifier of the last event that the caller has; undefined at the start of a stream. */
    readonly resumeAfter: string | undefined;
    readonly apiKey: string | undefined;
    readonly model: string | undefined;
    /** Prompt tokens, and the largest number of output tokens; undefined for plain services. */
    readonly promptTokens: number | undefined;
    readonly maximumOutputTokens: number | undefined;
}

/** What a gateway adds to a request that it passes on. */
export interface ForwardedCall {
    /** Only this instance runs the request. */
    readonly instance: InstanceId;
    readonly remaining: Milliseconds;
    readonly clientAccount: ClientAccount | undefined;
    /** Identifier of the last event that has reached the caller. */
    readonly resumeAfter: string | undefined;
    /** Version of the weights that must answer; undefined if any may. */
    readonly version: number | undefined;
}

/** Load that a backend server states in an answer. */
export interface StatedLoad {
    readonly running: number;
    readonly queued: number;
    readonly slots: number;
}

/** Head of a backend server's answer. */
export interface BackendServerHead {
    /** Request that the answer belongs to; undefined if the head does not name one. */
    readonly requestId: RequestId | undefined;
    /** True if the backend server states that it did not run the request. */
    readonly notRun: boolean;
    /** True if the answer bears the backend server's proof of origin. */
    readonly proven: boolean;
    /** True if the body is encoded, so that it is not the backend server's own. */
    readonly encoded: boolean;
    readonly load: StatedLoad | undefined;
    /** True if the backend server closes the connection, as one that is leaving does. */
    readonly closing: boolean;
    /** True if the backend server states that it leaves. */
    readonly leaving: boolean;
    /** Time for which a backend server that turned the request away wants no further ones; undefined if it names none. */
    readonly pause: Milliseconds | undefined;
}

/** Headers by lower-case name. */
export type HeaderTable = Readonly<Record<string, string>>;

/** How callers and backend servers name things in the heads of requests and answers. */
export interface CallerProtocol {
    /**
     * Reads a caller's request.
     *
     * @param headers - headers by lower-case name
     * @returns what the request says; undefined if it names no request identifier
     */
    decodeCall(headers: HeaderTable): CallerCall | undefined;
    /**
     * Writes the head of a request to a backend server.
     *
     * @param headers - the caller's headers by lower-case name
     * @param forwarded - what the gateway adds
     * @returns the headers to send, without those of one connection
     */
    encodeForwarded(headers: HeaderTable, forwarded: ForwardedCall): Record<string, string>;
    /**
     * Reads the head of a backend server's answer.
     *
     * @param status - HTTP status
     * @param headers - headers by lower-case name
     * @returns what the head says
     */
    decodeHead(status: number, headers: HeaderTable): BackendServerHead;
}

/** Decodes the platform's records. Each function returns undefined for a record that cannot be read. */
export interface RecordDecoder {
    decodeConfiguration(key: string, value: Uint8Array): GatewayConfiguration | undefined;
    decodeDeclaredVersion(key: string, value: Uint8Array): DeclaredVersion | undefined;
    decodeBackendServer(key: string, value: Uint8Array): ListedBackendServer | undefined;
    /** Tells what a key of the operator's topic holds. */
    classifyOperatorKey(key: string): "configuration" | "declared-version" | "other";
}
