import { defineChoice, defineDuration, defineInteger, defineList, defineNumber, defineText } from "./keyDefinitions.js";
import { replicaSection } from "./replicaSection.js";

/** Sections of gateways and of the agents that work with them. */
export const gatewaySections = {
    gateway: {
        readyAddress: defineText("address", "127.0.0.1:7403", "Address of the HTTP server that tells readiness."),
        metricsAddress: defineText("address", "127.0.0.1:7404", "Address of the HTTP server of metrics and decisions."),
        relayPort: defineInteger({
            minimum: 1,
            maximum: 65_535,
            initial: 7_401,
            documentation: "Port at which every gateway relays records to gateways and agents.",
        }),
        agentPort: defineInteger({
            minimum: 1,
            maximum: 65_535,
            initial: 7_401,
            documentation: "Port of the agent on the instance of each backend server that holds weights.",
        }),
        seeds: defineList(
            "address",
            "",
            "Instances that may run gateways, of which only the hosts are used. They may be gone.",
        ),
        zoneRegions: defineList("name", "", "Region of each availability zone, each as ZONE:REGION."),
        cutoverAfterMilliseconds: defineDuration("cutoverAfter", "Milliseconds", {
            minimum: 100,
            maximum: 3_600_000,
            initial: 7_300,
            documentation: "Time after a version was declared from which on no request goes to an older one.",
        }),
        abandonAfterMilliseconds: defineDuration("abandonAfter", "Milliseconds", {
            minimum: 100,
            maximum: 3_600_000,
            initial: 7_700,
            documentation:
                "Time after a version was declared at which a request that an older one has not begun to answer is taken " +
                "back from its backend server.",
        }),
        assumedAgeMilliseconds: defineDuration("assumedAge", "Milliseconds", {
            minimum: 0,
            maximum: 3_600_000,
            initial: 4_000,
            documentation: "Age assumed for a version that was declared before the process started.",
        }),
        returnTimeMilliseconds: defineDuration("returnTime", "Milliseconds", {
            minimum: 0,
            maximum: 60_000,
            initial: 2_200,
            documentation: "Time after an outage of the log in which lapsed entries of backend servers come back.",
        }),
        outageAfterMilliseconds: defineDuration("outageAfter", "Milliseconds", {
            minimum: 100,
            maximum: 600_000,
            initial: 1_600,
            documentation: "Age of the list of backend servers from which on the log counts as away.",
        }),
        noticeMemoryMilliseconds: defineDuration("noticeMemory", "Milliseconds", {
            minimum: 1_000,
            maximum: 86_400_000,
            initial: 600_000,
            documentation:
                "Time for which a gateway remembers what a backend server has said of itself after its entry is gone.",
        }),
        maximumPauseMilliseconds: defineDuration("maximumPause", "Milliseconds", {
            minimum: 100,
            maximum: 86_400_000,
            initial: 300_000,
            documentation:
                "Longest time for which a backend server that turns requests away is left alone, whatever it asks for.",
        }),
        reportExpiryMilliseconds: defineDuration("reportExpiry", "Milliseconds", {
            minimum: 100,
            maximum: 60_000,
            initial: 2_500,
            documentation: "Time after which the report of an agent no longer goes before the list.",
        }),
        queuedPerServer: defineInteger({
            minimum: -1_000,
            maximum: 1_000,
            initial: 0,
            documentation: "Requests beyond its slots that a backend server is given; negative to leave slots free.",
        }),
        connectTimeLimitMilliseconds: defineDuration("connectTimeLimit", "Milliseconds", {
            minimum: 10,
            maximum: 60_000,
            initial: 400,
            documentation: "Time in which a connection to a backend server must be open.",
        }),
        maximumHeldAnswerBytes: defineInteger({
            minimum: 1_048_576,
            maximum: 1_099_511_627_776,
            initial: 67_108_864,
            documentation:
                "Bytes of all answers that a gateway keeps of backend servers, or an agent of engine, origin and log; the " +
                "largest are given up if there are more.",
        }),
        switchAfterMilliseconds: defineDuration("switchAfter", "Milliseconds", {
            minimum: 50,
            maximum: 600_000,
            initial: 1_500,
            documentation:
                "Time without a byte after which a request that may be repeated goes on at another backend server.",
        }),
        waitForEarlyAnswerShare: defineNumber({
            minimum: 0,
            maximum: 1,
            initial: 0.5,
            documentation: "Share of a route's target latency that a request may wait in the queue of a gateway.",
        }),
        acceptAfterShutdownMilliseconds: defineDuration("acceptAfterShutdown", "Milliseconds", {
            minimum: 0,
            maximum: 600_000,
            initial: 2_700,
            documentation: "Time after the signal to shut down in which new connections are still accepted.",
        }),
        shutdownMarginMilliseconds: defineDuration("shutdownMargin", "Milliseconds", {
            minimum: 0,
            maximum: 600_000,
            initial: 700,
            documentation:
                "Time before the end of instance.drainTimeLimitSeconds at which the drain ends, to release everything and end.",
        }),
        settleTimeMilliseconds: defineDuration("settleTime", "Milliseconds", {
            minimum: 100,
            maximum: 600_000,
            initial: 3_000,
            documentation: "Time in which every gateway has to know of the crashes that one of them has seen.",
        }),
        registrationLimitMilliseconds: defineDuration("registrationLimit", "Milliseconds", {
            minimum: 0,
            maximum: 600_000,
            initial: 800,
            documentation:
                "Time after which a gateway counts as ready although the others may not know it, since the log does not answer.",
        }),
        peerWaitMilliseconds: defineDuration("peerWait", "Milliseconds", {
            minimum: 0,
            maximum: 600_000,
            initial: 1_200,
            documentation:
                "Time after which a gateway counts as ready although no other one has told it what a restored log may lack.",
        }),
        fleetRetryShare: defineNumber({
            minimum: 0,
            maximum: 1,
            initial: 0,
            documentation: "Retries that all gateways together may make for each request at a service.",
        }),
        fleetRetries: defineNumber({
            minimum: 0,
            maximum: 1_000_000,
            initial: 0,
            documentation:
                "Retries that all gateways together may make at a service in a window beside that share; replaces " +
                "budgetPerSecond and budgetMaximum of [retry]. 0 leaves each process the budget of [retry].",
        }),
        fleetRetryWindowSeconds: defineDuration("fleetRetryWindow", "Seconds", {
            minimum: 1,
            maximum: 3_600,
            initial: 10,
            documentation: "Window of fleetRetries.",
        }),
        settingsCheckIntervalMilliseconds: defineDuration("settingsCheckInterval", "Milliseconds", {
            minimum: 100,
            maximum: 3_600_000,
            initial: 1_000,
            documentation: "Time between two looks at the settings file, which may change without a signal.",
        }),
    },
    weightAgent: {
        engineAddress: defineText("address", "127.0.0.1:7500", "Address of the engine on the same instance."),
        service: defineText("name", "", "Service that the engine belongs to."),
        objective: defineChoice(
            ["origin-bytes", "time"],
            "Whether the transfer of weights favours few bytes from the origin or a short time.",
        ),
        linkMegabitsPerSecond: defineNumber({
            minimum: 0.01,
            maximum: 1_000_000,
            initial: 1_000,
            documentation: "Speed of the instance's link, which transfers of weights share with live requests.",
        }),
        linkShare: defineNumber({
            minimum: 0.01,
            maximum: 1,
            initial: 0.9,
            documentation: "Share of the link that transfers of weights may use; the rest is left to live requests.",
        }),
        relays: defineInteger({
            minimum: 1,
            maximum: 16,
            initial: 2,
            documentation: "Gateways that the agent follows at once.",
        }),
        reportIntervalMilliseconds: defineDuration("reportInterval", "Milliseconds", {
            minimum: 20,
            maximum: 60_000,
            initial: 250,
            documentation: "Time between two reads of the engine's report.",
        }),
        unchangedReportMilliseconds: defineDuration("unchangedReport", "Milliseconds", {
            minimum: 20,
            maximum: 60_000,
            initial: 1_000,
            documentation: "Longest time after which gateways are sent a report although it has hardly changed.",
        }),
        reportedLoadChange: defineInteger({
            minimum: 1,
            maximum: 1_000,
            initial: 2,
            documentation: "Change of the number of requests at the engine that is reported at once.",
        }),
        waves: defineInteger({
            minimum: 1,
            maximum: 100,
            initial: 3,
            documentation: "Groups of backend servers that load a new version one after the other.",
        }),
        firstWaveAfterMilliseconds: defineDuration("firstWaveAfter", "Milliseconds", {
            minimum: 0,
            maximum: 3_600_000,
            initial: 3_300,
            documentation:
                "Time after the declaration at which the first group may stop serving to load, if it is nearly complete.",
        }),
        waveIntervalMilliseconds: defineDuration("waveInterval", "Milliseconds", {
            minimum: 0,
            maximum: 3_600_000,
            initial: 1_300,
            documentation: "Time by which each group loads later than the one before.",
        }),
        lastWaveAfterMilliseconds: defineDuration("lastWaveAfter", "Milliseconds", {
            minimum: 0,
            maximum: 3_600_000,
            initial: 6_200,
            documentation:
                "Time after the declaration at which every group may stop serving; gateways ask for the new version soon.",
        }),
        drainBeforeLoadMilliseconds: defineDuration("drainBeforeLoad", "Milliseconds", {
            minimum: 0,
            maximum: 3_600_000,
            initial: 1_000,
            documentation: "Longest time in which requests in progress may finish before the engine loads a version.",
        }),
        copyTimeMilliseconds: defineDuration("copyTime", "Milliseconds", {
            minimum: 0,
            maximum: 3_600_000,
            initial: 5_000,
            documentation:
                "Time that transfer and load of a version take. A newer version takes the place of one that is not loaded " +
                "yet only if it is there before the older one falls due.",
        }),
        repeatAfterMilliseconds: defineDuration("repeatAfter", "Milliseconds", {
            minimum: 100,
            maximum: 600_000,
            initial: 3_000,
            documentation: "Time after which a load order without effect is given again.",
        }),
        exchangeIntervalMilliseconds: defineDuration("exchangeInterval", "Milliseconds", {
            minimum: 20,
            maximum: 60_000,
            initial: 400,
            documentation: "Time between two exchanges of what is held with the same neighbour.",
        }),
        exchangeTimeLimitMilliseconds: defineDuration("exchangeTimeLimit", "Milliseconds", {
            minimum: 20,
            maximum: 60_000,
            initial: 400,
            documentation: "Time after which such an exchange has failed.",
        }),
    },
    replica: replicaSection,
} as const;
