import type { handleBidiStreamingCall, handleServerStreamingCall, handleUnaryCall } from "@grpc/grpc-js";
import type { Result } from "true-myth/result";
import type {
    AvailabilityRequest,
    AvailabilityResponse,
    ChunkPart,
    FetchChunkRequest,
} from "../../../generated/goldcrestpoint_pb.js";
import type { DistributionOptions } from "../../../runtime/distribution/types.js";
import type {
    AvailabilityZone,
    BackendServerPort,
    Clock,
    GoldcrestpointError,
    InstanceId,
    Manifest,
    ManifestDigest,
    Milliseconds,
    Objective,
    OriginPort,
    RandomSource,
    WeightSet,
} from "../../../types/index.js";
import type { PeerCalls } from "./peerCalls.js";

/** Instance that is assigned to a weight set. */
export interface TransferMember {
    readonly instance: InstanceId;
    readonly zone: AvailabilityZone;
    /** `host:port` of the agent. */
    readonly address: string;
}

/** Weight set that an agent has to hold, and the instances that it exchanges the set with. */
export interface TransferTarget {
    readonly weights: WeightSet;
    /** Assigned instances, with or without this agent's own. */
    readonly members: readonly TransferMember[];
    readonly objective: Objective;
    /** Availability zone of the origin; members in this zone read from the origin first. Default: not known. */
    readonly originZone?: AvailabilityZone | undefined;
    /** Monotonic time at which the version was named, for log lines. Default: the time of the first call with the set. */
    readonly namedAt?: Milliseconds | undefined;
    /** Other sets that the agent keeps and sends to other agents. Default: none. */
    readonly retained?: ReadonlySet<ManifestDigest> | undefined;
}

/** Progress of the current target. */
export interface TransferProgress {
    readonly manifestDigest: ManifestDigest;
    /** Chunks that are staged and verified by this process. */
    readonly chunksComplete: number;
    /** 0 until the manifest has been read. */
    readonly chunksTotal: number;
    /** True if every chunk of the manifest is staged and verified. */
    readonly complete: boolean;
}

/** Bytes of weights since the process started. */
export interface TransferTotals {
    readonly originBytes: number;
    readonly peerReceivedBytes: number;
    readonly peerSentBytes: number;
}

/** Direction of a transfer, as seen from the agent. */
export type TransferDirection = "incoming" | "outgoing";

/** Byte budget of the instance's link for transfers of weights. */
export interface LinkBudget {
    /**
     * Waits until bytes may be transferred.
     *
     * @param direction - direction of the transfer
     * @param bytes - number of bytes
     * @param signal - aborts the wait
     * @returns true once the bytes may be transferred; false if the wait was aborted
     */
    take(direction: TransferDirection, bytes: number, signal?: AbortSignal): Promise<boolean>;
    /**
     * Reads how many bytes may be requested in advance within the budget.
     *
     * @param direction - direction of the transfer
     * @returns number of bytes
     */
    available(direction: TransferDirection): number;
}

/** Logger that the transfer service writes to; compatible with pino. */
export interface TransferLog {
    info(fields: Readonly<Record<string, unknown>>, message: string): void;
}

/** Options of the transfer service, without those of the distribution decision. */
export interface TransferServiceSettings {
    /** True if the service calls `tick` itself, at `tickInterval`. Default: true. */
    readonly selfScheduled: boolean;
    /** Time between two ticks of the self-scheduled service. Default: 100 ms. */
    readonly tickInterval: Milliseconds;
    /** Time between two exchanges with the same neighbour. Default: 500 ms. */
    readonly exchangeInterval: Milliseconds;
    /** Time after which an exchange without an answer counts as failed. Default: 2,000 ms. */
    readonly exchangeTimeLimit: Milliseconds;
    /** Time between two reads of the engine's state. Default: 1,000 ms. */
    readonly engineReadInterval: Milliseconds;
    /** Time between two reads of the engine's state while a set is not prepared. Default: 200 ms. */
    readonly engineReadIntervalUnprepared: Milliseconds;
    /** Time before a peer that refused a chunk as choked is asked again; jitter up to doubles it. Default: 200 ms. */
    readonly retryChokedAfter: Milliseconds;
    /** First delay after a failure of origin or engine; doubles up to a factor of 16, with jitter. Default: 250 ms. */
    readonly retryFailedAfter: Milliseconds;
    /** Largest part of a chunk in one message. Default: 65,536 bytes. */
    readonly partBytes: number;
    /**
     * True if chunks are requested only once the engine lists the set as staged, that is after the order `prepare`.
     * Default: true.
     */
    readonly waitForPreparedSet: boolean;
    /** False if an agent that holds the whole set answers exchanges but starts none. Default: true. */
    readonly exchangeWhenComplete: boolean;
}

/** Options of the transfer service; each has a default. */
export type TransferServiceOptions = Partial<TransferServiceSettings> & Partial<DistributionOptions>;

/** Dependencies and options of the transfer service. */
export interface TransferServiceInput {
    readonly self: InstanceId;
    readonly zone: AvailabilityZone;
    readonly backend: BackendServerPort;
    readonly origin: OriginPort;
    /**
     * Verifies a manifest that was read for a set. Default: its digest must be the set's. Where sets are not named by
     * the digest, a manifest is confirmed only by chunks that match it.
     */
    readonly verifyManifest?:
        | ((manifest: Manifest, set: ManifestDigest) => Result<Manifest, GoldcrestpointError>)
        | undefined;
    /** Called with each manifest that is applied, whether it was read from the origin or received. */
    readonly keepManifest?: ((set: ManifestDigest, manifest: Manifest) => void) | undefined;
    readonly linkBudget: LinkBudget;
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly options?: TransferServiceOptions | undefined;
    readonly log?: TransferLog | undefined;
    /** Calls to other agents, which the service disposes of. Default: over gRPC. */
    readonly calls?: PeerCalls | undefined;
}

/** Exchange of weights with the other agents of the same set. */
export interface TransferService extends AsyncDisposable {
    /** gRPC handler of `ExchangeAvailability`. */
    readonly exchangeAvailability: handleUnaryCall<AvailabilityRequest, AvailabilityResponse>;
    /** gRPC handler of `StreamAvailability`. */
    readonly streamAvailability: handleBidiStreamingCall<AvailabilityRequest, AvailabilityResponse>;
    /** gRPC handler of `FetchChunk`. */
    readonly fetchChunk: handleServerStreamingCall<FetchChunkRequest, ChunkPart>;
    /**
     * Sets the weight set that the agent has to hold. A new manifest digest abandons the transfers of the old set, and
     * removes it unless it is retained or active in the engine; a change of members or objective keeps everything.
     *
     * @param target - the set and its members; undefined if nothing is assigned
     */
    setTarget(target: TransferTarget | undefined): void;
    /** Starts the operations that are due: reads of the manifest and of the engine's state, exchanges and transfers. */
    tick(): void;
    /** @returns progress of the target; undefined if there is none */
    progress(): TransferProgress | undefined;
    /** @returns bytes transferred so far */
    totals(): TransferTotals;
}
