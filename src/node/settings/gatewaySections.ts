import { defineChoice, defineDuration, defineInteger, defineList, defineNumber, defineText } from "./keyDefinitions.js";
import { replicaSection } from "./replicaSection.js";

/** Sections of gateways and of the agents that work with them. */
export const gatewaySections = {
    gateway: {
        readyAddress: defineText("address", "127.0.0.1:7403", "Address of the HTTP server for readiness checks."),
        metricsAddress: defineText(
            "address",
            "127.0.0.1:7404",
            "Address of the HTTP server for metrics and decisions.",
        ),
        relayPort: defineInteger({
            minimum: 1,
            maximum: 65_535,
            defaultValue: 7_401,
            documentation: "Port at which every gateway relays records to gateways and agents.",
        }),
        agentPort: defineInteger({
            minimum: 1,
            maximum: 65_535,
            defaultValue: 7_401,
            documentation: "Port of the agent on the instance of each backend server that holds weights.",
        }),
        seeds: defineList(
            "address",
            "",
            "Instances that may run gateways; only their hosts are used. They need not exist any more.",
        ),
        zoneRegions: defineList("name", "", "Region of each availability zone, each as ZONE:REGION."),
        versionLimitMilliseconds: defineDuration("versionLimit", "Milliseconds", {
            minimum: 0,
            maximum: 3_600_000,
            defaultValue: 0,
            documentation:
                "Time after the declaration of a version from which on no answer of an older version may begin. " +
                "cutoverAfterMilliseconds, abandonAfterMilliseconds and the last wave of loads follow from it. 0 for none.",
        }),
        cutoverAfterMilliseconds: defineDuration("cutoverAfter", "Milliseconds", {
            minimum: 100,
            maximum: 3_600_000,
            defaultValue: 7_300,
            documentation:
                "Time after the declaration of a version from which on no request is sent to an older version; " +
                "only used without versionLimitMilliseconds.",
        }),
        abandonAfterMilliseconds: defineDuration("abandonAfter", "Milliseconds", {
            minimum: 100,
            maximum: 3_600_000,
            defaultValue: 7_700,
            documentation:
                "Time after the declaration of a version within which an answer of an older version must have begun; " +
                "after it, the attempt is aborted. Only used without versionLimitMilliseconds.",
        }),
        assumedAgeMilliseconds: defineDuration("assumedAge", "Milliseconds", {
            minimum: 0,
            maximum: 3_600_000,
            defaultValue: 0,
            documentation:
                "Minimum age that is assumed at the start of a process for a version that was declared before. It is " +
                "higher if cutoverAfterMilliseconds would otherwise end later than settleTimeMilliseconds after the start.",
        }),
        returnTimeMilliseconds: defineDuration("returnTime", "Milliseconds", {
            minimum: 0,
            maximum: 60_000,
            defaultValue: 2_200,
            documentation:
                "Time after an outage of the log within which backend servers write their expired entries again.",
        }),
        outageAfterMilliseconds: defineDuration("outageAfter", "Milliseconds", {
            minimum: 100,
            maximum: 600_000,
            defaultValue: 1_600,
            documentation: "Age of the list of backend servers above which the log counts as unavailable.",
        }),
        goneAfterMilliseconds: defineDuration("goneAfter", "Milliseconds", {
            minimum: 1_000,
            maximum: 86_400_000,
            defaultValue: 30_000,
            documentation:
                "Time for which a gateway must not respond to another one until that one drops its registration. It " +
                "registers itself again if it still runs.",
        }),
        noticeMemoryMilliseconds: defineDuration("noticeMemory", "Milliseconds", {
            minimum: 1_000,
            maximum: 86_400_000,
            defaultValue: 600_000,
            documentation: "Time for which the notices of a backend server are kept after the removal of its entry.",
        }),
        maximumPauseMilliseconds: defineDuration("maximumPause", "Milliseconds", {
            minimum: 100,
            maximum: 86_400_000,
            defaultValue: 300_000,
            documentation:
                "Maximum pause of a backend server that turns requests away, even if it asks for a longer one.",
        }),
        reportExpiryMilliseconds: defineDuration("reportExpiry", "Milliseconds", {
            minimum: 100,
            maximum: 60_000,
            defaultValue: 2_500,
            documentation: "Age above which a report of an agent no longer takes precedence over the list.",
        }),
        queuedPerServer: defineInteger({
            minimum: -1_000,
            maximum: 1_000,
            defaultValue: 0,
            documentation: "Requests that a backend server is given beyond its slots; negative to leave slots free.",
        }),
        connectTimeLimitMilliseconds: defineDuration("connectTimeLimit", "Milliseconds", {
            minimum: 10,
            maximum: 60_000,
            defaultValue: 400,
            documentation: "Time within which a connection to a backend server must be established.",
        }),
        memoryMegabytes: defineNumber({
            minimum: 0,
            maximum: 10_000_000,
            defaultValue: 0,
            documentation:
                "Memory that the process may use; 0 if the platform does not limit it. 15 % of it limits all bytes " +
                "that a gateway holds for slow callers and backend servers, a tenth the answers among them, beside " +
                "maximumHeldAnswerBytes. Buffers that are not used any more are collected beyond 8 % of it, and 4 % " +
                "limits the records that followers have not received yet.",
        }),
        maximumHeldAnswerBytes: defineInteger({
            minimum: 1_048_576,
            maximum: 1_099_511_627_776,
            defaultValue: 67_108_864,
            documentation:
                "Maximum bytes in memory of all answers: of backend servers at a gateway, of engine, origin and log " +
                "at an agent. Beyond it, the largest answers are abandoned.",
        }),
        switchAfterMilliseconds: defineDuration("switchAfter", "Milliseconds", {
            minimum: 50,
            maximum: 600_000,
            defaultValue: 1_500,
            documentation:
                "Shortest time without a byte after which an idempotent request is also sent to another backend server.",
        }),
        waitForEarlyAnswerShare: defineNumber({
            minimum: 0,
            maximum: 1,
            defaultValue: 0.5,
            documentation: "Share of a route's target latency that a request may wait in the queue of a gateway.",
        }),
        acceptAfterShutdownMilliseconds: defineDuration("acceptAfterShutdown", "Milliseconds", {
            minimum: 0,
            maximum: 600_000,
            defaultValue: 2_700,
            documentation: "Time after SIGTERM or SIGINT for which new connections are still accepted.",
        }),
        shutdownMarginMilliseconds: defineDuration("shutdownMargin", "Milliseconds", {
            minimum: 0,
            maximum: 600_000,
            defaultValue: 700,
            documentation:
                "Time before the end of instance.drainTimeLimitSeconds at which the drain ends, to release resources.",
        }),
        settleTimeMilliseconds: defineDuration("settleTime", "Milliseconds", {
            minimum: 100,
            maximum: 600_000,
            defaultValue: 3_000,
            documentation:
                "Time within which evidence of a crash must reach all gateways, and after which a gateway that has " +
                "started sends no request to versions that were outdated before.",
        }),
        configurationLimitMilliseconds: defineDuration("configurationLimit", "Milliseconds", {
            minimum: 200,
            maximum: 600_000,
            defaultValue: 2_000,
            documentation:
                "Time within which a change of the configuration must be in force at all gateways, even if connections " +
                "to the log go silent without being closed. Reads that check the long polls follow from it.",
        }),
        registrationLimitMilliseconds: defineDuration("registrationLimit", "Milliseconds", {
            minimum: 0,
            maximum: 600_000,
            defaultValue: 800,
            documentation:
                "Time after which a gateway is ready even if the log is unavailable, so that others may not know it.",
        }),
        peerWaitMilliseconds: defineDuration("peerWait", "Milliseconds", {
            minimum: 0,
            maximum: 600_000,
            defaultValue: 1_200,
            documentation:
                "Maximum time for which readiness waits for other gateways' records that a restored log may have lost.",
        }),
        agentWaitMilliseconds: defineDuration("agentWait", "Milliseconds", {
            minimum: 0,
            maximum: 600_000,
            defaultValue: 1_200,
            documentation:
                "Maximum time after the start for which readiness waits for the first reports of agents, without which no " +
                "request is sent to their backend servers.",
        }),
        fleetRetryShare: defineNumber({
            minimum: 0,
            maximum: 1,
            defaultValue: 0,
            documentation: "Retries per request that all gateways together may make at a service.",
        }),
        fleetRetries: defineNumber({
            minimum: 0,
            maximum: 1_000_000,
            defaultValue: 0,
            documentation:
                "Retries per window that all gateways together may make at a service in addition to fleetRetryShare; " +
                "replaces budgetPerSecond and budgetMaximum of [retry]. 0 leaves each process the budget of [retry].",
        }),
        fleetRetryWindowSeconds: defineDuration("fleetRetryWindow", "Seconds", {
            minimum: 1,
            maximum: 3_600,
            defaultValue: 10,
            documentation: "Length of a window of fleetRetries.",
        }),
        settingsCheckIntervalMilliseconds: defineDuration("settingsCheckInterval", "Milliseconds", {
            minimum: 100,
            maximum: 3_600_000,
            defaultValue: 1_000,
            documentation: "Time between two checks of the settings file, which may change without a signal.",
        }),
    },
    weightAgent: {
        engineAddress: defineText("address", "127.0.0.1:7500", "Address of the engine on the same instance."),
        service: defineText("name", "", "Service that the engine belongs to."),
        objective: defineChoice(
            ["origin-bytes", "time"],
            "Whether the transfer of weights minimizes the bytes read from the origin or the transfer time.",
        ),
        linkMegabitsPerSecond: defineNumber({
            minimum: 0.01,
            maximum: 1_000_000,
            defaultValue: 1_000,
            documentation: "Bandwidth of the instance's network link, which transfers of weights share with requests.",
        }),
        linkShare: defineNumber({
            minimum: 0.01,
            maximum: 1,
            defaultValue: 0.9,
            documentation: "Share of the link that transfers of weights may use; the rest is left to requests.",
        }),
        relays: defineInteger({
            minimum: 1,
            maximum: 16,
            defaultValue: 2,
            documentation: "Number of gateways whose relays the agent follows at the same time.",
        }),
        reportIntervalMilliseconds: defineDuration("reportInterval", "Milliseconds", {
            minimum: 20,
            maximum: 60_000,
            defaultValue: 250,
            documentation: "Time between two reads of the engine's report.",
        }),
        unchangedReportMilliseconds: defineDuration("unchangedReport", "Milliseconds", {
            minimum: 20,
            maximum: 60_000,
            defaultValue: 1_000,
            documentation: "Time after which a report is sent to gateways even if it has hardly changed.",
        }),
        reportedLoadChange: defineInteger({
            minimum: 1,
            maximum: 1_000,
            defaultValue: 2,
            documentation: "Change in the number of requests at the engine that is reported immediately.",
        }),
        waves: defineInteger({
            minimum: 1,
            maximum: 100,
            defaultValue: 3,
            documentation: "Number of waves: groups of backend servers that load a new version one after the other.",
        }),
        firstWaveAfterMilliseconds: defineDuration("firstWaveAfter", "Milliseconds", {
            minimum: 0,
            maximum: 3_600_000,
            defaultValue: 3_300,
            documentation:
                "Time after the declaration at which the first wave may stop serving to load, with nearly every chunk.",
        }),
        waveIntervalMilliseconds: defineDuration("waveInterval", "Milliseconds", {
            minimum: 0,
            maximum: 3_600_000,
            defaultValue: 1_300,
            documentation: "Time between the starts of two successive waves.",
        }),
        lastWaveAfterMilliseconds: defineDuration("lastWaveAfter", "Milliseconds", {
            minimum: 0,
            maximum: 3_600_000,
            defaultValue: 6_200,
            documentation:
                "Time after the declaration at which all waves may load; gateways soon require the new version.",
        }),
        drainBeforeLoadMilliseconds: defineDuration("drainBeforeLoad", "Milliseconds", {
            minimum: 0,
            maximum: 3_600_000,
            defaultValue: 1_000,
            documentation: "Maximum time for requests in progress to finish before the engine loads a version.",
        }),
        maximumStagedAgeMilliseconds: defineDuration("maximumStagedAge", "Milliseconds", {
            minimum: 100,
            maximum: 3_600_000,
            defaultValue: 2_500,
            documentation:
                "Maximum age of the verification of the staged chunks when the engine is ordered to load them; older " +
                "chunks are verified again, since they may have become corrupt. Must be above the time that the " +
                "verification takes.",
        }),
        copyTimeMilliseconds: defineDuration("copyTime", "Milliseconds", {
            minimum: 0,
            maximum: 3_600_000,
            defaultValue: 5_000,
            documentation:
                "Time that the transfer and the load of a version take. A newer version is transferred instead of an " +
                "older one that is not held yet only if it can be loaded before the cutover to the older one.",
        }),
        repeatAfterMilliseconds: defineDuration("repeatAfter", "Milliseconds", {
            minimum: 100,
            maximum: 600_000,
            defaultValue: 3_000,
            documentation: "Time after which a load order that had no effect is given again.",
        }),
        exchangeIntervalMilliseconds: defineDuration("exchangeInterval", "Milliseconds", {
            minimum: 20,
            maximum: 60_000,
            defaultValue: 400,
            documentation: "Time between two exchanges of bitfields with the same neighbour.",
        }),
        exchangeTimeLimitMilliseconds: defineDuration("exchangeTimeLimit", "Milliseconds", {
            minimum: 20,
            maximum: 60_000,
            defaultValue: 400,
            documentation: "Timeout of an exchange of bitfields.",
        }),
    },
    replica: replicaSection,
} as const;
