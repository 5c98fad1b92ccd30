import type { Logger } from "pino";
import type { Milliseconds } from "../../../types/index.js";
import type { ConnectionObserver } from "../../httpServer/index.js";
import type { HeldMemory } from "../../memory/index.js";
import type { GatewayMetrics } from "../gatewayMetrics.js";
import type { ArrivedRequests } from "./arrivedRequests.js";

/** Lateness of a check from which on it is logged. */
const loggedLateness: Milliseconds = 300;

/**
 * Creates an observer that logs and counts the connections of callers that the server closes, and the requests that it
 * refuses itself.
 *
 * @param metrics - counters
 * @param logger - receives the lines
 * @param arrived - describes requests
 * @param memory - notified of what connections receive
 * @returns the observer
 */
export function createConnectionLog(
    metrics: Pick<GatewayMetrics, "countClosedConnection" | "countRejected">,
    logger: Logger,
    arrived: Pick<ArrivedRequests, "describe">,
    memory: Pick<HeldMemory, "recordRead">,
): Required<ConnectionObserver> {
    return {
        onReceive: bytes => memory.recordRead(bytes),
        onClose: (reason, lateness) => {
            metrics.countClosedConnection(reason);
            if (lateness >= loggedLateness) {
                const lateMilliseconds = Math.round(lateness);
                logger.warn({ reason, lateMilliseconds }, "connection closed late");
            }
        },
        onUnanswerable: incoming => {
            metrics.countClosedConnection("crossed");
            logger.warn(arrived.describe(incoming), "request arrived after its connection was closed");
        },
        onRefuse: ({ reason, status }, incoming) => {
            metrics.countRejected(reason);
            logger.warn(
                { ...arrived.describe(incoming), status, reason, host: incoming?.headers.host },
                "request rejected",
            );
        },
    };
}
