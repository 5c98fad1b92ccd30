import type { Logger } from "pino";
import { formatWeightName } from "../../runtime/gateway/index.js";
import type { Clock, EngineReport, Manifest, Milliseconds } from "../../types/index.js";
import { sleep } from "../../utils/index.js";
import type { StallMonitor } from "../replica/index.js";
import type { EngineReports } from "./engineReports.js";
import type { StagedWrites } from "./stagedWrites.js";
import { stageWeights, type StagingSummary } from "./stageWeights.js";
import type { WeightMemory } from "./weightMemory.js";

/** Interval between reads of the requests in progress while the engine drains. */
const drainCheckInterval: Milliseconds = 60;

/** Number of times that the staged chunks are verified for one load order, since an earlier verification is too old. */
const maximumVerifications = 4;

/** Verification of the staged chunks, from the first one to the last one. */
export interface StagedVerification extends StagingSummary {
    /** Monotonic time at which it began. */
    readonly startedAt: Milliseconds;
    /** Start of the engine that holds the chunks, as the last report before the verification states it. */
    readonly engineStart: number | undefined;
}

/** Engine that may be ordered to load. */
export interface PreparedLoad {
    readonly verified: StagedVerification;
    /** Newest report, read after the verification. */
    readonly report: EngineReport;
    /** Number of requests that have not finished. */
    readonly running: number;
}

/** Dependencies of {@link createLoadPreparation}. */
export interface LoadPreparationInput {
    readonly writes: StagedWrites;
    readonly memory: WeightMemory;
    readonly reports: EngineReports;
    readonly clock: Clock;
    readonly stalls: Pick<StallMonitor, "measureSince">;
    readonly logger: Logger;
    readonly options: {
        /** Longest time for which an engine drains, so that its requests in progress finish, before it loads. */
        readonly drainBeforeLoad: Milliseconds;
        /** Age of the verification of the staged chunks above which they are verified again. */
        readonly maximumStagedAge: Milliseconds;
    };
}

/** Brings an engine to the point at which it may be ordered to load. */
export interface LoadPreparation {
    /**
     * Verifies the staged chunks and drains the engine. Chunks can become corrupt, and the engine can restart without
     * them, while this process waits or stands still; they are then verified again.
     *
     * @param manifest - set to load
     * @param drainingSince - time since which the engine drains; undefined if it does not
     * @param onDrain - called when the chunks are verified and the drain begins
     * @returns the prepared engine; undefined if it cannot load
     */
    prepare(
        manifest: Manifest,
        drainingSince: Milliseconds | undefined,
        onDrain: () => void,
    ): Promise<PreparedLoad | undefined>;
    /** Whether an order may still follow the verification, or was accepted soon enough after it. */
    readonly isRecent: (verified: StagedVerification) => boolean;
}

/**
 * Creates the preparation of load orders.
 *
 * @param input - engine, memory and options
 * @returns the preparation
 */
export function createLoadPreparation(input: LoadPreparationInput): LoadPreparation {
    const { clock, logger, memory, options, reports, stalls, writes } = input;

    async function verifyStaged(manifest: Manifest): Promise<StagedVerification | undefined> {
        const startedAt = clock.monotonic();
        const engineStart = reports.newest()?.startedAt;
        const version = Number(manifest.version);
        const set = formatWeightName(manifest.model, version);
        const staged = await stageWeights(writes.engine, manifest, index => memory.read(set, index));
        if (staged.isErr) {
            const { code, message, peer, step } = staged.error;
            logger.warn({ code, step, peer, detail: message, model: manifest.model, version }, "weights not staged");
            return undefined;
        }
        return { ...staged.value, startedAt, engineStart };
    }

    function isRecent({ startedAt }: StagedVerification): boolean {
        return stalls.measureSince(startedAt) <= options.maximumStagedAge && !writes.isWriting();
    }

    /**
     * Waits for a bounded time until the requests in progress have finished. Gateways know that the engine is about to
     * load and send no new requests; the few longest streams are cut off and continue at other backend servers.
     *
     * @returns number of requests that have not finished
     */
    async function drain(endsAt: Milliseconds): Promise<number> {
        for (;;) {
            await reports.read();
            const report = reports.newest();
            const unfinished = report === undefined ? 0 : report.running + report.queued;
            if (unfinished === 0 || clock.monotonic() >= endsAt) {
                return unfinished;
            }
            await sleep(drainCheckInterval);
        }
    }

    return {
        isRecent,
        prepare: async (manifest, drainingSince, onDrain) => {
            const { model } = manifest;
            const version = Number(manifest.version);
            if (writes.mayHideEachOther(version)) {
                logger.info({ model, version }, "load waits for late chunk writes");
                return undefined;
            }
            let drainsUntil: Milliseconds | undefined;
            for (let verifications = 1; verifications <= maximumVerifications; verifications++) {
                const verified = await verifyStaged(manifest);
                if (verified === undefined) {
                    return undefined;
                }
                onDrain();
                const drainStartedAt = clock.monotonic();
                logger.info(
                    { model, version, waitedMilliseconds: Math.round(drainStartedAt - verified.startedAt) },
                    "staged chunks verified",
                );
                drainsUntil ??= (drainingSince ?? drainStartedAt) + options.drainBeforeLoad;
                const running = await drain(drainsUntil);
                const waitedMilliseconds = Math.round(clock.monotonic() - (drainingSince ?? drainStartedAt));
                logger.info({ model, version, running, waitedMilliseconds }, "engine drained");
                const report = reports.newest();
                if (report === undefined) {
                    return undefined;
                }
                if (isRecent(verified) && report.startedAt === verified.engineStart) {
                    return { verified, report, running };
                }
                const age = Math.round(stalls.measureSince(verified.startedAt));
                logger.warn(
                    { model, version, ageMilliseconds: age, verifications },
                    "staged chunks verified too long ago",
                );
            }
            return undefined;
        },
    };
}
