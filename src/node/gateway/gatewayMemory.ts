import type { Logger } from "pino";
import type { Clock } from "../../types/index.js";
import { createBufferCollector, createHeldMemory, type HeldMemory } from "../memory/index.js";
import type { Metrics } from "../metrics/index.js";
import type { GatewaySettings } from "../settings/index.js";
import { type GatewayMetrics, registerHeldBytes } from "./gatewayMetrics.js";

/** Dependencies of {@link createGatewayMemory}. */
export interface GatewayMemoryInput extends Pick<GatewaySettings, "gateway"> {
    readonly clock: Clock;
    readonly logger: Logger;
    readonly metrics: Metrics;
    readonly gatewayMetrics: Pick<GatewayMetrics, "countCollection" | "countEndedHolding">;
}

/**
 * Creates the limit on the bytes that a gateway holds, with its log lines and metrics.
 *
 * @param input - limits, log and metrics
 * @returns the limit
 */
export function createGatewayMemory(
    { clock, gateway, gatewayMetrics, logger, metrics }: GatewayMemoryInput,
): HeldMemory {
    const limitBytes = gateway.maximumHeldBytes;
    const collector = createBufferCollector({
        allowed: gateway.maximumUnusedBytes,
        countHeld: () => memory.total(),
        onCollected: collection => gatewayMetrics.countCollection(collection),
    });
    const memory: HeldMemory = createHeldMemory({
        limit: limitBytes,
        answerLimit: gateway.maximumHeldAnswerBytes,
        clock,
        onRead: bytes => collector.recordRead(bytes),
        onEnded: ({ age, bytes, stage }, heldBytes) => {
            gatewayMetrics.countEndedHolding(stage);
            logger.warn({ stage, bytes, ageMilliseconds: Math.round(age), heldBytes }, "ended to free memory");
        },
        onRefusing: (isRefusing, heldBytes) =>
            logger.warn(
                { heldBytes, limitBytes },
                isRefusing ? "requests refused at the memory limit" : "requests accepted below the memory limit",
            ),
    });
    registerHeldBytes(metrics, memory);
    return memory;
}
