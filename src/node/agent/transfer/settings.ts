import type { TransferServiceOptions, TransferServiceSettings } from "./types.js";

/**
 * Completes the options of the transfer service with their defaults.
 *
 * @param options - options that differ from the defaults
 * @returns all options of the service, without those of the distribution decision
 */
export function resolveTransferSettings(options: TransferServiceOptions = {}): TransferServiceSettings {
    return {
        selfScheduled: options.selfScheduled ?? true,
        tickInterval: options.tickInterval ?? 100,
        exchangeInterval: options.exchangeInterval ?? 500,
        exchangeTimeLimit: options.exchangeTimeLimit ?? 2_000,
        engineReadInterval: options.engineReadInterval ?? 1_000,
        engineReadIntervalUnprepared: options.engineReadIntervalUnprepared ?? 200,
        retryChokedAfter: options.retryChokedAfter ?? 200,
        retryFailedAfter: options.retryFailedAfter ?? 250,
        partBytes: options.partBytes ?? 65_536,
        waitForPreparedSet: options.waitForPreparedSet ?? true,
        exchangeWhenComplete: options.exchangeWhenComplete ?? true,
    };
}
