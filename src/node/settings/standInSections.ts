import { defineBoolean, defineDuration, defineInteger, defineList, defineText } from "./keyDefinitions.js";

/** Sections of the stand-ins: simulated platform, engine and service for tests and the demo. */
export const standInSections = {
    standInPlatform: {
        httpAddress: defineText(
            "address",
            "127.0.0.1:7400",
            "Address of the log, instance list, weight store and origin.",
        ),
        weightSets: defineList(
            "name",
            "quill::1, quill::2",
            "Weight sets of the origin, each as MODEL:ADAPTER:VERSION; the adapter may be empty.",
        ),
        modelBytes: defineInteger({
            minimum: 1,
            maximum: 10_000_000_000,
            defaultValue: 16_777_216,
            documentation: "Size of each weight set of the origin.",
        }),
        chunkBytes: defineInteger({
            minimum: 1,
            maximum: 67_108_864,
            defaultValue: 262_144,
            documentation: "Size of each chunk of a weight set; the last one may be smaller.",
        }),
        originBytesPerSecond: defineInteger({
            minimum: 1_000,
            maximum: 100_000_000_000,
            defaultValue: 16_777_216,
            documentation: "Bandwidth of the origin.",
        }),
        manifestReadsPerSecond: defineInteger({
            minimum: 1,
            maximum: 100_000,
            defaultValue: 200,
            documentation: "Requests per second above which the weight store answers with status 429.",
        }),
        appendsPerSecond: defineInteger({
            minimum: 1,
            maximum: 100_000,
            defaultValue: 300,
            documentation: "Appends per second above which the log answers with status 429.",
        }),
        instanceListLagMilliseconds: defineDuration("instanceListLag", "Milliseconds", {
            minimum: 0,
            maximum: 600_000,
            defaultValue: 2_000,
            documentation: "Delay with which the instance list shows changes.",
        }),
        retentionSeconds: defineDuration("retention", "Seconds", {
            minimum: 1,
            maximum: 31_536_000,
            defaultValue: 86_400,
            documentation: "Time for which the log keeps records.",
        }),
    },
    standInEngine: {
        httpAddress: defineText("address", "127.0.0.1:7500", "Address of the engine."),
        capacityRequests: defineInteger({
            minimum: 1,
            maximum: 10_000,
            defaultValue: 8,
            documentation: "Maximum number of requests that run at once; further ones are queued.",
        }),
        tokensPerSecond: defineInteger({
            minimum: 1,
            maximum: 1_000_000,
            defaultValue: 200,
            documentation: "Tokens per second that one request generates.",
        }),
        cachePrefixes: defineInteger({
            minimum: 0,
            maximum: 100_000,
            defaultValue: 32,
            documentation: "Capacity of the prefix cache, in prefixes.",
        }),
        checksFencing: defineBoolean(true, "Whether the engine refuses an order with an old fencing token."),
        reportLagMilliseconds: defineDuration("reportLag", "Milliseconds", {
            minimum: 0,
            maximum: 60_000,
            defaultValue: 200,
            documentation: "Delay with which the engine's load report shows changes.",
        }),
    },
    standInService: {
        httpAddress: defineText("address", "127.0.0.1:7600", "Address of the service."),
        capacityRequests: defineInteger({
            minimum: 1,
            maximum: 10_000,
            defaultValue: 16,
            documentation: "Maximum number of requests that run at once; further ones are queued.",
        }),
        serviceTimeMilliseconds: defineDuration("serviceTime", "Milliseconds", {
            minimum: 0,
            maximum: 600_000,
            defaultValue: 20,
            documentation: "Service time of a request.",
        }),
    },
} as const;
