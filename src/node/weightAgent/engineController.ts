import type { Logger } from "pino";
import { formatWeightName } from "../../runtime/gateway/index.js";
import {
    planLoad,
    type RolloutOptions,
    type VersionTransfer,
    type WantedVersion,
} from "../../runtime/rollout/index.js";
import type { Clock, CopyPhase, EngineReport, Manifest, Milliseconds } from "../../types/index.js";
import { sleep } from "../../utils/index.js";
import type { StallMonitor } from "../replica/index.js";
import { createEngineReports } from "./engineReports.js";
import { createLoadedVerification, type OrderedVersion } from "./loadedVerification.js";
import type { EngineStatus } from "./loadFeed.js";
import type { FindChunkVersion, StagedWrites } from "./stagedWrites.js";
import { stageWeights, type StagingSummary } from "./stageWeights.js";
import { createUnresolvedOrderTracker } from "./unresolvedOrder.js";
import type { WeightMemory } from "./weightMemory.js";

/** Versions that the engine should load, and the weights that are available for them. */
export interface EngineTarget {
    readonly model: string;
    /** Declared versions, newest first; at least one. */
    readonly wanted: readonly WantedVersion[];
    /** Manifest of the newest version with every chunk verified and in memory; undefined if there is none. */
    readonly complete: Manifest | undefined;
    /** Monotonic time at which its last chunk was verified. */
    readonly completedAt: Milliseconds | undefined;
    /** Transfer of a newer version; undefined if there is none. */
    readonly transfer: VersionTransfer | undefined;
    /** Hosts of the backend servers that serve the service. */
    readonly members: readonly string[];
    /** Requests that the engine runs at the same time. */
    readonly slots: number;
}

/** Interval between reads of the requests in progress while the engine drains. */
const drainCheckInterval: Milliseconds = 60;

/** Number of times that the staged chunks are verified for one load order, since an earlier verification is too old. */
const maximumVerifications = 4;

/** Options of {@link createEngineController}. */
export interface EngineControllerOptions extends RolloutOptions {
    /** Age of the verification of the staged chunks above which they are verified again before the load is ordered. */
    readonly maximumStagedAge: Milliseconds;
}

/** Verification of the staged chunks, from the first one to the last one. */
interface StagedVerification extends StagingSummary {
    /** Monotonic time at which it began. */
    readonly startedAt: Milliseconds;
    /** Start of the engine that holds the chunks, as the last report before the verification states it. */
    readonly engineStart: number | undefined;
}

/** Dependencies of {@link createEngineController}. */
export interface EngineControllerInput {
    /** Engine on the same instance; every write to its staging area goes through here. */
    readonly writes: StagedWrites;
    readonly memory: WeightMemory;
    /** Host of the engine, as it appears in the members of the target. */
    readonly self: string;
    readonly clock: Clock;
    readonly stalls: Pick<StallMonitor, "measureSince">;
    readonly logger: Logger;
    readonly options: EngineControllerOptions;
    /** Called around a drain and a load order, so that gateways send nothing to an engine that is about to load. */
    readonly publish: (status: EngineStatus) => void;
    readonly readTarget: () => EngineTarget | undefined;
    /** Reads the manifest of a version; undefined if it is not known. */
    readonly readManifest: (model: string, version: number) => Manifest | undefined;
    readonly findVersion: FindChunkVersion;
}

/** Reads the engine's report and orders the engine to load versions, one order at a time. */
export interface EngineController {
    /** Reads the report and starts a drain or a load if one is due; does not wait for the load to end. */
    run(): Promise<EngineStatus>;
    readonly readReport: () => EngineReport | undefined;
    /** True while the engine loads, or drains right before a load. */
    readonly isLoading: () => boolean;
    /** True from a drain that begins before the last chunks have arrived until it times out or the load is ordered. */
    readonly isDraining: () => boolean;
}

/**
 * Creates the controller of the engine on the agent's instance.
 *
 * @param input - engine, memory and target
 * @returns the controller
 */
