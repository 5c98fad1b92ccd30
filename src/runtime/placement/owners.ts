import type { CopyAssignment, InstanceId, PlacementRow } from "../../types/index.js";
import type { AssessedCopy } from "./assess.js";
import type { Tick } from "./tick.js";

/** Owners of idempotency keys as the next placement record is to name them. */
export interface OwnersPlan {
    readonly owners: readonly InstanceId[];
    readonly nextOwners: readonly InstanceId[] | undefined;
    /** Why the owners change; undefined if they stay the same. */
    readonly reason: string | undefined;
}

/**
 * Share of the remaining owners that new owners must amount to before they are added while more copies are still being
 * loaded. They are added in groups, since requests with some keys are refused during each change.
 */
const minimumOwnerAdditionShare = 0.25;

/**
 * Plans the owners of idempotency keys. Copies become owners once they serve and stay owners while they are assigned to
 * an instance that is not leaving. A change takes two records: the first names the next owners, the second puts them in
 * force once each preceding owner has applied the first or lost its copy.
 *
 * @param tick - the tick
 * @param placement - the placement in force
 * @param assessed - its copies
 * @param copies - copies of the next record
 * @returns the owners of the next record
 */
export function planOwners(
    tick: Tick,
    placement: PlacementRow,
    assessed: readonly AssessedCopy[],
    copies: readonly CopyAssignment[],
): OwnersPlan {
    const { owners, nextOwners } = placement;
    const wanted = selectOwners(nextOwners ?? owners, assessed, copies);
    if (nextOwners !== undefined) {
        return continueChange(tick, placement, nextOwners, assessed, wanted);
    }
    if (owners.length === 0) {
        const hasOwners = wanted.all.length > 0;
        return { owners: wanted.all, nextOwners, reason: hasOwners ? "first owners" : undefined };
    }
    const isChanged = wanted.staying.length < owners.length || wanted.isWorthwhile;
    return isChanged ?
        { owners, nextOwners: wanted.all, reason: "change of owners begins" } :
        { owners, nextOwners, reason: undefined };
}

function continueChange(
    tick: Tick,
    placement: PlacementRow,
    nextOwners: readonly InstanceId[],
    assessed: readonly AssessedCopy[],
    wanted: WantedOwners,
): OwnersPlan {
    const { owners } = placement;
    if (owners.every(owner => hasStopped(tick, placement, assessed, owner))) {
        return { owners: nextOwners, nextOwners: undefined, reason: "preceding owners know the change" };
    }
    return wanted.staying.length < nextOwners.length ?
        { owners, nextOwners: wanted.all, reason: "a next owner is no longer wanted" } :
        { owners, nextOwners, reason: undefined };
}

interface WantedOwners {
    /** Current owners that remain owners. */
    readonly staying: readonly InstanceId[];
    readonly all: readonly InstanceId[];
    /** True if enough copies have been added to begin a change for them alone. */
    readonly isWorthwhile: boolean;
}

function selectOwners(
    current: readonly InstanceId[],
    assessed: readonly AssessedCopy[],
    copies: readonly CopyAssignment[],
): WantedOwners {
    const isOwner = new Set(current);
    const assigned = new Set(copies.filter(({ state }) => state === "assigned").map(({ instance }) => instance));
    const usable = assessed.filter(({ copy, condition, releaseReason }) =>
        assigned.has(copy.instance) && condition !== "leaving" && releaseReason === undefined
    );
    const usableInstances = new Set(usable.map(({ copy }) => copy.instance));
    const staying = current.filter(instance => usableInstances.has(instance));
    const added = usable.filter(({ copy, isServing }) => isServing && !isOwner.has(copy.instance));
    const pending = usable.filter(({ copy, condition }) => condition === "incomplete" && !isOwner.has(copy.instance));
    const isWorthwhile = added.length > 0 &&
        (added.length >= pending.length || added.length >= staying.length * minimumOwnerAdditionShare);
    const all = [...staying, ...added.map(({ copy }) => copy.instance)].sort();
    return { staying, all, isWorthwhile };
}

/** A preceding owner stops accepting keys that pass to others when it applies the record or its copy is released. */
function hasStopped(
    tick: Tick,
    placement: PlacementRow,
    assessed: readonly AssessedCopy[],
    owner: InstanceId,
): boolean {
    if ((tick.input.observations.get(owner)?.appliedOffset ?? 0) >= placement.offset) {
        return true;
    }
    const entry = assessed.find(({ copy }) => copy.instance === owner);
    return entry === undefined || entry.releaseReason !== undefined;
}
