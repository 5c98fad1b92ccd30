import type { AgentObservation, ConfigurationRow, CopyAssignment, InstanceId } from "../../types/index.js";
import { rankByRendezvous } from "../../utils/index.js";
import { getWantedCopies } from "./assess.js";
import type { AssessedCopy, CopyCondition } from "./assess.js";
import { isReachable } from "./tick.js";
import type { Tick } from "./tick.js";
import type { PlacementChange } from "./types.js";
import { selectWitnesses } from "./witnesses.js";

/** Copies of a deployment as the next placement record is to list them, and the changes that lead to them. */
export interface CopyPlan {
    readonly copies: CopyAssignment[];
    readonly changes: PlacementChange[];
    /** Number of instances that could take a new copy, in all availability zones. */
    readonly candidates: number;
}

const conditionOrder: Readonly<Record<CopyCondition, number>> = { leaving: 0, unreachable: 1, incomplete: 2, good: 3 };

/**
 * Plans which copies are released, revoked and assigned to reach the wanted count in each availability zone.
 *
 * @param tick - the tick
 * @param configuration - the configuration in force
 * @param assessed - copies of the placement in force
 * @returns the copies of the next record
 */
export function planCopies(
    tick: Tick,
    configuration: ConfigurationRow,
    assessed: readonly AssessedCopy[],
): CopyPlan {
    const changes: PlacementChange[] = [];
    const kept = assessed.filter(entry => {
        if (entry.releaseReason !== undefined) {
            changes.push({ kind: "release", instance: entry.copy.instance, reason: entry.releaseReason });
        }
        return entry.releaseReason === undefined;
    });
    const candidatesByZone = collectCandidates(tick, configuration);
    const revocations = new Map<InstanceId, string>();
    const keptByZone = groupByZone(configuration, kept);
    for (const [zone, entries] of keptByZone) {
        planRevocations(
            tick,
            getWantedCopies(configuration, zone),
            entries,
            candidatesByZone.get(zone) ?? [],
            revocations,
        );
    }
    const copies = kept.map(({ copy }) => {
        const reason = revocations.get(copy.instance);
        if (reason === undefined) {
            return copy;
        }
        changes.push({ kind: "revoke", instance: copy.instance, reason });
        return { ...copy, state: "revoked" as const, revokedAt: 0 };
    });
    const assigned = planAssignments(tick, configuration, copies, candidatesByZone);
    for (const { instance, zone } of assigned) {
        changes.push({ kind: "assign", instance, reason: `fewer copies than wanted in ${zone}` });
    }
    const candidates = [...candidatesByZone.values()].reduce((sum, list) => sum + list.length, 0);
    return { copies: [...copies, ...assigned], changes, candidates };
}

function groupByZone(
    configuration: ConfigurationRow,
    entries: readonly AssessedCopy[],
): Map<string, AssessedCopy[]> {
    const groups = new Map<string, AssessedCopy[]>(Object.keys(configuration.replicas).map(zone => [zone, []]));
    for (const entry of entries) {
        const { zone } = entry.copy;
        groups.set(zone, groups.get(zone) ?? []);
        groups.get(zone)!.push(entry);
    }
    return groups;
}

/** Groups by zone the instances that can take a new copy: live, reachable and without a copy of any deployment. */
function collectCandidates(tick: Tick, configuration: ConfigurationRow): Map<string, InstanceId[]> {
    const { instances, observations } = tick.input;
    const holdings = tick.getHoldings();
    const byZone = new Map<string, InstanceId[]>();
    for (const instance of instances.lookup("pool", configuration.pool)) {
        const row = instances.get(instance)!;
        const isFree = row.role === "backend-server" && row.state === "live" && row.absentReads === 0 &&
            !holdings.has(instance) && getWantedCopies(configuration, row.zone) > 0;
        if (!isFree || !isReachable(tick, instance) || !isIdle(observations.get(instance)!)) {
            continue;
        }
        const list = byZone.get(row.zone);
        if (list === undefined) {
            byZone.set(row.zone, [instance]);
        }
        else {
            list.push(instance);
        }
    }
    return byZone;
}

/** Tells whether an agent is not draining and has unloaded all copies, even those released without its answer. */
function isIdle(observation: AgentObservation): boolean {
    return !observation.draining && observation.copies.every(({ phase }) => phase === "released");
}

function planRevocations(
    tick: Tick,
    wanted: number,
    entries: readonly AssessedCopy[],
    candidates: readonly InstanceId[],
    revocations: Map<InstanceId, string>,
): void {
    const isRevoked = (entry: AssessedCopy) => entry.copy.state === "revoked" || revocations.has(entry.copy.instance);
    for (const { copy, conflictsWith } of entries) {
        if (conflictsWith !== undefined) {
            revocations.set(copy.instance, `instance was assigned to ${conflictsWith} before`);
        }
    }
    const assigned = entries.filter(entry => !isRevoked(entry)).sort(compareForRevocation);
    const excess = assigned.length - wanted;
    for (const { copy } of assigned.slice(0, Math.max(0, excess))) {
        revocations.set(copy.instance, `more copies than wanted in ${copy.zone}`);
    }
    if (excess > 0) {
        return;
    }
    const limit = computeReplacementLimit(tick, wanted);
    const underReplacement = entries.filter(isRevoked).length;
    const spares = candidates.length + excess;
    const failing = assigned.filter(({ condition }) => condition === "leaving" || condition === "unreachable");
    for (const { copy, condition } of failing.slice(0, Math.max(0, Math.min(limit - underReplacement, spares)))) {
        revocations.set(copy.instance, `instance is ${condition} and is replaced`);
    }
}

/**
 * Computes how many copies of an availability zone may be out of service for replacement or update at once.
 *
 * @param tick - the tick
 * @param wanted - wanted copies in the availability zone
 * @returns number of copies, at least 1
 */
export function computeReplacementLimit(tick: Tick, wanted: number): number {
    return Math.max(1, Math.floor(wanted * tick.input.options.replacementShare));
}

function compareForRevocation(left: AssessedCopy, right: AssessedCopy): number {
    return conditionOrder[left.condition] - conditionOrder[right.condition] || left.copy.epoch - right.copy.epoch ||
        (left.copy.instance < right.copy.instance ? -1 : 1);
}

function planAssignments(
    tick: Tick,
    configuration: ConfigurationRow,
    copies: readonly CopyAssignment[],
    candidatesByZone: ReadonlyMap<string, readonly InstanceId[]>,
): CopyAssignment[] {
    const zones = Object.keys(configuration.replicas);
    const total = zones.reduce((sum, zone) => sum + getWantedCopies(configuration, zone), 0);
    const copiesByZone = new Map<string, number>();
    for (const { zone } of copies) {
        copiesByZone.set(zone, (copiesByZone.get(zone) ?? 0) + 1);
    }
    // A copy that another zone has not released yet counts too, so that the total never exceeds what is wanted.
    let remaining = total - copies.length;
    const assigned: CopyAssignment[] = [];
    for (const zone of zones) {
        const missing = Math.min(getWantedCopies(configuration, zone) - (copiesByZone.get(zone) ?? 0), remaining);
        const candidates = candidatesByZone.get(zone) ?? [];
        if (missing <= 0 || candidates.length === 0) {
            continue;
        }
        const witnesses = selectWitnesses(tick, configuration.deployment, zone, []);
        for (const instance of rankByRendezvous(configuration.deployment, candidates).slice(0, missing)) {
            const { weights } = configuration;
            assigned.push({ instance, zone, epoch: 0, weights, state: "assigned", witnesses });
            remaining--;
        }
    }
    return assigned;
}
