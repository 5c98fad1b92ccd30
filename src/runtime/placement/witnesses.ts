import type { CopyAssignment, InstanceId, InstanceRow, PlacementRow } from "../../types/index.js";
import { scoreRendezvous } from "../../utils/index.js";
import type { CopyPlan } from "./copies.js";
import { isReachable, measureSilence } from "./tick.js";
import type { Tick } from "./tick.js";
import type { PlacementChange } from "./types.js";

/**
 * Selects the witnesses of copies: entry instances that can confirm an outage of the log to the copies' agents and a
 * revocation to the proposers. Reachable ones come first, ordered by same availability zone, same region and others.
 * Copies of one deployment and availability zone have the same witnesses, so the loss of an entry instance changes few
 * placements.
 *
 * @param tick - the tick
 * @param deployment - name of the deployment
 * @param zone - availability zone of the copies
 * @param keep - entry instances that come first if they are live
 * @returns up to `maximumWitnesses` entry instances
 */
export function selectWitnesses(
    tick: Tick,
    deployment: string,
    zone: string,
    keep: readonly InstanceId[],
): InstanceId[] {
    const region = findRegion(tick, zone);
    const ranked = tick.entries
        .map(entry => ({
            entry,
            order: rankEntry(tick, entry, keep, zone, region),
            score: scoreRendezvous(`${deployment}/${zone}`, entry.instance),
        }))
        .sort((left, right) =>
            left.order - right.order || right.score - left.score ||
            (left.entry.instance < right.entry.instance ? -1 : 1)
        );
    return ranked.slice(0, tick.input.options.maximumWitnesses).map(({ entry }) => entry.instance);
}

function rankEntry(
    tick: Tick,
    entry: InstanceRow,
    keep: readonly InstanceId[],
    zone: string,
    region: string | undefined,
): number {
    if (keep.includes(entry.instance)) {
        return 0;
    }
    const distance = entry.zone === zone ? 1 : entry.region === region ? 2 : 3;
    return tick.getSilentEntries().has(entry.instance) ? distance + 3 : distance;
}

function findRegion(tick: Tick, zone: string): string | undefined {
    for (const row of tick.input.instances.rows()) {
        if (row.zone === zone) {
            return row.region;
        }
    }
    return undefined;
}

/**
 * Replaces witnesses that are gone or leaving. The preceding set stays in force together with the new one until the
 * agent that holds the copy has applied the change, so that a revocation reaches a majority of whichever set it knows.
 *
 * @param tick - the tick
 * @param placement - the placement in force
 * @param plan - the plan so far
 * @returns the plan with the changes of witnesses
 */
export function planWitnesses(tick: Tick, placement: PlacementRow, plan: CopyPlan): CopyPlan {
    const assigned = plan.copies.filter(copy => copy.state === "assigned" && copy.epoch !== 0);
    const canRemovePrevious = assigned.every(copy =>
        copy.previousWitnesses === undefined || hasAppliedPlacement(tick, placement, copy) ||
        !isReachable(tick, copy.instance)
    );
    const witnessesByKey = new Map<string, readonly InstanceId[]>();
    const lossByWitness = new Map<InstanceId, boolean>();
    const changes: PlacementChange[] = [...plan.changes];
    const copies = plan.copies.map(copy => {
        if (copy.state !== "assigned" || copy.epoch === 0) {
            return copy;
        }
        const { previousWitnesses, ...settled } = copy;
        if (previousWitnesses !== undefined) {
            if (!canRemovePrevious || !hasAppliedPlacement(tick, placement, copy)) {
                return copy;
            }
            changes.push({ kind: "witness-change", instance: copy.instance, reason: "holder knows the new witnesses" });
            return settled;
        }
        if (!needsNewWitnesses(tick, copy, lossByWitness)) {
            return copy;
        }
        const key = `${copy.zone}/${copy.witnesses.join()}`;
        const witnesses = witnessesByKey.get(key) ??
            selectWitnesses(tick, placement.deployment, copy.zone, copy.witnesses);
        witnessesByKey.set(key, witnesses);
        if (witnesses.length === 0) {
            return copy;
        }
        changes.push({ kind: "witness-change", instance: copy.instance, reason: "a witness is gone or was missing" });
        return { ...copy, witnesses, previousWitnesses: copy.witnesses };
    });
    return { ...plan, copies, changes };
}

function hasAppliedPlacement(tick: Tick, placement: PlacementRow, copy: CopyAssignment): boolean {
    return (tick.input.observations.get(copy.instance)?.appliedOffset ?? 0) >= placement.offset;
}

function needsNewWitnesses(tick: Tick, copy: CopyAssignment, lossByWitness: Map<InstanceId, boolean>): boolean {
    const possible = Math.min(tick.input.options.maximumWitnesses, tick.entries.length);
    const hasLost = copy.witnesses.some(witness => {
        const isKnownLost = lossByWitness.get(witness) ?? isLost(tick, witness);
        lossByWitness.set(witness, isKnownLost);
        return isKnownLost;
    });
    return hasLost || copy.witnesses.length < possible;
}

function isLost(tick: Tick, witness: InstanceId): boolean {
    const row = tick.input.instances.get(witness);
    if (row === undefined) {
        return tick.entries.length > 0 && measureSilence(tick, witness) >= tick.input.options.holdDuration;
    }
    return row.state !== "live";
}
