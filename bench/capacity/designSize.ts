/** Design size of section 1 of `docs/design.md`. */
export const designSize = {
    entries: 360,
    runners: 3_200,
    accelerators: 6_300,
    regions: 5,
    zones: 10,
    requestsPerSecond: 3_500,
    tokensPerSecond: 1_000_000,
    burstInstances: 430,
    configurationChangesPerDay: 8_300,
    failuresPerDay: 30,
    replacementsPerDay: 320,
} as const;

/** Budget for control on one node, and times that users see. */
export const budgets = {
    controlCores: 0.013,
    controlResidentBytes: 64_000_000,
    controlBytesPerSecond: 3_000,
    inForceSeconds: 17,
    /** For 95 in 100. */
    firstTokenMilliseconds: 410,
    /** For 95 in 100. */
    betweenTokensMilliseconds: 47,
    /** Lower end of "several hundred a second". */
    logAppendsPerSecond: 300,
} as const;

/** Values of settings that decide how often messages are sent; the defaults of the daemons. */
export const rates = {
    followedRelays: 3,
    heartbeatsPerSecond: 1,
    instanceListReadsPerSecond: 1,
    subsetSize: 32,
    readersPerZone: 2,
    logReadsPerSecond: 1,
} as const;
