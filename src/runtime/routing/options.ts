import type { RoutingOptions } from "./types.js";

/**
 * Fills in the defaults of the routing options.
 *
 * @param partial - options that differ from the defaults
 * @returns all options
 */
export function resolveRoutingOptions(partial: Partial<RoutingOptions> = {}): RoutingOptions {
    return {
        subsetSize: 32,
        loadHalfLife: 1_000,
        reportExpiry: 5_000,
        affinityLoadFactor: 1.25,
        affinityLoadSlack: 1,
        zonePenalty: 0.5,
        regionPenalty: 2,
        failuresUntilEjected: 3,
        ejectionDuration: 2_000,
        panicShare: 0.5,
        comparedCandidates: 2,
        waitingWeight: 0,
        waitingHalfLife: 200,
        costAware: false,
        ...partial,
    };
}
