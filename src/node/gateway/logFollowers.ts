import { followLog, type LogFollowerInput, type LogFollowerOptions } from "../replica/index.js";
import type { GatewaySettings } from "../settings/index.js";

/** Share of the limit for a change of the configuration after which the next check begins; the rest is for relaying. */
const checkIntervalShare = 0.5;

/**
 * Derives the options of the reads that check whether the long polls for the operator's records still work. The relayed
 * list of backend servers is at times just older than its own limit; only the loss of its reader is to start other checks.
 */
function deriveCheckOptions({ gateway, replica }: GatewaySettings): LogFollowerOptions {
    const pollInterval = gateway.configurationLimit * checkIntervalShare;
    return { ...replica, pollInterval, relayStaleAfter: replica.relayStaleAfter + pollInterval / 2 };
}

/**
 * Follows the topics that a gateway reads from the log, until the signal of the input is aborted.
 *
 * @param input - log and store
 * @param settings - times between reads
 */
export function startLogFollowers(input: Omit<LogFollowerInput, "options">, settings: GatewaySettings): void {
    const followed = { ...input, options: settings.replica };
    void followLog(followed, "operator", "wait");
    void followLog({ ...input, options: deriveCheckOptions(settings) }, "operator", "check");
    void followLog(followed, "instances", "wait");
    void followLog(followed, "condemned-requests", "wait");
    void followLog(followed, "backend-servers", "poll");
}
