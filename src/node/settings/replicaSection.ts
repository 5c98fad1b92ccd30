import { defineDuration, defineInteger } from "./keyDefinitions.js";

/** How processes follow the keyed records of the log and relay them to each other. */
export const replicaSection = {
    readWaitMilliseconds: defineDuration("readWait", "Milliseconds", {
        minimum: 0,
        maximum: 30_000,
        defaultValue: 20_000,
        documentation: "Maximum time that a read of the log waits for a record.",
    }),
    pollIntervalMilliseconds: defineDuration("pollInterval", "Milliseconds", {
        minimum: 50,
        maximum: 60_000,
        defaultValue: 400,
        documentation: "Time between two reads of the list of backend servers.",
    }),
    changeIntervalMilliseconds: defineDuration("changeInterval", "Milliseconds", {
        minimum: 0,
        maximum: 60_000,
        defaultValue: 100,
        documentation:
            "Time between two reads of the operator's records after a change; one read then returns several.",
    }),
    retryAfterMilliseconds: defineDuration("retryAfter", "Milliseconds", {
        minimum: 10,
        maximum: 60_000,
        defaultValue: 100,
        documentation:
            "First delay after a failed read of the log; doubled with each failure up to longestRetryMilliseconds.",
    }),
    longestRetryMilliseconds: defineDuration("longestRetry", "Milliseconds", {
        minimum: 10,
        maximum: 600_000,
        defaultValue: 600,
        documentation: "Maximum delay after a failed read of the log.",
    }),
    relayStaleAfterMilliseconds: defineDuration("relayStaleAfter", "Milliseconds", {
        minimum: 50,
        maximum: 60_000,
        defaultValue: 900,
        documentation: "Age of the relayed records above which a process reads the log itself.",
    }),
    rankDelayMilliseconds: defineDuration("rankDelay", "Milliseconds", {
        minimum: 0,
        maximum: 60_000,
        defaultValue: 150,
        documentation: "Time by which the reader of each rank waits longer than the one before.",
    }),
    maximumRankDelayMilliseconds: defineDuration("maximumRankDelay", "Milliseconds", {
        minimum: 0,
        maximum: 60_000,
        defaultValue: 300,
        documentation:
            "Longest time by which a reader waits because of its rank. Together with relayStaleAfterMilliseconds, it must " +
            "stay below outageAfterMilliseconds, or the list of backend servers counts as outdated when many gateways end.",
    }),
    relayDelayMilliseconds: defineDuration("relayDelay", "Milliseconds", {
        minimum: 0,
        maximum: 60_000,
        defaultValue: 40,
        documentation:
            "Delay before a change is relayed; followers that have read it from the log report this within the delay.",
    }),
    largeRecordDelayMilliseconds: defineDuration("largeRecordDelay", "Milliseconds", {
        minimum: 0,
        maximum: 60_000,
        defaultValue: 0,
        documentation:
            "Delay before records of 16 KiB and more are relayed to followers that also read them from the log, so that " +
            "links do not carry the same configuration several times.",
    }),
    maximumEntryBytes: defineInteger({
        minimum: 1,
        maximum: 1_073_741_824,
        defaultValue: 262_144,
        documentation: "Maximum size of a record that is read from the log; of a larger one, only the key is. The " +
            "configuration may have 4 MiB.",
    }),
    relayHeartbeatMilliseconds: defineDuration("relayHeartbeat", "Milliseconds", {
        minimum: 50,
        maximum: 60_000,
        defaultValue: 400,
        documentation: "Maximum time between two messages of a relay.",
    }),
    silentAfterMilliseconds: defineDuration("silentAfter", "Milliseconds", {
        minimum: 100,
        maximum: 600_000,
        defaultValue: 1_500,
        documentation: "Time without a message after which the stream of a relay is closed.",
    }),
    reconnectAfterMilliseconds: defineDuration("reconnectAfter", "Milliseconds", {
        minimum: 10,
        maximum: 60_000,
        defaultValue: 300,
        documentation: "Mean delay before a relay whose stream ended is tried again.",
    }),
    positionIntervalMilliseconds: defineDuration("positionInterval", "Milliseconds", {
        minimum: 5,
        maximum: 60_000,
        defaultValue: 15,
        documentation: "Delay between a read of the log and the report of the new position to the relays.",
    }),
    parents: defineInteger({
        minimum: 1,
        maximum: 64,
        defaultValue: 3,
        documentation: "Number of relays that a process follows at the same time.",
    }),
} as const;
