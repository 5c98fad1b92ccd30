import { defineBoolean, defineDuration, defineInteger, defineNumber } from "./keyDefinitions.js";

/** Options of the transfer of weights between agents. */
export const distributionSection = {
    maximumTransfers: defineInteger({
        minimum: 1,
        maximum: 256,
        initial: 12,
        documentation: "Transfers that one agent runs at once.",
    }),
    maximumTransfersFromPeer: defineInteger({
        minimum: 1,
        maximum: 256,
        initial: 1,
        documentation: "Transfers that one agent runs from the same peer at once.",
    }),
    maximumOriginTransfers: defineInteger({
        minimum: 1,
        maximum: 256,
        initial: 2,
        documentation: "Transfers that one agent runs from the origin at once.",
    }),
    maximumUploads: defineInteger({
        minimum: 1,
        maximum: 1024,
        initial: 8,
        documentation: "Requests for chunks that one agent accepts at once; further ones are refused as choked.",
    }),
    maximumBytesInFlight: defineInteger({
        minimum: 4_096,
        maximum: 1_073_741_824,
        initial: 12 * 1024 * 1024,
        documentation: "Bytes of chunks that one agent keeps in memory at once for transfers in both directions.",
    }),
    uploadAllowanceCopies: defineNumber({
        minimum: 0,
        maximum: 100,
        initial: 1.1,
        documentation: "Copies that an agent sends before it refuses chunks to requesters with other sources.",
    }),
    stallAfterMilliseconds: defineDuration("stallAfter", "Milliseconds", {
        minimum: 50,
        maximum: 600_000,
        initial: 10_000,
        documentation: "Time after which a transfer from a peer without new bytes is abandoned.",
    }),
    originStallAfterMilliseconds: defineDuration("originStallAfter", "Milliseconds", {
        minimum: 50,
        maximum: 600_000,
        initial: 30_000,
        documentation: "Time after which a read from the origin is abandoned; the origin may queue it.",
    }),
    avoidSourceForMilliseconds: defineDuration("avoidSourceFor", "Milliseconds", {
        minimum: 0,
        maximum: 600_000,
        initial: 30_000,
        documentation: "Time for which a source is avoided after a stalled transfer or repeated corrupt chunks.",
    }),
    originTakeoverAfterMilliseconds: defineDuration("originTakeoverAfter", "Milliseconds", {
        minimum: 50,
        maximum: 600_000,
        initial: 5_000,
        documentation: "Time after which the next rank may read a chunk from the origin.",
    }),
    originReadersForTime: defineInteger({
        minimum: 1,
        maximum: 64,
        initial: 4,
        documentation: "Origin readers of each chunk with the objective `time`; `origin-bytes` has one.",
    }),
    sourcesForTime: defineInteger({
        minimum: 1,
        maximum: 64,
        initial: 8,
        documentation: "Sources of a chunk from which on the origin is no longer read with the objective `time`.",
    }),
    corruptChunksUntilAvoided: defineInteger({
        minimum: 1,
        maximum: 100,
        initial: 2,
        documentation: "Corrupt chunks from one source after which it is avoided.",
    }),
    neighbours: defineInteger({
        minimum: 1,
        maximum: 64,
        initial: 8,
        documentation: "Neighbours with which an agent exchanges bitfields.",
    }),
    watchedReaders: defineInteger({
        minimum: 0,
        maximum: 64,
        initial: 8,
        documentation: "Origin readers with which an agent exchanges bitfields besides its neighbours, at most.",
    }),
    preferOwnZone: defineBoolean(
        false,
        "Whether one member of each zone reads a chunk across the zone's border and the others read it from there.",
    ),
    zoneTakeoverAfterMilliseconds: defineDuration("zoneTakeoverAfter", "Milliseconds", {
        minimum: 10,
        maximum: 600_000,
        initial: 1_000,
        documentation: "Time after which the next member of a zone may read a chunk across its border.",
    }),
    linkBytesPerSecond: defineInteger({
        minimum: 1_000,
        maximum: 100_000_000_000,
        initial: 125_000_000,
        documentation: "Bytes a second that transfers may use of the machine's link while no request is in progress.",
    }),
} as const;