export function createEngineController(input: EngineControllerInput): EngineController {
    const { clock, logger, memory, options, stalls, writes } = input;
    const { engine } = writes;
    const reports = createEngineReports({ engine, clock, logger, onReport: observe });
    const unresolvedOrder = createUnresolvedOrderTracker(clock, logger);
    const verification = createLoadedVerification(input);
    /** Time of the last order, while no report has shown its effect. */
    let orderedAt: Milliseconds | undefined;
    let lastOrder: OrderedVersion | undefined;
    let lastReason = "";
    let isCarryingOutLoad = false;
    /** True from the drain right before a load until a later report shows what the engine does. */
    let loading = false;
    let drainingSince: Milliseconds | undefined;
    /** Version whose last chunks did not arrive during its drain; the engine does not drain early for it again. */
    let timedOutDrainVersion = 0;

    function observe(report: EngineReport, requestedAt: Milliseconds): void {
        const { weights } = report;
        const isInEffect = weights?.complete === true && weights.version >= (lastOrder?.version ?? 0);
        if (report.startedAt !== lastOrder?.engineStart || isInEffect) {
            orderedAt = undefined;
        }
        unresolvedOrder.observe(report);
        verification.observe(report, requestedAt, lastOrder);
    }

    async function read(): Promise<void> {
        const wasLoading = loading;
        await reports.read();
        if (wasLoading && !isCarryingOutLoad) {
            loading = false;
        }
        const weights = reports.newest()?.weights;
        memory.setActive(weights?.complete === true ? formatWeightName(weights.model, weights.version) : undefined);
    }

    async function verifyStaged(manifest: Manifest, version: number): Promise<StagedVerification | undefined> {
        const startedAt = clock.monotonic();
        const engineStart = reports.newest()?.startedAt;
        const set = formatWeightName(manifest.model, version);
        const staged = await stageWeights(engine, manifest, index => memory.read(set, index));
        if (staged.isErr) {
            const { code, message, peer, step } = staged.error;
            logger.warn({ code, step, peer, detail: message, model: manifest.model, version }, "weights not staged");
            return undefined;
        }
        return { ...staged.value, startedAt, engineStart };
    }

    function isRecent({ startedAt }: StagedVerification): boolean {
        return stalls.measureSince(startedAt) <= options.maximumStagedAge;
    }

    /**
     * Verifies the staged chunks and drains the engine. Chunks can become corrupt, and the engine can restart without
     * them, while this process waits or stands still; they are then verified again.
     *
     * @returns the verification, and the number of requests that have not finished; undefined if the engine cannot load
     */
    async function prepareLoad(
        manifest: Manifest,
        version: number,
    ): Promise<{ readonly verified: StagedVerification; readonly running: number; } | undefined> {
        let drainsUntil: Milliseconds | undefined;
        for (let verifications = 1; verifications <= maximumVerifications; verifications++) {
            const verified = await verifyStaged(manifest, version);
            if (verified === undefined) {
                return undefined;
            }
            loading = true;
            input.publish(describe());
            drainsUntil ??= (drainingSince ?? clock.monotonic()) + options.drainBeforeLoad;
            const running = await drain(drainsUntil);
            const report = reports.newest();
            if (report === undefined) {
                return undefined;
            }
            if (isRecent(verified) && report.startedAt === verified.engineStart) {
                return { verified, running };
            }
            const { model } = manifest;
            const age = Math.round(stalls.measureSince(verified.startedAt));
            logger.warn({ model, version, ageMilliseconds: age, verifications }, "staged chunks verified too long ago");
        }
        return undefined;
    }

    async function load(target: EngineTarget, version: number, reason: string): Promise<void> {
        const { complete: manifest, model } = target;
        if (manifest === undefined) {
            return;
        }
        const startedAt = clock.monotonic();
        const prepared = await prepareLoad(manifest, version);
        const report = reports.newest();
        if (prepared === undefined || report === undefined) {
            loading = false;
            return;
        }
        const { running, verified } = prepared;
        const order = { model, version, engineStart: report.startedAt, expectedSequence: report.orderSequence };
        lastOrder = order;
        const sentAt = clock.monotonic();
        const ordered = await engine.load({
            model,
            version,
            expectedSequence: order.expectedSequence,
            running: running === 0 ? "finish" : "cut-off",
            mayWrite: () => isRecent(verified),
        });
        loading = ordered.isOk && ordered.value === "begun";
        input.publish(describe());
        const now = clock.monotonic();
        const fields = {
            model,
            version,
            reason,
            written: verified.written,
            rounds: verified.rounds,
            stagingMilliseconds: Math.round(now - startedAt),
            orderSequence: report.orderSequence,
            running,
            sinceDeclared: Math.round(now - (target.wanted[0]?.declaredAt ?? now)),
        };
        if (ordered.isErr) {
            const { code, message, peer, step } = ordered.error;
            if (ordered.error.mayHaveTakenEffect) {
                unresolvedOrder.record({ ...order, sentAt }, ordered.error);
            }
            // A later report shows whether the engine accepted the order.
            orderedAt = ordered.error.mayHaveTakenEffect ? now : undefined;
            logger.warn({ ...fields, code, step, peer, detail: message }, "load order failed");
            return;
        }
        orderedAt = ordered.value === "refused" ? undefined : now;
        logger.info({ ...fields, outcome: ordered.value }, "load ordered");
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

    async function decideAndAct(): Promise<void> {
        const target = input.readTarget();
        const report = reports.newest();
        if (isCarryingOutLoad) {
            return;
        }
        if (target === undefined || report === undefined) {
            drainingSince = undefined;
            return;
        }
        const { transfer } = target;
        const decision = planLoad({
            report,
            model: target.model,
            wanted: target.wanted,
            target: target.complete === undefined ? undefined : Number(target.complete.version),
            completedAt: target.completedAt,
            transfer: transfer === undefined || transfer.version <= timedOutDrainVersion ? undefined : transfer,
            drainingSince,
            self: input.self,
            members: target.members,
            orderedAt,
            now: clock.monotonic(),
            options,
        });
        if (decision.kind === "drain") {
            if (drainingSince === undefined) {
                drainingSince = clock.monotonic();
                logger.info(
                    {
                        version: decision.version,
                        reason: decision.reason,
                        share: transfer?.share,
                        running: report.running,
                    },
                    "drains before the last chunks",
                );
                input.publish(describe());
            }
            return;
        }
        if (decision.kind === "wait") {
            if (drainingSince !== undefined) {
                timedOutDrainVersion = transfer?.version ?? timedOutDrainVersion;
                drainingSince = undefined;
                input.publish(describe());
            }
            if (decision.reason !== lastReason) {
                lastReason = decision.reason;
                logger.info({ reason: decision.reason, version: target.wanted[0]?.version }, "load waits");
            }
            return;
        }
        lastReason = "";
        isCarryingOutLoad = true;
        try {
            await load(target, decision.version, decision.reason);
        }
        finally {
            isCarryingOutLoad = false;
            drainingSince = undefined;
        }
    }

    function readPhase(): CopyPhase {
        const report = reports.newest();
        if (report === undefined) {
            return "lapsed";
        }
        if (report.weights?.complete !== true) {
            return "staging";
        }
        // An engine that carries out an order accepts no new requests.
        return report.busy || loading || drainingSince !== undefined ? "activating" : "serving";
    }

    function describe(): EngineStatus {
        return { report: reports.newest(), phase: readPhase(), slots: input.readTarget()?.slots ?? 0 };
    }

    return {
        readReport: reports.newest,
        isLoading: () => loading || reports.newest()?.busy === true,
        isDraining: () => drainingSince !== undefined,
        run: async () => {
            await read();
            // Runs synchronously up to its first await, so that the returned status includes a drain that begins now.
            void decideAndAct();
            return describe();
        },
    };
}
