import { pino } from "pino";
import { createRateLimits, type RateLimits } from "../../../src/node/gateway/membership/rateLimits.js";
import type { Clock } from "../../../src/types/index.js";

/**
 * Creates the rate limits of a gateway.
 *
 * @param clock - time source
 * @param self - identifier of the gateway
 * @param gateways - identifiers of all gateways
 * @returns the rate limits, empty
 */
export function createTestRateLimits(
    clock: Clock,
    self = "gateway-1",
    gateways: readonly string[] = [self],
): RateLimits {
    return createRateLimits({
        self,
        listGateways: () => gateways,
        clock,
        random: { next: () => 0.5 },
        logger: pino({ level: "silent" }),
        settleTime: 3_000,
        memory: 600_000,
    });
}
