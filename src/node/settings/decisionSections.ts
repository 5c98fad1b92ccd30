import { distributionSection } from "./distributionSection.js";
import { defineBoolean, defineDuration, defineInteger, defineNumber, renameKey } from "./keyDefinitions.js";

/** Sections with the options of the decision functions in `src/runtime`. */
export const decisionSections = {
    placement: {
        unreachableAfterMilliseconds: defineDuration("unreachableAfter", "Milliseconds", {
            minimum: 100,
            maximum: 600_000,
            defaultValue: 10_000,
            documentation: "Time without a message after which an instance counts as unreachable.",
        }),
        rankDelayMilliseconds: defineDuration("rankDelay", "Milliseconds", {
            minimum: 0,
            maximum: 60_000,
            defaultValue: 2_000,
            documentation: "Time by which each rank of proposers waits longer than the one before.",
        }),
        replacementShare: defineNumber({
            minimum: 0,
            maximum: 1,
            defaultValue: 0.1,
            documentation:
                "Share of the copies in an availability zone that may be replaced at once; at least one copy.",
        }),
        absentReadsUntilGone: defineInteger({
            minimum: 1,
            maximum: 100,
            defaultValue: 3,
            documentation: "Consecutive reads of the instance list without an instance after which it counts as gone.",
        }),
        maximumWitnesses: defineInteger({
            minimum: 1,
            maximum: 15,
            defaultValue: 5,
            documentation: "Maximum number of witnesses of a copy.",
        }),
        retentionSeconds: defineDuration("retention", "Seconds", {
            minimum: 10,
            maximum: 31_536_000,
            defaultValue: 86_400,
            documentation: "Time for which the platform's log keeps records.",
        }),
    },
    distribution: distributionSection,
    routing: {
        subsetRunners: renameKey(
            "subsetSize",
            defineInteger({
                minimum: 1,
                maximum: 1_024,
                defaultValue: 32,
                documentation:
                    "Maximum number of runners of a deployment whose load reports one entry instance follows.",
            }),
        ),
        loadHalfLifeMilliseconds: defineDuration("loadHalfLife", "Milliseconds", {
            minimum: 1,
            maximum: 60_000,
            defaultValue: 1_000,
            documentation: "Time in which the weight of a load report halves.",
        }),
        reportExpiryMilliseconds: defineDuration("reportExpiry", "Milliseconds", {
            minimum: 50,
            maximum: 600_000,
            defaultValue: 5_000,
            documentation: "Time after its last load report from which on a runner is not a candidate.",
        }),
        affinityLoadFactor: defineNumber({
            minimum: 1,
            maximum: 100,
            defaultValue: 1.25,
            documentation:
                "Affinity bound, as a multiple of the subset's mean load, below which a prefix keeps its runner.",
        }),
        affinityLoadSlackRequests: renameKey(
            "affinityLoadSlack",
            defineNumber({
                minimum: 0,
                maximum: 1_000,
                defaultValue: 1,
                documentation: "Number of requests added to the affinity bound.",
            }),
        ),
        zonePenaltyRequests: renameKey(
            "zonePenalty",
            defineNumber({
                minimum: 0,
                maximum: 1_000,
                defaultValue: 0.5,
                documentation: "Score added for a runner in another availability zone of the region.",
            }),
        ),
        regionPenaltyRequests: renameKey(
            "regionPenalty",
            defineNumber({
                minimum: 0,
                maximum: 1_000,
                defaultValue: 2,
                documentation: "Score added for a runner in another region.",
            }),
        ),
        failuresUntilEjected: defineInteger({
            minimum: 1,
            maximum: 100,
            defaultValue: 3,
            documentation: "Consecutive failures after which a runner is ejected.",
        }),
        ejectionMilliseconds: defineDuration("ejectionDuration", "Milliseconds", {
            minimum: 10,
            maximum: 600_000,
            defaultValue: 2_000,
            documentation:
                "Time for which a runner is ejected; doubled with each successive ejection up to eight times this.",
        }),
        panicShare: defineNumber({
            minimum: 0,
            maximum: 1,
            defaultValue: 0.5,
            documentation: "Share of ejected runners above which ejection is ignored.",
        }),
        comparedCandidates: defineInteger({
            minimum: 2,
            maximum: 1_024,
            defaultValue: 2,
            documentation: "Runners that are drawn at random and compared for a request.",
        }),
        waitingWeight: defineNumber({
            minimum: 0,
            maximum: 1_000,
            defaultValue: 0,
            documentation: "Additional load of a request whose answer has not begun, in requests.",
        }),
        waitingHalfLifeMilliseconds: defineDuration("waitingHalfLife", "Milliseconds", {
            minimum: 1,
            maximum: 60_000,
            defaultValue: 200,
            documentation: "Time in which the weight of reported waiting requests halves.",
        }),
        costAware: defineBoolean(
            false,
            "Whether requests are sent where the expected time to the first event is shortest, as far as the " +
                "configuration states the timing of engines, and slowdowns that plain services state scale their load.",
        ),
    },
    admission: {
        maximumInProgress: defineInteger({
            minimum: 1,
            maximum: 100_000,
            defaultValue: 256,
            documentation: "Maximum number of requests in progress.",
        }),
        maximumQueued: defineInteger({
            minimum: 0,
            maximum: 100_000,
            defaultValue: 512,
            documentation: "Maximum number of requests in the queue.",
        }),
        maximumAccountShare: defineNumber({
            minimum: 0.01,
            maximum: 1,
            defaultValue: 0.5,
            documentation: "Share of the slots that one client account may use while others wait.",
        }),
        lateShare: defineNumber({
            minimum: 0.01,
            maximum: 1,
            defaultValue: 0.9,
            documentation: "Share of the slots below which a request that has missed its target may start.",
        }),
        serviceTimeWeight: defineNumber({
            minimum: 0.001,
            maximum: 1,
            defaultValue: 0.1,
            documentation: "Weight of the newest service time in the exponential moving average.",
        }),
        initialServiceTimeMilliseconds: defineDuration("initialServiceTime", "Milliseconds", {
            minimum: 1,
            maximum: 600_000,
            defaultValue: 200,
            documentation: "Service time assumed before the first request has finished.",
        }),
        maximumRetryAfterSeconds: defineInteger({
            minimum: 1,
            maximum: 3_600,
            defaultValue: 30,
            documentation: "Largest retry time that a refusal tells the caller.",
        }),
        retryAfterStepSeconds: defineNumber({
            minimum: 0.01,
            maximum: 60,
            defaultValue: 1,
            documentation: "Step to which the retry time is rounded up; 1 for callers that take whole seconds only.",
        }),
        rankReservation: defineBoolean(
            false,
            "Whether requests start by rank, and slots are reserved for more urgent ones that are expected and would " +
                "otherwise be refused.",
        ),
        minimumRankShare: defineNumber({
            minimum: 0,
            maximum: 1,
            defaultValue: 0.5,
            documentation:
                "Starts that each rank and account is granted before more urgent requests, as a share of those in " +
                "proportion to its demand; applies with rankReservation.",
        }),
        plannedRetryAfter: defineBoolean(
            false,
            "Whether the retry time of a refusal is planned from the throughput that new requests leave, and callers " +
                "that return at it are served first.",
        ),
    },
    retry: {
        budgetShare: defineNumber({
            minimum: 0,
            maximum: 1,
            defaultValue: 0.1,
            documentation: "Retries that the budget gains with each request.",
        }),
        budgetPerSecond: defineNumber({
            minimum: 0,
            maximum: 1_000,
            defaultValue: 1,
            documentation: "Retries that the budget gains each second.",
        }),
        budgetMaximum: defineNumber({
            minimum: 0,
            maximum: 100_000,
            defaultValue: 100,
            documentation: "Largest balance of the budget, in retries.",
        }),
        maximumAttempts: defineInteger({
            minimum: 1,
            maximum: 20,
            defaultValue: 3,
            documentation: "Maximum number of attempts at one request, the first included.",
        }),
        maximumCrashes: defineInteger({
            minimum: 1,
            maximum: 10,
            defaultValue: 2,
            documentation:
                "Crashes of backend servers after which a request is condemned: it is refused without an attempt.",
        }),
        condemnedSeconds: defineDuration("condemnedDuration", "Seconds", {
            minimum: 1,
            maximum: 86_400,
            defaultValue: 600,
            documentation: "Time for which a request stays condemned after its last crash or attempt to send it, and " +
                "for which a crash counts against a part of prompts.",
        }),
        suspicionSeconds: defineDuration("suspicionDuration", "Seconds", {
            minimum: 1,
            maximum: 86_400,
            defaultValue: 60,
            documentation: "Time after which a suspect that was not condemned is forgotten.",
        }),
        maximumSuspects: defineInteger({
            minimum: 1,
            maximum: 1_000_000,
            defaultValue: 40_000,
            documentation: "Maximum number of fingerprints of suspects; the oldest are dropped.",
        }),
        answerMemorySeconds: defineDuration("answerMemory", "Seconds", {
            minimum: 1,
            maximum: 86_400,
            defaultValue: 30,
            documentation: "Time for which an answer to a request rules it out as the cause of later crashes.",
        }),
    },
    idempotency: {
        maximumKeyAgeSeconds: defineDuration("maximumKeyAge", "Seconds", {
            minimum: 1,
            maximum: 86_400,
            defaultValue: 600,
            documentation: "Age after which an idempotency key is refused.",
        }),
        clockSkewMilliseconds: defineDuration("clockSkew", "Milliseconds", {
            minimum: 0,
            maximum: 60_000,
            defaultValue: 2_000,
            documentation: "Largest assumed difference between the clocks of a caller and of this process.",
        }),
        maximumEntries: defineInteger({
            minimum: 1,
            maximum: 10_000_000,
            defaultValue: 100_000,
            documentation:
                "Maximum number of entries of the ledger; when it is full, further keys are refused as not run.",
        }),
        maximumAnswerBytes: defineInteger({
            minimum: 0,
            maximum: 1_073_741_824,
            defaultValue: 8_388_608,
            documentation:
                "Maximum bytes of stored answers; the oldest answers are dropped first, but their keys are kept.",
        }),
    },
} as const;
