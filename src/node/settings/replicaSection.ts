import { defineDuration, defineInteger } from "./keyDefinitions.js";

/** How processes follow the keyed records of the log and relay them to each other. */
export const replicaSection = {
    readWaitMilliseconds: defineDuration("readWait", "Milliseconds", {
        minimum: 0,
        maximum: 30_000,
        initial: 20_000,
        documentation: "Time that a read of the log may wait for a record.",
    }),
    pollIntervalMilliseconds: defineDuration("pollInterval", "Milliseconds", {
        minimum: 50,
        maximum: 60_000,
        initial: 400,
        documentation: "Time between two reads of the list of backend servers.",
    }),
    changeIntervalMilliseconds: defineDuration("changeInterval", "Milliseconds", {
        minimum: 0,
        maximum: 60_000,
        initial: 100,
        documentation: "Time between two reads of the operator's records after a change.",
    }),
    retryAfterMilliseconds: defineDuration("retryAfter", "Milliseconds", {
        minimum: 10,
        maximum: 60_000,
        initial: 100,
        documentation: "First delay after a failed read of the log; it doubles up to longestRetryMilliseconds.",
    }),
    longestRetryMilliseconds: defineDuration("longestRetry", "Milliseconds", {
        minimum: 10,
        maximum: 600_000,
        initial: 600,
        documentation: "Longest delay after a failed read of the log.",
    }),
    relayStaleAfterMilliseconds: defineDuration("relayStaleAfter", "Milliseconds", {
        minimum: 50,
        maximum: 60_000,
        initial: 900,
        documentation: "Age of relayed knowledge from which on a gateway reads the list itself.",
    }),
    rankDelayMilliseconds: defineDuration("rankDelay", "Milliseconds", {
        minimum: 0,
        maximum: 60_000,
        initial: 150,
        documentation: "Time by which each rank of readers waits longer than the one before.",
    }),
    relayDelayMilliseconds: defineDuration("relayDelay", "Milliseconds", {
        minimum: 0,
        maximum: 60_000,
        initial: 40,
        documentation: "Delay of a change before it is relayed, in which followers report what they have read.",
    }),
    relayHeartbeatMilliseconds: defineDuration("relayHeartbeat", "Milliseconds", {
        minimum: 50,
        maximum: 60_000,
        initial: 400,
        documentation: "Longest time between two messages of a relay.",
    }),
    silentAfterMilliseconds: defineDuration("silentAfter", "Milliseconds", {
        minimum: 100,
        maximum: 600_000,
        initial: 1_500,
        documentation: "Time without a message after which a relay is given up.",
    }),
    reconnectAfterMilliseconds: defineDuration("reconnectAfter", "Milliseconds", {
        minimum: 10,
        maximum: 60_000,
        initial: 300,
        documentation: "Mean time before the next attempt at a relay that was lost.",
    }),
    positionIntervalMilliseconds: defineDuration("positionInterval", "Milliseconds", {
        minimum: 5,
        maximum: 60_000,
        initial: 15,
        documentation: "Delay of the report of the own position to relays after a read of the log.",
    }),
    parents: defineInteger({
        minimum: 1,
        maximum: 64,
        initial: 3,
        documentation: "Relays that a process follows at once.",
    }),
} as const;
