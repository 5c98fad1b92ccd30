import type { ConfigurationRow, CopyAssignment, CopyReport, PlacementRow, WeightSet } from "../../types/index.js";
import { evaluateReplacement } from "../hold/index.js";
import type { WitnessKnowledge } from "../hold/index.js";
import { createCopyKey, isGone, isReachable, measureSilence } from "./tick.js";
import type { Tick } from "./tick.js";

/** Condition of a copy, worst first. Of too many copies, those in the worst condition are revoked first. */
export type CopyCondition = "leaving" | "unreachable" | "incomplete" | "good";

/** A copy with its condition, as far as the proposer knows it. */
export interface AssessedCopy {
    readonly copy: CopyAssignment;
    readonly condition: CopyCondition;
    /** True if its agent is reachable and reports that it serves the assigned weights. */
    readonly isServing: boolean;
    /** Why the copy can be removed from the placement; undefined while its instance may still use it. */
    readonly releaseReason: string | undefined;
    /** Deployment to which the instance was assigned before and which takes precedence; undefined if there is none. */
    readonly conflictsWith: string | undefined;
}

/**
 * Determines the condition of each copy of a placement.
 *
 * @param tick - the tick
 * @param placement - the placement in force
 * @returns one entry for each copy, in the order of the placement
 */
export function assessCopies(tick: Tick, placement: PlacementRow): AssessedCopy[] {
    return placement.copies.map(copy => {
        const report = findReport(tick, placement.deployment, copy);
        return {
            copy,
            condition: determineCondition(tick, copy, report),
            isServing: report?.phase === "serving" && matchesWeights(report, copy) && isReachable(tick, copy.instance),
            releaseReason: findReleaseReason(tick, placement.deployment, copy, report),
            conflictsWith: copy.state === "assigned" ? findConflict(tick, placement.deployment, copy) : undefined,
        };
    });
}

/**
 * Compares two weight sets.
 *
 * @param left - weight set; undefined for plain services
 * @param right - weight set; undefined for plain services
 * @returns true if they are the same
 */
export function isSameWeights(left: WeightSet | undefined, right: WeightSet | undefined): boolean {
    return left?.manifestDigest === right?.manifestDigest && left?.version === right?.version &&
        left?.model === right?.model && left?.adapter === right?.adapter;
}

/**
 * Returns the number of copies that a configuration requires in an availability zone.
 *
 * @param configuration - the configuration in force
 * @param zone - availability zone
 * @returns number of copies, 0 or more
 */
export function getWantedCopies(configuration: ConfigurationRow, zone: string): number {
    return Math.max(0, configuration.replicas[zone] ?? 0);
}

function findReport(tick: Tick, deployment: string, copy: CopyAssignment): CopyReport | undefined {
    return tick.input.observations.get(copy.instance)?.copies.find(report =>
        report.deployment === deployment && report.epoch === copy.epoch
    );
}

function matchesWeights(report: CopyReport, copy: CopyAssignment): boolean {
    // Plain services have no weights, which the wire format represents by an empty digest.
    return (report.manifestDigest || "") === (copy.weights?.manifestDigest ?? "");
}

function determineCondition(tick: Tick, copy: CopyAssignment, report: CopyReport | undefined): CopyCondition {
    const { input } = tick;
    const isDraining = input.observations.get(copy.instance)?.draining ?? false;
    if (isDraining || input.instances.get(copy.instance)?.state === "leaving") {
        return "leaving";
    }
    if (measureSilence(tick, copy.instance) >= input.options.unreachableAfter) {
        return "unreachable";
    }
    const isComplete = report !== undefined && ["complete", "activating", "serving"].includes(report.phase);
    return isComplete && matchesWeights(report, copy) ? "good" : "incomplete";
}

function findReleaseReason(
    tick: Tick,
    deployment: string,
    copy: CopyAssignment,
    report: CopyReport | undefined,
): string | undefined {
    if (isGone(tick, copy.instance)) {
        return "instance is gone";
    }
    if (copy.state !== "revoked") {
        return undefined;
    }
    const appliedOffset = tick.input.observations.get(copy.instance)?.appliedOffset ?? 0;
    if (report?.phase === "released" && appliedOffset >= (copy.revokedAt ?? Number.POSITIVE_INFINITY)) {
        return "agent has unloaded it";
    }
    if (report?.phase === "unloading" && isReachable(tick, copy.instance)) {
        // The agent renews its hold while it finishes its requests, so expiry of the hold cannot be inferred.
        return undefined;
    }
    return isHoldExpired(tick, deployment, copy) ? "hold has expired" : undefined;
}

function isHoldExpired(tick: Tick, deployment: string, copy: CopyAssignment): boolean {
    const { memory, options } = tick.input;
    const key = createCopyKey(deployment, copy.instance, copy.epoch);
    const { state, confirmation } = evaluateReplacement({
        revokedAt: copy.revokedAt ?? Number.POSITIVE_INFINITY,
        witnessSets: copy.previousWitnesses === undefined ? [copy.witnesses] : [copy.witnesses, copy.previousWitnesses],
        witnesses: { get: witness => getWitnessKnowledge(tick, witness) },
        preceding: memory.confirmations.get(key),
        now: tick.now,
        holdDuration: options.holdDuration,
        holdMargin: options.holdMargin,
    });
    if (confirmation === undefined) {
        memory.confirmations.delete(key);
    }
    else {
        memory.confirmations.set(key, confirmation);
    }
    return state === "expired";
}

function getWitnessKnowledge(tick: Tick, witness: string): WitnessKnowledge | undefined {
    const { self, state, witnesses } = tick.input;
    if (witness !== self) {
        return witnesses.get(witness);
    }
    return { heardAt: tick.now, appliedOffset: state.appliedOffset, uptime: tick.now - tick.observingSince };
}

function findConflict(tick: Tick, deployment: string, copy: CopyAssignment): string | undefined {
    const holdings = tick.getHoldings().get(copy.instance) ?? [];
    return holdings.find(holding =>
        holding.deployment !== deployment && holding.state === "assigned" && holding.epoch < copy.epoch
    )?.deployment;
}
