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

/** Resource limits for the control processes on one node, and limits for the latencies that users see. */
export const budgets = {
    controlCores: 0.013,
    controlResidentBytes: 64_000_000,
    controlBytesPerSecond: 3_000,
    inForceSeconds: 17,
    /** At the 95th percentile. */
    firstTokenMilliseconds: 410,
    /** At the 95th percentile. */
    betweenTokensMilliseconds: 47,
    /** Lower end of "several hundred a second". */
    logAppendsPerSecond: 300,
} as const;

/** Defaults of the daemons' settings that determine how many messages are sent. */
export const rates = {
    followedRelays: 3,
    heartbeatsPerSecond: 1,
    instanceListReadsPerSecond: 1,
    subsetSize: 32,
    readersPerZone: 2,
    logReadsPerSecond: 1,
} as const;
