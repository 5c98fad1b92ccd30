import type { Logger } from "pino";
import { judgeLoadedWeights, type LoadedWeightsState } from "../../runtime/rollout/index.js";
import type { Clock, EngineReport, Manifest, Milliseconds } from "../../types/index.js";
import type { EngineOrders, OrderedVersion } from "./engineOrders.js";
import { countDifferences, readBackStaged } from "./readBackStaged.js";
import type { FindChunkVersion, StagedWrites } from "./stagedWrites.js";

/** Dependencies of {@link createLoadedVerification}. */
export interface LoadedVerificationInput {
    readonly writes: StagedWrites;
    readonly clock: Clock;
    readonly logger: Logger;
    /** Reads the manifest of a version; undefined if it is not known. */
    readonly readManifest: (model: string, version: number) => Manifest | undefined;
    /** Starts to read the manifest of a version unless it is being read. */
    readonly requestManifest: (model: string, version: number) => void;
    readonly findVersion: FindChunkVersion;
    /** Group of the engine in a rolling load of the version, from 0; groups do not give up weights at the same time. */
    readonly readGroup: (version: number) => number;
    /** Called when the loaded weights have been verified or found to be wrong. */
    readonly onChange: () => void;
}

/** Time between two requests for the manifest of the loaded version. */
const manifestRequestInterval: Milliseconds = 1_000;

/** Time after which weights whose manifest cannot be read count as not verifiable, so that others can replace them. */
const manifestTimeLimit: Milliseconds = 5_000;

/**
 * Time without requests, for the first group of engines, after which weights that this process cannot verify count as
 * wrong: a gateway that knows from an earlier agent that they are right would send requests.
 */
const unusedTimeLimit: Milliseconds = 5_000;

/** Load that the engine has accepted, identified by the start of the engine and its order sequence. */
interface AcceptedLoad {
    readonly engineStart: number | undefined;
    readonly orderSequence: number;
    /** Whether it was accepted before the first report that this process read. */
    readonly isFromBefore: boolean;
    /** Writes at the request of the last report from before the acceptance; later ones can hide a wrong chunk. */
    readonly writeEvents: number;
}

/** Verification of what the engine has loaded. */
export interface LoadedVerification {
    /**
     * Starts to read back the staged chunks if the report shows that the engine has accepted a load.
     *
     * @param report - newest report
     * @param writeEvents - writes to the staging area when it was requested
     * @param orders - orders that this process gave
     */
    observe(report: EngineReport, writeEvents: number, orders: Pick<EngineOrders, "isOrdering" | "readLast">): void;
    /**
     * Records an acceptance that the engine has confirmed soon after all staged chunks were verified.
     *
     * @param ordered - the order
     */
    recordSoonAccepted(ordered: OrderedVersion): void;
    /** @returns what is known about the weights that the last observed report names */
    readonly readState: () => LoadedWeightsState;
    /** Whether the load was accepted before the first report that this process read. */
    readonly isFromBefore: () => boolean;
}

/**
 * Creates the verification of what the engine has loaded. An engine takes the chunks that are staged when it accepts an
 * order, which may be seconds after the order was sent, so only chunks that are read back afterwards show what it took.
 *
 * @param input - engine, manifests and log
 * @returns the verification
 */
