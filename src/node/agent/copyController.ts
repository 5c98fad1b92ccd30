import { create } from "@bufbuild/protobuf";
import { type CopyStatus, CopyStatusSchema } from "../../generated/goldcrestpoint_pb.js";
import type { ActivationDecision } from "../../runtime/activation/index.js";
import type { HoldDecision } from "../../runtime/hold/index.js";
import type { CopyPhase, InstanceId, ManifestDigest } from "../../types/index.js";
import { type AssignedCopy, findAssignment, type InstanceAssignment } from "./assignment.js";
import type { AgentContext } from "./context.js";
import type { ServingState } from "./executor.js";
import type { HoldEvaluator } from "./holdEvaluator.js";
import { type ActiveSet, createOrderController, type OrderInput } from "./orderController.js";
import type { TransferService, TransferTarget } from "./transfer/index.js";

/** Brings the copy on this instance into the state that the placement requires. */
export interface CopyController {
    /** Reads the placement again; called after each change of the state or the instance list. */
    refreshAssignment(): void;
    /** Evaluates the hold and gives the engine its next order. */
    tick(): Promise<void>;
    /** Stops accepting requests permanently. */
    startDraining(): void;
    readServing(): ServingState;
    /** Reads the status of each assigned copy, for heartbeats. */
    readStatuses(): CopyStatus[];
    /** Reads the status of the copy that is served, for load reports; empty if none is. */
    readServedStatuses(): CopyStatus[];
    /** Lists the entry instances that may confirm the hold on the copy. */
    listWitnesses(): readonly InstanceId[];
    readonly draining: boolean;
    readonly phase: CopyPhase;
}

/** Options of {@link createCopyController}. */
export interface CopyControllerOptions {
    readonly context: AgentContext;
    readonly hold: HoldEvaluator;
    readonly transfer: TransferService;
    readonly readRunning: () => number;
    /** Called when a change affects routing. */
    readonly onServingChange: () => void;
}

/**
 * Creates the controller of the copy on this instance.
 *
 * @param options - context, hold and transfer service
 * @returns the controller
 */
