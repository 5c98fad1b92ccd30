import type {
    AvailabilityZone,
    InstanceId,
    Manifest,
    ManifestDigest,
    Milliseconds,
    Objective,
    RandomSource,
} from "../../types/index.js";
import type { Table } from "../../utils/index.js";

/** Options of the transfer decision. */
export interface DistributionOptions {
    /** Transfers that one agent runs at once. Default: 8. */
    readonly maximumTransfers: number;
    /** Transfers that one agent runs from the same peer at once. Default: 2. */
    readonly maximumTransfersFromPeer: number;
    /** Copies that an agent sends before it refuses further chunks to requesters with other sources. Default: 1.1. */
    readonly uploadAllowanceCopies: number;
    /** Time after which a transfer without an answer is abandoned. Default: 10,000 ms. */
    readonly stallAfter: Milliseconds;
    /** Time after which the next rank may read a chunk from the origin. Default: 5,000 ms. */
    readonly originTakeoverAfter: Milliseconds;
    /** Corrupt chunks from one source after which it is avoided. Default: 2. */
    readonly corruptChunksUntilAvoided: number;
    /** Neighbours with which an agent exchanges bitfields. Default: 8. */
    readonly neighbours: number;
}

/** What an agent knows of another agent of the same set. */
export interface PeerRow {
    readonly instance: InstanceId;
    readonly zone: AvailabilityZone;
    /** One byte for each eight chunks, least significant bit first. */
    bitfield: Uint8Array;
    heardAt: Milliseconds;
    /** Bytes that the peer says it has sent for this set. */
    sentBytes: number;
    corruptChunks: number;
    /** Monotonic time until which the peer is not asked. */
    avoidedUntil: Milliseconds;
}

/** Transfer in progress; keyed by chunk index. */
export interface TransferRow {
    readonly index: number;
    /** `origin` or the peer's instance. */
    readonly source: InstanceId;
    readonly startedAt: Milliseconds;
}

/** Input of `selectTransfers`. */
export interface TransferInput {
    readonly self: InstanceId;
    readonly manifestDigest: ManifestDigest;
    readonly manifest: Manifest;
    /** Chunks that are staged and verified. */
    readonly held: Uint8Array;
    readonly transfers: Table<number, TransferRow>;
    readonly peers: Table<InstanceId, PeerRow>;
    /** Instances that are assigned to the set, this one included, sorted. */
    readonly members: readonly InstanceId[];
    /** Monotonic time at which this agent learned of the set. */
    readonly startedAt: Milliseconds;
    readonly objective: Objective;
    /** Bytes that may be requested now, after live traffic has been served. */
    readonly budgetBytes: number;
    /** Monotonic time until which the origin is not asked, after a failure. */
    readonly originAvoidedUntil: Milliseconds;
    readonly now: Milliseconds;
    readonly random: RandomSource;
    readonly options: DistributionOptions;
}

/** Command of the transfer system. */
export type TransferCommand =
    | { readonly kind: "fetch-from-origin"; readonly index: number; readonly reason: string; }
    | {
        readonly kind: "fetch-from-peer";
        readonly index: number;
        readonly peer: InstanceId;
        readonly lastResort: boolean;
        readonly reason: string;
    }
    | { readonly kind: "abandon"; readonly index: number; readonly source: string; readonly reason: string; };
