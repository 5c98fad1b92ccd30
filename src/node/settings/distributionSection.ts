import { defineBoolean, defineDuration, defineInteger, defineNumber } from "./keyDefinitions.js";

/** Options of the transfer of weights between agents. */
export const distributionSection = {
    maximumTransfers: defineInteger({
        minimum: 1,
        maximum: 256,
        defaultValue: 12,
        documentation: "Maximum number of concurrent transfers of one agent.",
    }),
    maximumTransfersFromPeer: defineInteger({
        minimum: 1,
        maximum: 256,
        defaultValue: 1,
        documentation: "Maximum number of concurrent transfers of one agent from the same peer.",
    }),
    maximumOriginTransfers: defineInteger({
        minimum: 1,
        maximum: 256,
        defaultValue: 2,
        documentation: "Maximum number of concurrent transfers of one agent from the origin.",
    }),
    maximumUploads: defineInteger({
        minimum: 1,
        maximum: 1024,
        defaultValue: 8,
        documentation:
            "Maximum number of requests for chunks that one agent serves at once; further ones are refused as choked.",
    }),
    maximumBytesInFlight: defineInteger({
        minimum: 4_096,
        maximum: 1_073_741_824,
        defaultValue: 12 * 1024 * 1024,
        documentation: "Maximum bytes of chunks that one agent keeps in memory for transfers in both directions.",
    }),
    uploadAllowanceCopies: defineNumber({
        minimum: 0,
        maximum: 100,
        defaultValue: 1.1,
        documentation: "Copies of a set that an agent sends before it refuses requesters that have other sources.",
    }),
    stallAfterMilliseconds: defineDuration("stallAfter", "Milliseconds", {
        minimum: 50,
        maximum: 600_000,
        defaultValue: 10_000,
        documentation: "Time after which a transfer from a peer without new bytes is abandoned.",
    }),
    originStallAfterMilliseconds: defineDuration("originStallAfter", "Milliseconds", {
        minimum: 50,
        maximum: 600_000,
        defaultValue: 30_000,
        documentation:
            "Time after which a read from the origin is abandoned; includes the time for which the origin queues it.",
    }),
    avoidSourceForMilliseconds: defineDuration("avoidSourceFor", "Milliseconds", {
        minimum: 0,
        maximum: 600_000,
        defaultValue: 30_000,
        documentation: "Time for which a source is avoided after a stalled transfer or repeated corrupt chunks.",
    }),
    maximumAvoidFactor: defineInteger({
        minimum: 1,
        maximum: 1_024,
        defaultValue: 1,
        documentation:
            "Largest factor by which `avoidSourceForMilliseconds` doubles while transfers from a source stall one after the other.",
    }),
    originTakeoverAfterMilliseconds: defineDuration("originTakeoverAfter", "Milliseconds", {
        minimum: 50,
        maximum: 600_000,
        defaultValue: 5_000,
        documentation: "Time after which the next rank may read a chunk from the origin.",
    }),
    originWindow: defineInteger({
        minimum: 0,
        maximum: 65_536,
        defaultValue: 0,
        documentation:
            "Chunks that are read from the origin beyond those that an agent knows to be held. With 0, all are read at once.",
    }),
    originWindowTimeMilliseconds: defineDuration("originWindowTime", "Milliseconds", {
        minimum: 0,
        maximum: 60_000,
        defaultValue: 0,
        documentation:
            "Time from which `originWindow` is derived: the window holds as many chunks as the link receives in it. About " +
            "the interval of exchanges. With 0, `originWindow` applies.",
    }),
    originReadersForTime: defineInteger({
        minimum: 1,
        maximum: 64,
        defaultValue: 4,
        documentation: "Origin readers of each chunk with the objective `time`; `origin-bytes` has one.",
    }),
    sourcesForTime: defineInteger({
        minimum: 1,
        maximum: 64,
        defaultValue: 8,
        documentation:
            "Holders of a chunk from which on no more agents read it from the origin with the objective `time`.",
    }),
    corruptChunksUntilAvoided: defineInteger({
        minimum: 1,
        maximum: 100,
        defaultValue: 2,
        documentation: "Corrupt chunks from one source after which it is avoided.",
    }),
    neighbours: defineInteger({
        minimum: 1,
        maximum: 64,
        defaultValue: 8,
        documentation: "Neighbours with which an agent exchanges bitfields.",
    }),
    watchedReaders: defineInteger({
        minimum: 0,
        maximum: 64,
        defaultValue: 8,
        documentation:
            "Maximum number of origin readers with which an agent exchanges bitfields besides its neighbours.",
    }),
    preferOwnZone: defineBoolean(
        false,
        "Whether only one member of each zone reads a chunk from another zone and the others read it from that member.",
    ),
    maximumZoneReaders: defineInteger({
        minimum: 1,
        maximum: 64,
        defaultValue: 1,
        documentation:
            "Largest number of members of a zone that read a chunk from another zone at once; a quarter of the members " +
            "if these are fewer, and at least one.",
    }),
    zoneTakeoverAfterMilliseconds: defineDuration("zoneTakeoverAfter", "Milliseconds", {
        minimum: 10,
        maximum: 600_000,
        defaultValue: 1_000,
        documentation: "Time after which the next member of a zone may read a chunk from another zone.",
    }),
    manifestReaders: defineInteger({
        minimum: 0,
        maximum: 64,
        defaultValue: 0,
        documentation:
            "Agents that read a manifest from the origin at once; the others receive it from agents. With 0, every agent reads it.",
    }),
    manifestTakeoverAfterMilliseconds: defineDuration("manifestTakeoverAfter", "Milliseconds", {
        minimum: 50,
        maximum: 600_000,
        defaultValue: 1_000,
        documentation: "Time after which the next agent reads the manifest from the origin if it has not received it.",
    }),
    manifestExchangeIntervalMilliseconds: defineDuration("manifestExchangeInterval", "Milliseconds", {
        minimum: 10,
        maximum: 600_000,
        defaultValue: 150,
        documentation: "Time between two requests for the manifest to the same neighbour.",
    }),
    linkBytesPerSecond: defineInteger({
        minimum: 1_000,
        maximum: 100_000_000_000,
        defaultValue: 125_000_000,
        documentation: "Bytes per second of the network link that transfers may use while no request is in progress.",
    }),
} as const;