export function createCopyController(options: CopyControllerOptions): CopyController {
    const { context, hold, transfer } = options;
    const { clock, decisions, instances, self, settings, store } = context;
    let assignment: InstanceAssignment = { current: undefined, conflicting: [] };
    let holdDecision: HoldDecision = { held: false, reason: "lapsed", validUntil: Number.NEGATIVE_INFINITY };
    // Sets that were assigned to this process for the deployment of the current copy.
    let assignedSets = { deployment: "", digests: new Set<ManifestDigest>() };
    let isDraining = false;
    let lastNotifiedState = "";
    let lastRecordedReason = "";

    const orders = createOrderController({
        backend: context.backend,
        clock,
        logger: context.logger,
        startedAt: context.startedAt,
        orderTimeLimit: settings.backendServer.orderTimeLimit,
        stateInterval: settings.backendServer.stateInterval,
        onDecision: recordDecision,
    });

    function recordDecision(decision: ActivationDecision): void {
        const reason = `${decision.phase}: ${decision.reason}`;
        if (decision.order === undefined && reason === lastRecordedReason) {
            return;
        }
        lastRecordedReason = reason;
        decisions.record({
            kind: "activation",
            outcome: "chosen",
            deployment: assignment.current?.deployment ?? "",
            choice: decision.order?.kind ?? decision.phase,
            reason: decision.reason,
            candidates: 0,
            details: { phase: decision.phase, epoch: assignment.current?.copy.epoch },
        });
    }

    function isPlainService(): boolean {
        return settings.backendServer.kind === "service";
    }

    function refreshAssignment(): void {
        assignment = findAssignment(store.state, self);
        recordAssignedSet();
        transfer.setTarget(createTransferTarget(context, assignment.current));
    }

    function recordAssignedSet(): void {
        const { current } = assignment;
        if (current === undefined) {
            return;
        }
        if (assignedSets.deployment !== current.deployment) {
            assignedSets = { deployment: current.deployment, digests: new Set() };
        }
        if (current.copy.weights !== undefined) {
            assignedSets.digests.add(current.copy.weights.manifestDigest);
        }
    }

    function evaluateHold(): void {
        const decision = hold.evaluate(assignment.current?.copy);
        if (decision.held !== holdDecision.held) {
            decisions.record({
                kind: "hold",
                outcome: decision.held ? "chosen" : "refused",
                deployment: assignment.current?.deployment ?? "",
                choice: decision.held ? "keep" : "give up",
                reason: decision.reason,
                candidates: 0,
            });
        }
        holdDecision = decision;
    }

    function readOrderInput(): OrderInput {
        evaluateHold();
        const progress = transfer.progress();
        const copy = assignment.current?.copy;
        return {
            assignment: copy,
            held: holdDecision.held,
            setComplete: progress?.complete === true && progress.manifestDigest === copy?.weights?.manifestDigest,
            chunksTotal: progress?.chunksTotal ?? 0,
            requestsInProgress: options.readRunning(),
            belongsToDeployment,
            newestEpoch: readNewestEpoch(context),
        };
    }

    /**
     * Reads the engine's active set if it belongs to the deployment. If the copy was replaced while this process was
     * paused, the engine may still have the set of the previous deployment active. A process that has just started
     * knows no earlier sets of the deployment and accepts those of the same model and adapter.
     */
    function readServedSet(): ManifestDigest | undefined {
        const active = orders.engine?.active;
        return active !== undefined && belongsToDeployment(active) ? active.manifestDigest : undefined;
    }

    function belongsToDeployment(active: ActiveSet): boolean {
        const weights = assignment.current?.copy.weights;
        if (weights === undefined) {
            return false;
        }
        const isSameModel = active.model === weights.model && active.adapter === weights.adapter;
        return isSameModel || assignedSets.digests.has(active.manifestDigest);
    }

    function isServing(): boolean {
        const { current } = assignment;
        if (current === undefined || current.copy.state !== "assigned" || !holdDecision.held || !orders.reachable) {
            return false;
        }
        return isPlainService() ? orders.phase === "serving" : readServedSet() !== undefined;
    }

    function readServing(): ServingState {
        return {
            deployment: assignment.current?.deployment,
            serving: isServing(),
            manifestDigest: isPlainService() ? undefined : readServedSet(),
            holdValidUntil: holdDecision.validUntil,
            draining: readDraining(),
            incarnation: orders.engine?.incarnation,
        };
    }

    function readDraining(): boolean {
        return isDraining || instances.get(self)?.state === "leaving";
    }

    function notifyServingChange(): void {
        const { serving, draining, manifestDigest } = readServing();
        const current = `${serving} ${draining} ${manifestDigest}`;
        if (current !== lastNotifiedState) {
            lastNotifiedState = current;
            options.onServingChange();
        }
    }

    function readPhase(): CopyPhase {
        return orders.phase;
    }

    function createStatus(copy: AssignedCopy, phase: CopyPhase): CopyStatus {
        const progress = transfer.progress();
        const isAssignedSet = progress !== undefined && progress.manifestDigest === copy.copy.weights?.manifestDigest;
        return create(CopyStatusSchema, {
            deployment: copy.deployment,
            epoch: BigInt(copy.copy.epoch),
            manifestDigest: copy.copy.weights?.manifestDigest ?? "",
            version: copy.copy.weights?.version ?? "",
            phase,
            chunksComplete: isAssignedSet ? progress.chunksComplete : 0,
            chunksTotal: isAssignedSet ? progress.chunksTotal : 0,
        });
    }

    return {
        refreshAssignment,
        tick: async () => {
            evaluateHold();
            await orders.tick(readOrderInput);
            notifyServingChange();
        },
        startDraining: () => {
            isDraining = true;
            notifyServingChange();
        },
        readServing,
        readStatuses: () => {
            const { current, conflicting } = assignment;
            // A copy that was assigned while the instance already had one is ignored and counts as released.
            const ignored = conflicting.map(copy => createStatus(copy, "released"));
            return current === undefined ? ignored : [createStatus(current, readPhase()), ...ignored];
        },
        readServedStatuses: () => {
            const { current } = assignment;
            if (current === undefined || !isServing()) {
                return [];
            }
            const served = createStatus(current, "serving");
            served.manifestDigest = isPlainService() ? "" : readServedSet() ?? "";
            return [served];
        },
        listWitnesses: () => {
            const copy = assignment.current?.copy;
            return [...copy?.witnesses ?? [], ...copy?.previousWitnesses ?? []];
        },
        get draining() {
            return readDraining();
        },
        get phase() {
            return readPhase();
        },
    };
}

function readNewestEpoch(context: AgentContext): number {
    let newest = 0;
    for (const { offset } of context.store.state.placements.rows()) {
        newest = Math.max(newest, offset);
    }
    return newest;
}

function createTransferTarget(context: AgentContext, current: AssignedCopy | undefined): TransferTarget | undefined {
    if (current?.copy.state !== "assigned" || current.copy.weights === undefined) {
        return undefined;
    }
    const { weights } = current.copy;
    const members = [];
    for (const copy of current.placement.copies) {
        const row = context.instances.get(copy.instance);
        const sharesSet = copy.state === "assigned" && copy.weights?.manifestDigest === weights.manifestDigest;
        if (sharesSet && row !== undefined && row.state !== "gone") {
            members.push({ instance: copy.instance, zone: copy.zone, address: row.address });
        }
    }
    return { weights, members, objective: current.configuration?.objective ?? "time" };
}
