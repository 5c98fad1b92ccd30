import { defineDuration, defineInteger, defineNumber, renameKey } from "./keyDefinitions.js";

/** Sections with the options of the decision functions. */
export const decisionSections = {
    placement: {
        unreachableAfterMilliseconds: defineDuration("unreachableAfter", "Milliseconds", {
            minimum: 100,
            maximum: 600_000,
            initial: 10_000,
            documentation: "Time after which an agent that was not heard counts as unreachable.",
        }),
        rankDelayMilliseconds: defineDuration("rankDelay", "Milliseconds", {
            minimum: 0,
            maximum: 60_000,
            initial: 2_000,
            documentation: "Time by which each rank of proposers waits longer than the one before.",
        }),
        replacementShare: defineNumber({
            minimum: 0,
            maximum: 1,
            initial: 0.1,
            documentation: "Share of the copies in an availability zone under replacement at once; at least one copy.",
        }),
        absentReadsUntilGone: defineInteger({
            minimum: 1,
            maximum: 100,
            initial: 3,
            documentation: "Successive reads of the instance list without an instance after which it counts as gone.",
        }),
        maximumWitnesses: defineInteger({
            minimum: 1,
            maximum: 15,
            initial: 5,
            documentation: "Most witnesses of a copy.",
        }),
        retentionSeconds: defineDuration("retention", "Seconds", {
            minimum: 10,
            maximum: 31_536_000,
            initial: 86_400,
            documentation: "Time for which the platform's log keeps records.",
        }),
    },
    distribution: {
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
        linkBytesPerSecond: defineInteger({
            minimum: 1_000,
            maximum: 100_000_000_000,
            initial: 125_000_000,
            documentation:
                "Bytes a second that transfers may use of the machine's link while no request is in progress.",
        }),
    },
    routing: {
        subsetRunners: renameKey(
            "subsetSize",
            defineInteger({
                minimum: 1,
                maximum: 1_024,
                initial: 32,
                documentation: "Most runners of a deployment that one entry instance follows.",
            }),
        ),
        loadHalfLifeMilliseconds: defineDuration("loadHalfLife", "Milliseconds", {
            minimum: 1,
            maximum: 60_000,
            initial: 1_000,
            documentation: "Time in which the weight of a load report halves.",
        }),
        reportExpiryMilliseconds: defineDuration("reportExpiry", "Milliseconds", {
            minimum: 50,
            maximum: 600_000,
            initial: 5_000,
            documentation: "Time after which a runner without a load report is no candidate.",
        }),
        affinityLoadFactor: defineNumber({
            minimum: 1,
            maximum: 100,
            initial: 1.25,
            documentation: "Load above the subset's mean, as a factor, up to which prefix affinity wins.",
        }),
        affinityLoadSlackRequests: renameKey(
            "affinityLoadSlack",
            defineNumber({
                minimum: 0,
                maximum: 1_000,
                initial: 1,
                documentation: "Load added to the affinity bound, in requests.",
            }),
        ),
        zonePenaltyRequests: renameKey(
            "zonePenalty",
            defineNumber({
                minimum: 0,
                maximum: 1_000,
                initial: 0.5,
                documentation: "Score added for a runner in another availability zone of the region.",
            }),
        ),
        regionPenaltyRequests: renameKey(
            "regionPenalty",
            defineNumber({
                minimum: 0,
                maximum: 1_000,
                initial: 2,
                documentation: "Score added for a runner in another region.",
            }),
        ),
        failuresUntilEjected: defineInteger({
            minimum: 1,
            maximum: 100,
            initial: 3,
            documentation: "Successive failures after which a runner is ejected.",
        }),
        ejectionMilliseconds: defineDuration("ejectionDuration", "Milliseconds", {
            minimum: 10,
            maximum: 600_000,
            initial: 2_000,
            documentation: "Time for which a runner is ejected; doubled with each ejection up to eight times.",
        }),
        panicShare: defineNumber({
            minimum: 0,
            maximum: 1,
            initial: 0.5,
            documentation: "Share of ejected runners above which ejection is ignored.",
        }),
    },
    admission: {
        maximumInProgress: defineInteger({
            minimum: 1,
            maximum: 100_000,
            initial: 256,
            documentation: "Requests in progress at once.",
        }),
        maximumQueued: defineInteger({
            minimum: 0,
            maximum: 100_000,
            initial: 512,
            documentation: "Requests waiting at once.",
        }),
        maximumAccountShare: defineNumber({
            minimum: 0.01,
            maximum: 1,
            initial: 0.5,
            documentation: "Share of the places that one client account may take while others wait.",
        }),
        serviceTimeWeight: defineNumber({
            minimum: 0.001,
            maximum: 1,
            initial: 0.1,
            documentation: "Weight of the newest service time in the moving average.",
        }),
        initialServiceTimeMilliseconds: defineDuration("initialServiceTime", "Milliseconds", {
            minimum: 1,
            maximum: 600_000,
            initial: 200,
            documentation: "Service time assumed before the first request has finished.",
        }),
        maximumRetryAfterSeconds: defineInteger({
            minimum: 1,
            maximum: 3_600,
            initial: 30,
            documentation: "Largest time after which a refusal tells the caller to retry.",
        }),
    },
    retry: {
        budgetShare: defineNumber({
            minimum: 0,
            maximum: 1,
            initial: 0.1,
            documentation: "Retries that the budget gains with each request.",
        }),
        budgetPerSecond: defineNumber({
            minimum: 0,
            maximum: 1_000,
            initial: 1,
            documentation: "Retries that the budget gains each second.",
        }),
        budgetMaximum: defineNumber({
            minimum: 0,
            maximum: 100_000,
            initial: 100,
            documentation: "Most retries that the budget holds.",
        }),
        maximumAttempts: defineInteger({
            minimum: 1,
            maximum: 20,
            initial: 3,
            documentation: "Attempts at one request, the first included.",
        }),
        maximumCrashes: defineInteger({
            minimum: 1,
            maximum: 10,
            initial: 2,
            documentation: "Crashes of backend servers that one request may cause before it is refused for good.",
        }),
        condemnedSeconds: defineDuration("condemnedDuration", "Seconds", {
            minimum: 1,
            maximum: 86_400,
            initial: 600,
            documentation: "Time for which a refused fingerprint stays refused.",
        }),
        suspicionSeconds: defineDuration("suspicionDuration", "Seconds", {
            minimum: 1,
            maximum: 86_400,
            initial: 60,
            documentation: "Time after which an unproved suspicion is forgotten.",
        }),
        maximumSuspects: defineInteger({
            minimum: 1,
            maximum: 1_000_000,
            initial: 10_000,
            documentation: "Most fingerprints under suspicion; the oldest are dropped.",
        }),
    },
    idempotency: {
        maximumKeyAgeSeconds: defineDuration("maximumKeyAge", "Seconds", {
            minimum: 1,
            maximum: 86_400,
            initial: 600,
            documentation: "Age after which an idempotency key is refused.",
        }),
        clockSkewMilliseconds: defineDuration("clockSkew", "Milliseconds", {
            minimum: 0,
            maximum: 60_000,
            initial: 2_000,
            documentation: "Difference between a caller's clock and ours that is allowed for.",
        }),
        maximumEntries: defineInteger({
            minimum: 1,
            maximum: 10_000_000,
            initial: 100_000,
            documentation: "Most entries of the ledger; when full, further keys are refused as not run.",
        }),
        maximumAnswerBytes: defineInteger({
            minimum: 0,
            maximum: 1_073_741_824,
            initial: 8_388_608,
            documentation: "Most bytes of stored answers; older answers are dropped first, their keys are kept.",
        }),
    },
} as const;
