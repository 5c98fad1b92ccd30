import type { Logger } from "pino";
import { formatWeightName } from "../../runtime/gateway/index.js";
import {
    assignWave,
    planLoad,
    type RolloutOptions,
    type VersionTransfer,
    type WantedVersion,
} from "../../runtime/rollout/index.js";
import type { Clock, CopyPhase, EngineReport, Manifest, Milliseconds } from "../../types/index.js";
import type { StallMonitor } from "../replica/index.js";
import { createEngineOrders } from "./engineOrders.js";
import { createEngineReports } from "./engineReports.js";
import { createLoadedVerification } from "./loadedVerification.js";
import type { EngineStatus } from "./loadFeed.js";
import { createLoadPreparation } from "./loadPreparation.js";
import type { FindChunkVersion, StagedWrites } from "./stagedWrites.js";
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

/** Options of {@link createEngineController}. */
export interface EngineControllerOptions extends RolloutOptions {
    /** Age of the verification of the staged chunks above which they are verified again before the load is ordered. */
    readonly maximumStagedAge: Milliseconds;
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
    /** Starts to read the manifest of a version unless it is being read. */
    readonly requestManifest: (model: string, version: number) => void;
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
    /**
     * False while the engine may accept an order whose outcome is unknown, since it would load what is staged by then, and
     * until the staged chunks have been read back after a load.
     */
    readonly mayStage: () => boolean;
}

/**
 * Creates the controller of the engine on the agent's instance.
 *
 * @param input - engine, memory and target
 * @returns the controller
 */
export function createEngineController(input: EngineControllerInput): EngineController {
    const { clock, logger, memory, options, writes } = input;
    const reports = createEngineReports({ writes, logger, onReport: observe });
    const preparation = createLoadPreparation({ ...input, reports });
    const orders = createEngineOrders({ ...input, repeatAfter: options.repeatAfter });
    const verification = createLoadedVerification({ ...input, readGroup, onChange: actOnVerification });
    let lastReason = "";
    let isCarryingOutLoad = false;
    /** Order whose end has not been seen. */
    let awaitedLoad: { readonly version: number; readonly orderedAt: Milliseconds; } | undefined;
    /** True from the drain right before a load until a later report shows what the engine does. */
    let loading = false;
    let drainingSince: Milliseconds | undefined;
    /** Version whose last chunks did not arrive during its drain; the engine does not drain early for it again. */
    let timedOutDrainVersion = 0;

    function logLoaded({ busy, orderSequence, weights }: EngineReport): void {
        if (awaitedLoad === undefined || busy || weights?.complete !== true || weights.version < awaitedLoad.version) {
            return;
        }
        const now = clock.monotonic();
        const { model, version } = weights;
        const declaredAt = input.readTarget()?.wanted.find(wanted => wanted.version === version)?.declaredAt;
        logger.info({
            model,
            version,
            orderSequence,
            waitedMilliseconds: Math.round(now - awaitedLoad.orderedAt),
            sinceNamed: declaredAt === undefined ? undefined : Math.round(now - declaredAt),
        }, "version loaded");
        awaitedLoad = undefined;
    }

    function observe(report: EngineReport, writeEvents: number): void {
        logLoaded(report);
        orders.observe(report);
        verification.observe(report, writeEvents, orders);
    }

    function readGroup(version: number): number {
        return assignWave(input.readTarget()?.members ?? [], input.self, version, options.waves);
    }

    function actOnVerification(): void {
        input.publish(describe());
        void decideAndAct();
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

    async function load(target: EngineTarget, version: number, reason: string): Promise<void> {
        const { complete: manifest, model } = target;
        if (manifest === undefined) {
            return;
        }
        const startedAt = clock.monotonic();
        const prepared = await preparation.prepare(manifest, drainingSince, () => {
            loading = true;
            input.publish(describe());
        });
        if (prepared === undefined) {
            loading = false;
            return;
        }
        const { report, running, verified } = prepared;
        const ordered = await orders.load(report, {
            model,
            version,
            running: running === 0 ? "finish" : "cut-off",
            mayWrite: () => preparation.isRecent(verified),
        });
        loading = ordered.isOk && ordered.value === "begun";
        const last = orders.readLast();
        if (loading && last !== undefined && preparation.isRecent(verified)) {
            verification.recordSoonAccepted(last);
        }
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
            logger.warn({ ...fields, code, step, peer, detail: message }, "load order failed");
            return;
        }
        logger.info({ ...fields, outcome: ordered.value }, "load ordered");
        awaitedLoad = ordered.value === "begun" ? { version, orderedAt: now } : awaitedLoad;
    }

    async function unload(report: EngineReport, reason: string): Promise<void> {
        loading = true;
        input.publish(describe());
        const ordered = await orders.unload(report, reason);
        loading = ordered?.isOk === true && ordered.value === "begun";
    }

    function mayStage(): boolean {
        return !orders.isOrdering() && orders.readUnresolved() === undefined &&
            verification.readState() !== "unverified";
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
        if (orders.readUnresolved() !== undefined) {
            drainingSince = undefined;
            await carryOut(async () => {
                loading = await orders.repeatUnresolved(report) === "begun";
            });
            return;
        }
        const loadedState = verification.readState();
        if (loadedState === "unverified") {
            return;
        }
        const { transfer } = target;
        const decision = planLoad({
            report,
            loadedState,
            model: target.model,
            wanted: target.wanted,
            target: target.complete === undefined ? undefined : Number(target.complete.version),
            completedAt: target.completedAt,
            transfer: transfer === undefined || transfer.version <= timedOutDrainVersion ? undefined : transfer,
            drainingSince,
            self: input.self,
            members: target.members,
            orderedAt: orders.readOrderedAt(),
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
        await carryOut(() =>
            decision.kind === "unload" ?
                unload(report, decision.reason) :
                load(target, decision.version, decision.reason)
        );
        drainingSince = undefined;
    }

    async function carryOut(action: () => Promise<void>): Promise<void> {
        isCarryingOutLoad = true;
        try {
            await action();
        }
        finally {
            isCarryingOutLoad = false;
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
        const isAboutToLoad = loading || drainingSince !== undefined || orders.readUnresolved() !== undefined;
        const state = verification.readState();
        // Gateways may know from an earlier agent that weights which this one cannot verify are right.
        const isUnusable = state === "wrong" || (state === "unverified" && !verification.isFromBefore());
        return report.busy || isAboutToLoad || isUnusable ? "activating" : "serving";
    }

    function describe(): EngineStatus {
        return {
            report: reports.newest(),
            phase: readPhase(),
            weightsVerified: verification.readState() === "verified",
            slots: input.readTarget()?.slots ?? 0,
        };
    }

    return {
        readReport: reports.newest,
        isLoading: () => loading || isCarryingOutLoad || reports.newest()?.busy === true,
        isDraining: () => drainingSince !== undefined,
        mayStage,
        run: async () => {
            await read();
            // Runs synchronously up to its first await, so that the returned status includes a drain that begins now.
            void decideAndAct();
            return describe();
        },
    };
}
