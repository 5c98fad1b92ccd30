import {
    defineBoolean,
    defineChoice,
    defineDuration,
    defineInteger,
    defineList,
    defineNumber,
    defineText,
} from "./keyDefinitions.js";

/** Sections of a process and of the services that it uses: instance, platform, relays, backend server, log output. */
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
        grpcAddress: defineText(
            "address",
            "127.0.0.1:7401",
            "Address of the gRPC server, at which other goldcrestpoint processes reach this one.",
        ),
        httpAddress: defineText(
            "address",
            "127.0.0.1:7402",
            "Address of the HTTP server: callers' requests (entry), health, readiness, metrics and decisions.",
        ),
        drainTimeLimitSeconds: defineDuration("drainTimeLimit", "Seconds", {
            minimum: 0,
            maximum: 3_600,
            defaultValue: 120,
            documentation: "Maximum time after SIGTERM for requests in progress to finish.",
        }),
    },
    platform: {
        logUrl: defineText("url", "http://127.0.0.1:7400", "Base URL of the platform's append-only log."),
        instanceListUrl: defineText("url", "http://127.0.0.1:7400", "Base URL of the platform's instance list."),
        weightStoreUrl: defineText("url", "http://127.0.0.1:7400", "Base URL of the weight store (manifests)."),
        originUrl: defineText("url", "http://127.0.0.1:7400", "Base URL of the origin (chunks)."),
        requestTimeLimitMilliseconds: defineDuration("requestTimeLimit", "Milliseconds", {
            minimum: 10,
            maximum: 60_000,
            defaultValue: 3_000,
            documentation: "Timeout of a call to the log, the instance list or the weight store.",
        }),
        chunkTimeLimitMilliseconds: defineDuration("chunkTimeLimit", "Milliseconds", {
            minimum: 10,
            maximum: 600_000,
            defaultValue: 30_000,
            documentation: "Timeout of the transfer of a chunk from the origin.",
        }),
        logWaitMilliseconds: defineDuration("logWait", "Milliseconds", {
            minimum: 0,
            maximum: 60_000,
            defaultValue: 1_000,
            documentation: "Maximum time that a read of the log waits for a new record.",
        }),
        instanceListIntervalMilliseconds: defineDuration("instanceListInterval", "Milliseconds", {
            minimum: 50,
            maximum: 60_000,
            defaultValue: 1_000,
            documentation: "Time between two reads of the instance list.",
        }),
    },
    relay: {
        entryAddresses: defineList(
            "address",
            "",
            "Entry instances whose relays are followed. If empty, they are taken from the instance list.",
        ),
        parents: defineInteger({
            minimum: 1,
            maximum: 8,
            defaultValue: 3,
            documentation: "Number of entry instances that a process follows at the same time.",
        }),
        tickMilliseconds: defineDuration("tick", "Milliseconds", {
            minimum: 5,
            maximum: 5_000,
            defaultValue: 100,
            documentation: "Time between two ticks: runs of the periodic tasks of a daemon.",
        }),
        heartbeatMilliseconds: defineDuration("heartbeat", "Milliseconds", {
            minimum: 10,
            maximum: 10_000,
            defaultValue: 1_000,
            documentation:
                "Time between two reports of an agent, and between two messages of a relay while no record changes.",
        }),
        silentAfterMilliseconds: defineDuration("silentAfter", "Milliseconds", {
            minimum: 50,
            maximum: 60_000,
            defaultValue: 4_000,
            documentation:
                "Time without a message after which another relay, or the log itself, is read instead of a relay.",
        }),
        reconnectMilliseconds: defineDuration("reconnect", "Milliseconds", {
            minimum: 10,
            maximum: 60_000,
            defaultValue: 500,
            documentation: "Mean delay before a lost connection is opened again; the actual delay has jitter.",
        }),
        directReadJitterMilliseconds: defineDuration("directReadJitter", "Milliseconds", {
            minimum: 0,
            maximum: 60_000,
            defaultValue: 3_000,
            documentation: "Maximum random delay before the log is read directly when no relay responds.",
        }),
    },
    hold: {
        holdSeconds: defineDuration("duration", "Seconds", {
            minimum: 0.5,
            maximum: 600,
            defaultValue: 20,
            documentation: "Time for which a hold on a copy lasts without renewal.",
        }),
        marginSeconds: defineDuration("margin", "Seconds", {
            minimum: 0.1,
            maximum: 120,
            defaultValue: 5,
            documentation:
                "Time added to the hold duration before a copy is replaced, since clocks run at different rates.",
        }),
    },
    backendServer: {
        url: defineText("url", "http://127.0.0.1:7500", "Base URL of the backend server on the agent's instance."),
        kind: defineChoice(["model", "service"], "A model engine that needs weights, or a plain service."),
        checksFencing: defineBoolean(
            false,
            "Whether the engine refuses an order with an old fencing token. False is safe for every engine.",
        ),
        orderTimeLimitMilliseconds: defineDuration("orderTimeLimit", "Milliseconds", {
            minimum: 50,
            maximum: 120_000,
            defaultValue: 5_000,
            documentation: "Maximum time between sending an order and its arrival at the engine.",
        }),
        requestTimeLimitMilliseconds: defineDuration("requestTimeLimit", "Milliseconds", {
            minimum: 50,
            maximum: 3_600_000,
            defaultValue: 300_000,
            documentation: "Time without a byte from the backend server after which a request has failed.",
        }),
        stateIntervalMilliseconds: defineDuration("stateInterval", "Milliseconds", {
            minimum: 10,
            maximum: 60_000,
            defaultValue: 250,
            documentation: "Time between two reads of the backend server's state.",
        }),
    },
    log: {
        level: defineChoice(["info", "debug", "warn", "error"], "Least severe level that is written."),
        decisionSampleShare: defineNumber({
            minimum: 0,
            maximum: 1,
            defaultValue: 1,
            documentation:
                "Share of the requests whose successful routing decisions are written. Refusals, failures and " +
                "placement decisions are always written.",
        }),
        recentDecisions: defineInteger({
            minimum: 0,
            maximum: 100_000,
            defaultValue: 2_000,
            documentation: "Decisions that a daemon keeps in memory for `explain`, whether they were written or not.",
        }),
    },
    operator: {
        entryUrls: defineList(
            "url",
            "http://127.0.0.1:7402",
            "Base URLs of the entry instances that `status` and `explain` query.",
        ),
        gatewayUrls: defineList(
            "url",
            "",
            "Base URLs of the metrics addresses of the gateways that `status` asks for evacuated zones.",
        ),
        name: defineText("name", "operator", "Name that is written into the records of this operator."),
        watchIntervalMilliseconds: defineDuration("watchInterval", "Milliseconds", {
            minimum: 100,
            maximum: 60_000,
            defaultValue: 1_000,
            documentation: "Time between two outputs of `status --watch`.",
        }),
        appendAttempts: defineInteger({
            minimum: 1,
            maximum: 20,
            defaultValue: 4,
            documentation:
                "Maximum number of attempts at an append; each includes the read of the log that checks its outcome.",
        }),
    },
} as const;
