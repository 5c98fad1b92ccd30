import type { KeyedTopic } from "../../../types/index.js";
import { followLog, type LogFollowerInput, type LogFollowerOptions } from "../../replica/index.js";
import type { GatewaySettings } from "../../settings/index.js";

/** Time between two checks as a share of the limit for a configuration change; the rest is left for relaying. */
const checkIntervalShare = 0.5;

/**
 * Derives the options of the reads that check the long polls for the operator's records. The age limit is above that of
 * the list of backend servers, so that other gateways check only if the reader of the list has failed.
 */
function deriveCheckOptions({ gateway, replica }: GatewaySettings): LogFollowerOptions {
    const pollInterval = gateway.configurationLimit * checkIntervalShare;
    return { ...replica, pollInterval, relayStaleAfter: replica.relayStaleAfter + pollInterval / 2 };
}

/** Topics that each gateway reads from the log as soon as they change. */
export const longPolledTopics: ReadonlySet<KeyedTopic> = new Set<KeyedTopic>([
    "operator",
    "instances",
    "condemned-requests",
]);

/**
 * Follows the topics that a gateway reads from the log, until the signal of the input is aborted.
 *
 * @param input - log and store
 * @param settings - times between reads
 */
export function startLogFollowers(input: Omit<LogFollowerInput, "options">, settings: GatewaySettings): void {
    const followed = { ...input, options: settings.replica };
    for (const topic of longPolledTopics) {
        void followLog(followed, topic, "wait");
    }
    void followLog({ ...input, options: deriveCheckOptions(settings) }, "operator", "check");
    void followLog(followed, "backend-servers", "poll");
}
