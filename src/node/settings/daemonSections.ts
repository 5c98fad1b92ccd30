import {
    defineBoolean,
    defineChoice,
    defineDuration,
    defineInteger,
    defineList,
    defineNumber,
    defineText,
} from "./keyDefinitions.js";

/** Sections that describe a process and its surroundings. */
export const daemonSections = {
    instance: {
        id: defineText(
            "name",
            "",
            "Identifier of the instance in the platform's instance list. If empty, grpcAddress is used.",
        ),
        zone: defineText("name", "zone-a", "Availability zone of the instance."),
        region: defineText("name", "region-a", "Region of the instance."),
        pool: defineText("name", "entry", "Pool of the instance: `entry`, or the pool that its deployments name."),
        grpcAddress: defineText("address", "127.0.0.1:7401", "Address at which our other processes reach this one."),
        httpAddress: defineText(
            "address",
            "127.0.0.1:7402",
            "Address of the HTTP server: callers' requests (entry), health, readiness, metrics and decisions.",
        ),
        drainTimeLimitSeconds: defineDuration("drainTimeLimit", "Seconds", {
            minimum: 0,
            maximum: 3_600,
            initial: 120,
            documentation: "Longest time after SIGTERM in which requests in progress may finish.",
        }),
    },
    platform: {
        logUrl: defineText("url", "http://127.0.0.1:7400", "Base address of the platform's append-only log."),
        instanceListUrl: defineText("url", "http://127.0.0.1:7400", "Base address of the platform's instance list."),
        weightStoreUrl: defineText("url", "http://127.0.0.1:7400", "Base address of the weight store (manifests)."),
        originUrl: defineText("url", "http://127.0.0.1:7400", "Base address of the origin (chunks)."),
        requestTimeLimitMilliseconds: defineDuration("requestTimeLimit", "Milliseconds", {
            minimum: 10,
            maximum: 60_000,
            initial: 3_000,
            documentation: "Time after which a call to the log, the instance list or the weight store has failed.",
        }),
        chunkTimeLimitMilliseconds: defineDuration("chunkTimeLimit", "Milliseconds", {
            minimum: 10,
            maximum: 600_000,
            initial: 30_000,
            documentation: "Time after which the transfer of a chunk from the origin has failed.",
        }),
        logWaitMilliseconds: defineDuration("logWait", "Milliseconds", {
            minimum: 0,
            maximum: 60_000,
            initial: 1_000,
            documentation: "Time that a read of the log may wait for a new record.",
        }),
        instanceListIntervalMilliseconds: defineDuration("instanceListInterval", "Milliseconds", {
            minimum: 50,
            maximum: 60_000,
            initial: 1_000,
            documentation: "Time between two reads of the instance list.",
        }),
    },
    relay: {
        entryAddresses: defineList(
            "address",
            "",
            "Entry instances to follow. If empty, they are taken from the instance list.",
        ),
        parents: defineInteger({
            minimum: 1,
            maximum: 8,
            initial: 3,
            documentation: "Entry instances that a process follows at once.",
        }),
        tickMilliseconds: defineDuration("tick", "Milliseconds", {
            minimum: 5,
            maximum: 5_000,
            initial: 100,
            documentation: "Time between two runs of the systems of a daemon.",
        }),
        heartbeatMilliseconds: defineDuration("heartbeat", "Milliseconds", {
            minimum: 10,
            maximum: 10_000,
            initial: 1_000,
            documentation: "Time between two reports of an agent, and between two messages of a relay without news.",
        }),
        silentAfterMilliseconds: defineDuration("silentAfter", "Milliseconds", {
            minimum: 50,
            maximum: 60_000,
            initial: 4_000,
            documentation: "Time without a message after which a relay is replaced by another one or a direct read.",
        }),
        reconnectMilliseconds: defineDuration("reconnect", "Milliseconds", {
            minimum: 10,
            maximum: 60_000,
            initial: 500,
            documentation: "Mean time before the next attempt at a lost connection; the actual time has jitter.",
        }),
        directReadJitterMilliseconds: defineDuration("directReadJitter", "Milliseconds", {
            minimum: 0,
            maximum: 60_000,
            initial: 3_000,
            documentation: "Longest random wait before a direct read of the log when no relay answers.",
        }),
    },
    hold: {
        holdSeconds: defineDuration("duration", "Seconds", {
            minimum: 0.5,
            maximum: 600,
            initial: 20,
            documentation: "Time for which a hold on a copy lasts without renewal.",
        }),
        marginSeconds: defineDuration("margin", "Seconds", {
            minimum: 0.1,
            maximum: 120,
            initial: 5,
            documentation: "Time added to the hold before a replacement, for clocks that run at different rates.",
        }),
    },
    backendServer: {
        url: defineText("url", "http://127.0.0.1:7500", "Address of the backend server beside the agent."),
        kind: defineChoice(["model", "service"], "A model engine that needs weights, or a plain service."),
        checksFencing: defineBoolean(
            false,
            "Whether the engine refuses an order with an old fencing token. False is safe for every engine.",
        ),
        orderTimeLimitMilliseconds: defineDuration("orderTimeLimit", "Milliseconds", {
            minimum: 50,
            maximum: 120_000,
            initial: 5_000,
            documentation: "Longest time that an order to the engine may be on its way.",
        }),
        requestTimeLimitMilliseconds: defineDuration("requestTimeLimit", "Milliseconds", {
            minimum: 50,
            maximum: 3_600_000,
            initial: 300_000,
            documentation: "Time after which a request without a further byte from the backend server has failed.",
        }),
        stateIntervalMilliseconds: defineDuration("stateInterval", "Milliseconds", {
            minimum: 10,
            maximum: 60_000,
            initial: 250,
            documentation: "Time between two reads of the backend server's state.",
        }),
    },
    log: {
        level: defineChoice(["info", "debug", "warn", "error"], "Least severe level that is written."),
        decisionSampleShare: defineNumber({
            minimum: 0,
            maximum: 1,
            initial: 1,
            documentation:
                "Share of the requests whose successful routing decisions are written. Refusals, failures and placement " +
                "decisions are always written.",
        }),
        recentDecisions: defineInteger({
            minimum: 0,
            maximum: 100_000,
            initial: 2_000,
            documentation: "Decisions that a daemon keeps in memory for `explain`, whether they were written or not.",
        }),
    },
    operator: {
        entryUrls: defineList(
            "url",
            "http://127.0.0.1:7402",
            "HTTP addresses of entry instances that `status` and `explain` ask.",
        ),
        name: defineText("name", "operator", "Name that is written into the records of this operator."),
        watchIntervalMilliseconds: defineDuration("watchInterval", "Milliseconds", {
            minimum: 100,
            maximum: 60_000,
            initial: 1_000,
            documentation: "Time between two answers of `status --watch`.",
        }),
        appendAttempts: defineInteger({
            minimum: 1,
            maximum: 20,
            initial: 4,
            documentation:
                "Attempts at an append whose outcome was ambiguous or that failed, reads in between included.",
        }),
    },
} as const;