export function createLoadedVerification(input: LoadedVerificationInput): LoadedVerification {
    const { clock, findVersion, logger, readManifest, writes } = input;
    let load: AcceptedLoad | undefined;
    let lastReport: EngineReport | undefined;
    let lastWriteEvents = 0;
    let checked: { readonly version: number; readonly state: LoadedWeightsState; } | undefined;
    let soonAccepted: OrderedVersion | undefined;
    /** Monotonic time since which the engine has had no requests; undefined while it has some. */
    let unusedSince: Milliseconds | undefined;
    let isChecking = false;
    /** Monotonic time since which the manifest of the loaded version is missing. */
    let manifestMissingSince: Milliseconds | undefined;
    let manifestRequestedAt: Milliseconds = -Infinity;

    async function check(accepted: AcceptedLoad, manifest: Manifest, version: number): Promise<void> {
        const startedAt = clock.monotonic();
        const { model } = manifest;
        const differences = await readBackStaged(writes.engine, manifest, findVersion);
        if (differences.isErr || load !== accepted) {
            return;
        }
        const { isFromBefore } = accepted;
        const wasWritten = writes.countEvents() !== accepted.writeEvents || writes.isWriting();
        const state = judgeLoadedWeights({
            differences: countDifferences(differences.value),
            wasWritten,
            mayBeWritten: writes.listUnresolved().length > 0,
            wasAcceptedSoon: soonAccepted !== undefined && soonAccepted.engineStart === accepted.engineStart &&
                soonAccepted.expectedSequence + 1 === accepted.orderSequence,
            isFromBefore,
        });
        checked = { version, state };
        const fields = {
            model,
            version,
            orderSequence: accepted.orderSequence,
            wasWritten,
            durationMilliseconds: Math.round(clock.monotonic() - startedAt),
        };
        input.onChange();
        if (state === "verified") {
            logger.info(fields, "loaded weights verified");
            return;
        }
        logger.warn(
            {
                ...fields,
                ...differences.value,
                unresolvedWrites: writes.listUnresolved(),
                isFromBefore,
            },
            "staged chunks differ after the load was accepted",
        );
    }

    /** Finds the version of the load: the engine reports it at the end, and the order states it before. */
    function findLoadedVersion(
        report: EngineReport,
        ordered: OrderedVersion | undefined,
    ): { readonly model: string; readonly version: number; } | undefined {
        const { weights } = report;
        if (weights?.complete === true && !report.busy) {
            return weights;
        }
        const isOwn = ordered !== undefined && ordered.engineStart === report.startedAt &&
            ordered.expectedSequence + 1 === report.orderSequence;
        return isOwn ? ordered : undefined;
    }

    function requireManifest(model: string, version: number): Manifest | undefined {
        const manifest = readManifest(model, version);
        if (manifest !== undefined) {
            manifestMissingSince = undefined;
            return manifest;
        }
        const now = clock.monotonic();
        manifestMissingSince ??= now;
        if (now - manifestRequestedAt >= manifestRequestInterval) {
            manifestRequestedAt = now;
            input.requestManifest(model, version);
        }
        return undefined;
    }

    function trackLoad(report: EngineReport): AcceptedLoad {
        if (
            load !== undefined && load.engineStart === report.startedAt && load.orderSequence === report.orderSequence
        ) {
            return load;
        }
        if (load !== undefined && load.engineStart !== report.startedAt) {
            writes.reset();
        }
        load = {
            engineStart: report.startedAt,
            orderSequence: report.orderSequence,
            isFromBefore: lastReport === undefined,
            writeEvents: lastWriteEvents,
        };
        checked = undefined;
        manifestMissingSince = undefined;
        return load;
    }

    function isUnused(version: number): boolean {
        const limit = unusedTimeLimit * (1 + input.readGroup(version));
        return unusedSince !== undefined && clock.monotonic() - unusedSince >= limit;
    }

    function readState(): LoadedWeightsState {
        const weights = lastReport?.weights;
        if (lastReport === undefined || weights?.complete !== true) {
            return "none";
        }
        // An engine holds the weights of its installation until it accepts its first order.
        if (lastReport.orderSequence === 0) {
            return "verified";
        }
        if (checked?.version === weights.version) {
            return checked.state === "unknown" && isUnused(weights.version) ? "wrong" : checked.state;
        }
        const isUnverifiable = manifestMissingSince !== undefined &&
            clock.monotonic() - manifestMissingSince >= manifestTimeLimit;
        if (!isUnverifiable) {
            return "unverified";
        }
        return load?.isFromBefore === true ? "unknown" : "wrong";
    }

    return {
        readState,
        recordSoonAccepted: ordered => {
            soonAccepted = ordered;
        },
        isFromBefore: () => load?.isFromBefore === true,
        observe: (report, writeEvents, orders) => {
            const accepted = trackLoad(report);
            lastReport = report;
            unusedSince = report.running + report.queued > 0 ? undefined : unusedSince ?? clock.monotonic();
            lastWriteEvents = writeEvents;
            if (isChecking || report.orderSequence === 0 || orders.isOrdering()) {
                return;
            }
            const loaded = findLoadedVersion(report, orders.readLast());
            if (loaded === undefined || checked?.version === loaded.version) {
                return;
            }
            const manifest = requireManifest(loaded.model, loaded.version);
            if (manifest === undefined) {
                return;
            }
            isChecking = true;
            void check(accepted, manifest, loaded.version).finally(() => {
                isChecking = false;
            });
        },
    };
}
