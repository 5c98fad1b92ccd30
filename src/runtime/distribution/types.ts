import type {
    AvailabilityZone,
    InstanceId,
    Manifest,
    Milliseconds,
    Objective,
    RandomSource,
} from "../../types/index.js";
import type { Table } from "../../utils/index.js";

/** Options of the transfer decision. */
export interface DistributionOptions {
    /**
     * Transfers that one agent runs at once. Default: 12. With fewer, some uplinks are idle by chance: the simulated
     * time to 24 copies was 1.55 times the lower bound with 4 transfers, 1.33 times with 6 and 1.08 times with 12.
     */
    readonly maximumTransfers: number;
    /**
     * Transfers that one agent runs from the same peer at once. Default: 1. With 2, the load on the holders was less
     * even: the simulated time was 1.12 times the lower bound instead of 1.08 times.
     */
    readonly maximumTransfersFromPeer: number;
    /** Transfers that one agent runs from the origin at once. Default: 2. */
    readonly maximumOriginTransfers: number;
    /**
     * Requests for chunks that one agent accepts at once; further ones are refused as choked. Default: 8. They are sent
     * in turn, so with 16 the last ones waited for longer than `stallAfter` on a link shared with live requests.
     */
    readonly maximumUploads: number;
    /**
     * Bytes of chunks that one agent keeps in memory at once: two thirds for chunks that it receives, a third for
     * chunks that it sends. Further accepted requests wait in order without using memory for chunks. Default: 12 MiB.
     */
    readonly maximumBytesInFlight: number;
    /** Copies of a set that an agent sends before it refuses requesters that have other sources. Default: 1.1. */
    readonly uploadAllowanceCopies: number;
    /** Time after which a transfer from a peer without new bytes is abandoned. Default: 10,000 ms. */
    readonly stallAfter: Milliseconds;
    /** Time after which a read from the origin is abandoned; the origin may queue it. Default: 30,000 ms. */
    readonly originStallAfter: Milliseconds;
    /** Time for which a source is avoided after a stalled transfer or repeated corrupt chunks. Default: 30,000 ms. */
    readonly avoidSourceFor: Milliseconds;
    /**
     * Largest factor by which `avoidSourceFor` grows while a source stalls again and again. Default: 1, so that it does
     * not grow.
     */
    readonly maximumAvoidFactor: number;
    /** Time after which the next rank may read a chunk from the origin. Default: 5,000 ms. */
    readonly originTakeoverAfter: Milliseconds;
    /**
     * Chunks, in the order of the manifest, that are read from the origin beyond those that are known to be held. 0 if
     * all chunks are read at once. Default: 0.
     */
    readonly originWindow: number;
    /**
     * Time for which an agent's link could receive the chunks that are read from the origin beyond those that are known to
     * be held; the window is derived from it and from the chunks. 0 if `originWindow` applies. Default: 0.
     */
    readonly originWindowTime: Milliseconds;
    /** Bytes per second of an agent's link, from which the window is derived. Default: 125,000,000. */
    readonly linkBytesPerSecond: number;
    /** Origin readers of each chunk with the objective `time`; `origin-bytes` has one. Default: 4. */
    readonly originReadersForTime: number;
    /**
     * Number of known holders from which on a chunk has enough sources, so that no additional reader reads it from the
     * origin with the objective `time`. Default: 8.
     */
    readonly sourcesForTime: number;
    /** Corrupt chunks from one source after which it is avoided. Default: 2. */
    readonly corruptChunksUntilAvoided: number;
    /** Neighbours with which an agent exchanges bitfields. Default: 8. */
    readonly neighbours: number;
    /** Maximum number of origin readers with which an agent exchanges bitfields besides its neighbours. Default: 8. */
    readonly watchedReaders: number;
    /**
     * True if agents read chunks from peers of their own availability zone, and one member of each zone reads a chunk
     * from another zone. Default: false; useful where traffic between zones is expensive.
     */
    readonly preferOwnZone: boolean;
    /** Largest number of members of a zone that read a chunk from another zone at once. Default: 1. */
    readonly maximumZoneReaders: number;
    /** Time after which the next member of a zone may read a chunk from another zone. Default: 1,000 ms. */
    readonly zoneTakeoverAfter: Milliseconds;
    /**
     * Agents that read the manifest of a set from the origin at once; the others receive it from them. 0 if every agent
     * reads it from the origin. Default: 0.
     */
    readonly manifestReaders: number;
    /** Time after which the next rank reads the manifest if it has not received it. Default: 1,000 ms. */
    readonly manifestTakeoverAfter: Milliseconds;
    /** Time between two requests for the manifest to the same neighbour. Default: 150 ms. */
    readonly manifestExchangeInterval: Milliseconds;
}

