import type { Logger } from "pino";
import type { Clock, EngineReport, Manifest, Milliseconds } from "../../types/index.js";
import { countDifferences, readBackStaged } from "./readBackStaged.js";
import type { FindChunkVersion, StagedWrites } from "./stagedWrites.js";

/** Dependencies of {@link createLoadedVerification}. */
export interface LoadedVerificationInput {
    readonly writes: StagedWrites;
    readonly clock: Clock;
    readonly logger: Logger;
    /** Reads the manifest of a version; undefined if it is not known. */
    readonly readManifest: (model: string, version: number) => Manifest | undefined;
    readonly findVersion: FindChunkVersion;
}

/** Load that the engine has accepted, identified by the start of the engine and its order sequence. */
interface AcceptedLoad {
    readonly engineStart: number | undefined;
    readonly orderSequence: number;
    /** Monotonic time before which it was not accepted; undefined if it was accepted before the first report. */
    readonly acceptedAfter: Milliseconds | undefined;
}

/** Verification of what the engine has loaded. */
export interface LoadedVerification {
    /**
     * Starts to read back the staged chunks if the report shows that the engine has accepted a load.
     *
     * @param report - newest report
     * @param requestedAt - monotonic time at which it was requested
     * @param orderedVersion - version of the order that this process gave last, if the report shows its effect
     */
    observe(report: EngineReport, requestedAt: Milliseconds, ordered: OrderedVersion | undefined): void;
}

/** Order that this process gave. */
export interface OrderedVersion {
    readonly model: string;
    readonly version: number;
    readonly engineStart: number | undefined;
    readonly expectedSequence: number;
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
    let lastRequestedAt: Milliseconds | undefined;
    let checkedVersion: number | undefined;
    let isChecking = false;

    async function check(accepted: AcceptedLoad, manifest: Manifest, version: number): Promise<void> {
        const startedAt = clock.monotonic();
        const { model } = manifest;
        const differences = await readBackStaged(writes.engine, manifest, findVersion);
        if (differences.isErr || load !== accepted) {
            return;
        }
        checkedVersion = version;
        const wasWritten = writes.readLastWriteAt() > (accepted.acceptedAfter ?? -Infinity);
        const fields = {
            model,
            version,
            orderSequence: accepted.orderSequence,
            wasWritten,
            durationMilliseconds: Math.round(clock.monotonic() - startedAt),
        };
        if (countDifferences(differences.value) === 0 && !wasWritten) {
            logger.info(fields, "loaded weights verified");
            return;
        }
        logger.warn(
            {
                ...fields,
                ...differences.value,
                unresolvedWrites: writes.listUnresolved(),
                sinceFirstReport: accepted.acceptedAfter === undefined,
            },
            "staged chunks differ after the load was accepted",
        );
    }

    /** Finds the version of the load: the engine reports it at the end, and the order states it before. */
    function findLoadedVersion(report: EngineReport, ordered: OrderedVersion | undefined): Manifest | undefined {
        const { weights } = report;
        if (weights?.complete === true && !report.busy) {
            return readManifest(weights.model, weights.version);
        }
        const isOwn = ordered !== undefined && ordered.engineStart === report.startedAt &&
            ordered.expectedSequence + 1 === report.orderSequence;
        return isOwn ? readManifest(ordered.model, ordered.version) : undefined;
    }

    return {
        observe: (report, requestedAt, ordered) => {
            if (load?.engineStart !== report.startedAt || load?.orderSequence !== report.orderSequence) {
                if (load !== undefined && load.engineStart !== report.startedAt) {
                    writes.reset();
                }
                load = {
                    engineStart: report.startedAt,
                    orderSequence: report.orderSequence,
                    acceptedAfter: lastRequestedAt,
                };
                checkedVersion = undefined;
            }
            lastRequestedAt = requestedAt;
            // An engine holds the weights of its installation until it accepts its first order.
            if (isChecking || report.orderSequence === 0) {
                return;
            }
            const manifest = findLoadedVersion(report, ordered);
            const version = Number(manifest?.version);
            if (manifest === undefined || checkedVersion === version) {
                return;
            }
            isChecking = true;
            void check(load, manifest, version).finally(() => {
                isChecking = false;
            });
        },
    };
}
