import type { Logger } from "pino";
import { nameWeights } from "../../runtime/gateway/index.js";
import {
    planLoad,
    type RolloutOptions,
    type VersionTransfer,
    type WantedVersion,
} from "../../runtime/rollout/index.js";
import type { Clock, CopyPhase, EngineControlPort, EngineReport, Manifest, Milliseconds } from "../../types/index.js";
import { sleep } from "../../utils/index.js";
import type { EngineStatus } from "./loadFeed.js";
import { stageWeights } from "./stageWeights.js";
import type { WeightMemory } from "./weightMemory.js";

/** What the agent wants its engine to hold. */
export interface EngineTarget {
    readonly model: string;
    /** Declared versions, newest first; at least one. */
    readonly wanted: readonly WantedVersion[];
    /** Manifest of the newest version of which every chunk is held; undefined if there is none. */
    readonly complete: Manifest | undefined;
    /** Monotonic time at which its last chunk was verified. */
    readonly completedAt: Milliseconds | undefined;
    /** Transfer of a newer version; undefined if there is none. */
    readonly transfer: VersionTransfer | undefined;
    /** Backend servers of the service that serve. */
    readonly members: readonly string[];
    readonly slots: number;
}

/** Interval at which a draining engine is asked for its requests in progress. */
const drainCheckInterval: Milliseconds = 60;

/** Dependencies of {@link createEngineLoop}. */
export interface EngineLoopInput {
    readonly engine: EngineControlPort;
    readonly memory: WeightMemory;
    readonly self: string;
    readonly clock: Clock;
    readonly logger: Logger;
    readonly options: RolloutOptions;
    /** Called before and after an order, so that gateways send nothing to an engine that is about to load. */
    readonly publish: (status: EngineStatus) => void;
    readonly readTarget: () => EngineTarget | undefined;
}

/** Reads the engine's report and gives it orders, one at a time. */
export interface EngineLoop {
    /** Reads the report and does what is due. */
    run(): Promise<EngineStatus>;
    readonly readReport: () => EngineReport | undefined;
    /** True while the engine loads or is about to. */
    readonly isLoading: () => boolean;
    /** True while requests in progress finish before the last chunks have arrived. */
    readonly isDraining: () => boolean;
}

/**
 * Creates the control of the engine beside an agent.
 *
 * @param input - engine, memory and target
 * @returns the control
 */
export function createEngineLoop(input: EngineLoopInput): EngineLoop {
    const { clock, engine, logger, memory } = input;
    let report: EngineReport | undefined;
    /** Time of the last order that has had no effect yet. */
    let orderedAt: Milliseconds | undefined;
    let orderedVersion = 0;
    let orderedStart: number | undefined;
    let wasReachable: boolean | undefined;
    let lastReason = "";
    let working = false;
    /** True from the decision to load until a later report shows what the engine does. */
    let loading = false;
    let drainingSince: Milliseconds | undefined;
    /** Version that did not arrive in time after requests were let finish for it. */
    let drainedInVain = 0;

    async function read(): Promise<void> {
        const wasLoading = loading;
        const answer = await engine.readReport();
        if (wasLoading && !working) {
            loading = false;
        }
        if (answer.isOk !== wasReachable) {
            wasReachable = answer.isOk;
            if (answer.isErr) {
                const { code, message, peer, step } = answer.error;
                logger.warn({ code, step, peer, detail: message }, "engine not reachable");
            }
            else {
                logger.info({ ...answer.value }, "engine reachable");
            }
        }
        report = answer.unwrapOr(undefined as never);
        if (report !== undefined && report.startedAt !== orderedStart) {
            // An order to an earlier start of the engine has no effect on this one.
            orderedStart = report.startedAt;
            orderedAt = undefined;
        }
        const weights = report?.weights;
        if (weights?.complete === true && weights.version >= orderedVersion) {
            orderedAt = undefined;
        }
        memory.setActive(weights?.complete === true ? nameWeights(weights.model, weights.version) : undefined);
    }

    async function load(target: EngineTarget, version: number, reason: string): Promise<void> {
        const { complete: manifest, model } = target;
        if (manifest === undefined || report === undefined) {
            return;
        }
        const begunAt = clock.monotonic();
        const set = nameWeights(model, version);
        const staged = await stageWeights(engine, manifest, index => memory.read(set, index));
        if (staged.isErr) {
            const { code, message, peer, step } = staged.error;
            logger.warn({ code, step, peer, detail: message, model, version }, "weights not staged");
            return;
        }
        loading = true;
        input.publish(describe());
        const running = await drain();
        if (report === undefined) {
            loading = false;
            return;
        }
        const ordered = await engine.load(
            model,
            version,
            report.orderSequence,
            running === 0 ? "finish" : "cut-off",
        );
        orderedVersion = version;
        loading = ordered.isOk && ordered.value === "begun";
        input.publish(describe());
        const now = clock.monotonic();
        const fields = {
            model,
            version,
            reason,
            ...staged.value,
            stagingMilliseconds: Math.round(now - begunAt),
            orderSequence: report.orderSequence,
            running,
            sinceDeclared: Math.round(now - (target.wanted[0]?.declaredAt ?? now)),
        };
        if (ordered.isErr) {
            const { code, message, peer, step } = ordered.error;
            // The next report shows whether the engine took the order.
            orderedAt = ordered.error.mayHaveTakenEffect ? now : undefined;
            logger.warn({ ...fields, code, step, peer, detail: message }, "load order failed");
            return;
        }
        orderedAt = ordered.value === "refused" ? undefined : now;
        logger.info({ ...fields, outcome: ordered.value }, "load ordered");
    }

    /**
     * Waits until the requests in progress have finished, for a bounded time. Gateways have learned that the engine is
     * about to load and send nothing new; the few longest streams are cut off and go on at other backend servers.
     */
    async function drain(): Promise<number> {
        const endsAt = (drainingSince ?? clock.monotonic()) + input.options.drainBeforeLoad;
        for (;;) {
            const answer = await engine.readReport();
            report = answer.unwrapOr(undefined as never);
            const open = report === undefined ? 0 : report.running + report.queued;
            if (open === 0 || clock.monotonic() >= endsAt) {
                return open;
            }
            await sleep(drainCheckInterval);
        }
    }

    async function act(): Promise<void> {
        const target = input.readTarget();
        if (working) {
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
            transfer: transfer === undefined || transfer.version <= drainedInVain ? undefined : transfer,
            drainingSince,
            self: input.self,
            members: target.members,
            orderedAt,
            now: clock.monotonic(),
            options: input.options,
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
                drainedInVain = transfer?.version ?? drainedInVain;
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
        working = true;
        try {
            await load(target, decision.version, decision.reason);
        }
        finally {
            working = false;
            drainingSince = undefined;
        }
    }

    function readPhase(): CopyPhase {
        if (report === undefined) {
            return "lapsed";
        }
        if (report.weights?.complete !== true) {
            return "staging";
        }
        // An engine that carries out an order accepts nothing new.
        return report.busy || loading || drainingSince !== undefined ? "activating" : "serving";
    }

    function describe(): EngineStatus {
        return { report, phase: readPhase(), slots: input.readTarget()?.slots ?? 0 };
    }

    return {
        readReport: () => report,
        isLoading: () => loading || report?.busy === true,
        isDraining: () => drainingSince !== undefined,
        run: async () => {
            await read();
            // A drain that begins now must be part of the status.
            void act();
            return describe();
        },
    };
}