/** What an agent knows of another agent of the same set. */
export interface PeerRow {
    readonly instance: InstanceId;
    readonly zone: AvailabilityZone;
    /** One byte for each eight chunks, least significant bit first. */
    bitfield: Uint8Array;
    /** Monotonic time of the newest exchange; before the first, time at which the row was created. */
    heardAt: Milliseconds;
    /** Monotonic time at which the peer was last seen to have gained a chunk; initially the same as `heardAt`. */
    progressedAt: Milliseconds;
    /** Bytes that the peer says it has sent for this set. */
    sentBytes: number;
    corruptChunks: number;
    /** Transfers that failed since the last verified chunk. */
    failedTransfers: number;
    /** Stalled transfers since the last verified chunk. Default: 0. */
    stalledTransfers?: number | undefined;
    /** Monotonic time until which the peer is not asked, after stalled, failed or corrupt transfers. */
    avoidedUntil: Milliseconds;
    /** Monotonic time until which the peer is not asked because it refused a chunk. */
    chokedUntil: Milliseconds;
}

/** Transfer in progress; keyed by chunk index. */
export interface TransferRow {
    readonly index: number;
    /** `origin` or the peer's instance. */
    readonly source: InstanceId;
    readonly startedAt: Milliseconds;
    /**
     * Monotonic time of the newest bytes; initially `startedAt`; `Infinity` while no bytes are expected of the source.
     */
    progressedAt: Milliseconds;
    /** Value of `arrivedBytes` from which on the source is expected to send. Default: it is expected to send at once. */
    readonly turnAtBytes?: number | undefined;
}

/** Ranks of the members as origin readers of each chunk. */
export interface OriginReaders {
    /** Number of members, this agent included. */
    readonly members: number;
    /**
     * Reads this agent's rank.
     *
     * @param index - position of the chunk
     * @returns number of members that rank before this agent; 0 for the first reader
     */
    rankOf(index: number): number;
    /**
     * Lists the members that rank before this agent.
     *
     * @param index - position of the chunk
     * @returns instances, best rank first
     */
    precedingReaders(index: number): readonly InstanceId[];
}

/** Input of `selectTransfers`. */
export interface TransferInput {
    readonly manifest: Manifest;
    /** Chunks that are staged and verified. */
    readonly held: Uint8Array;
    readonly transfers: Table<number, TransferRow>;
    readonly peers: Table<InstanceId, PeerRow>;
    readonly originReaders: OriginReaders;
    /** Availability zone of this agent. */
    readonly zone: AvailabilityZone;
    /** Ranks of the members of this agent's zone as readers from other zones. */
    readonly zoneReaders: OriginReaders;
    /** Monotonic times at which the first holder of a chunk became known, by position. */
    readonly availableSince: ReadonlyMap<number, Milliseconds>;
    /** Monotonic time at which this agent learned of the set. */
    readonly startedAt: Milliseconds;
    /** True if every neighbour has answered or failed once, so that no chunk is read that a neighbour already holds. */
    readonly neighboursAnswered: boolean;
    readonly objective: Objective;
    /** Bytes that may be requested now, after live traffic has been served. */
    readonly budgetBytes: number;
    /** Bytes of transfers that have arrived on the instance's link. */
    readonly arrivedBytes: number;
    /** Monotonic time of the newest arrival; `-Infinity` before the first. */
    readonly arrivedAt: Milliseconds;
    /** Monotonic time until which the origin is not asked, after a failure. */
    readonly originAvoidedUntil: Milliseconds;
    /** Monotonic time of the last failure of the origin if it refused the connection; undefined otherwise. */
    readonly originRefusedAt?: Milliseconds | undefined;
    readonly now: Milliseconds;
    readonly random: RandomSource;
    readonly options: DistributionOptions;
}

/** Command to start or abandon a transfer. */
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

/** Input of `decideUpload`. */
export interface UploadInput {
    /** True if this agent holds the requested chunk of the requested set. */
    readonly held: boolean;
    readonly chunkBytes: number;
    readonly totalBytes: number;
    /** Bytes of this set that were sent, including those of uploads in progress. */
    readonly sentBytes: number;
    readonly uploadsInProgress: number;
    /** True if the requester knows no other source with allowance left. */
    readonly lastResort: boolean;
    readonly options: DistributionOptions;
}

/** Result of `decideUpload`. */
export type UploadDecision =
    | { readonly allowed: true; }
    | { readonly allowed: false; readonly refusal: "not-held" | "choked"; readonly reason: string; };
