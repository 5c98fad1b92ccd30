import type { PlacementOptions, ProposerMemory } from "./types.js";

/**
 * Completes the options of the proposer.
 *
 * @param partial - options that differ from the defaults
 * @returns all options
 */
export function resolvePlacementOptions(partial: Partial<PlacementOptions> = {}): PlacementOptions {
    return {
        unreachableAfter: 10_000,
        holdDuration: 20_000,
        holdMargin: 5_000,
        rankDelay: 2_000,
        replacementShare: 0.1,
        absentReadsUntilGone: 3,
        maximumWitnesses: 5,
        retention: 86_400_000,
        ...partial,
    };
}

/**
 * Creates the memory of a proposer that has just started.
 *
 * @returns the empty memory
 */
export function createProposerMemory(): ProposerMemory {
    return {
        confirmations: new Map(),
        wanted: new Map(),
        plannedAt: new Map(),
        awaitedSince: new Map(),
        observingSince: undefined,
        lastTickAt: undefined,
    };
}
