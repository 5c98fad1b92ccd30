import type { DistributionOptions } from "./types.js";

/**
 * Completes the options of the transfer decision with their defaults.
 *
 * @param partial - options that differ from the defaults
 * @returns all options
 */
export function resolveDistributionOptions(partial: Partial<DistributionOptions> = {}): DistributionOptions {
    return {
        maximumTransfers: partial.maximumTransfers ?? 12,
        maximumTransfersFromPeer: partial.maximumTransfersFromPeer ?? 1,
        maximumOriginTransfers: partial.maximumOriginTransfers ?? 2,
        maximumUploads: partial.maximumUploads ?? 8,
        maximumBytesInFlight: partial.maximumBytesInFlight ?? 12 * 1024 * 1024,
        uploadAllowanceCopies: partial.uploadAllowanceCopies ?? 1.1,
        stallAfter: partial.stallAfter ?? 10_000,
        originStallAfter: partial.originStallAfter ?? 30_000,
        avoidSourceFor: partial.avoidSourceFor ?? 30_000,
        maximumAvoidFactor: partial.maximumAvoidFactor ?? 1,
        originTakeoverAfter: partial.originTakeoverAfter ?? 5_000,
        originWindow: partial.originWindow ?? 0,
        originWindowTime: partial.originWindowTime ?? 0,
        linkBytesPerSecond: partial.linkBytesPerSecond ?? 125_000_000,
        originReadersForTime: partial.originReadersForTime ?? 4,
        sourcesForTime: partial.sourcesForTime ?? 8,
        corruptChunksUntilAvoided: partial.corruptChunksUntilAvoided ?? 2,
        neighbours: partial.neighbours ?? 8,
        watchedReaders: partial.watchedReaders ?? 8,
        preferOwnZone: partial.preferOwnZone ?? false,
        maximumZoneReaders: partial.maximumZoneReaders ?? 1,
        zoneTakeoverAfter: partial.zoneTakeoverAfter ?? 1_000,
        manifestReaders: partial.manifestReaders ?? 0,
        manifestTakeoverAfter: partial.manifestTakeoverAfter ?? 1_000,
        manifestExchangeInterval: partial.manifestExchangeInterval ?? 150,
    };
}
