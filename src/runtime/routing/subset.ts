import type { AvailabilityZone, DeploymentName, InstanceId, Region } from "../../types/index.js";
import { createRendezvousScore, scoreRendezvous } from "../../utils/index.js";
import type { RunnerRow, RunnerSubset, SubsetCandidate, SubsetInput } from "./types.js";

/**
 * Share of the subset that is reserved for other availability zones, so that the loss of the own zone leaves
 * candidates.
 */
const remoteZoneShare = 0.25;

interface RankedCandidate {
    readonly candidate: SubsetCandidate;
    readonly distance: number;
    readonly score: number;
}

function compareRanked(left: RankedCandidate, right: RankedCandidate): number {
    return left.distance - right.distance || right.score - left.score ||
        (left.candidate.instance < right.candidate.instance ? -1 : 1);
}

function measureDistance(candidate: SubsetCandidate, zone: AvailabilityZone, region: Region): 0 | 1 | 2 {
    if (candidate.zone === zone) {
        return 0;
    }
    return candidate.region === region ? 1 : 2;
}

/** Ranks the candidates that are avoided, or those that are not, by distance, then by rendezvous hash. */
function rankCandidates(input: SubsetInput, avoided: boolean): RankedCandidate[] {
    const scoreCandidate = createRendezvousScore(`${input.entry}/${input.deployment}`);
    return input.candidates
        .filter(candidate => (candidate.avoided === true) === avoided)
        .map(candidate => ({
            candidate,
            distance: measureDistance(candidate, input.zone, input.region),
            score: scoreCandidate(candidate.instance),
        }))
        .sort(compareRanked);
}

/**
 * Selects the runners of a deployment whose load reports an entry instance follows: those of its own availability zone
 * first, then those of its region, then others, each group by rendezvous hash. A quarter of the subset is reserved for
 * other availability zones if they have runners. When a runner is added or removed, at most one other runner of the
 * subset is replaced in each group.
 *
 * @param input - entry instance, its location, and all runners of the deployment
 * @returns at most `size` runners; empty only if there are no candidates
 */
export function selectSubset(input: SubsetInput): readonly SubsetCandidate[] {
    const usable = rankCandidates(input, false);
    const ownCount = usable.filter(({ distance }) => distance === 0).length;
    const remoteCount = usable.length - ownCount;
    const remotePlaces = Math.min(remoteCount, Math.floor(input.size * remoteZoneShare));
    const ownPlaces = Math.min(ownCount, input.size - remotePlaces);
    const chosen = [
        ...usable.slice(0, ownPlaces),
        ...usable.slice(ownCount, ownCount + input.size - ownPlaces),
    ];
    if (chosen.length < input.size) {
        chosen.push(...rankCandidates(input, true).slice(0, input.size - chosen.length));
    }
    return chosen.map(({ candidate }) => candidate);
}

/**
 * Creates the row of a runner that has not reported yet.
 *
 * @param deployment - the runner's deployment
 * @param candidate - the runner's instance and location
 * @returns the row; the runner is not selected for requests before its first report
 */
export function createRunnerRow(deployment: DeploymentName, candidate: SubsetCandidate): RunnerRow {
    return {
        instance: candidate.instance,
        deployment,
        zone: candidate.zone,
        region: candidate.region,
        manifestDigest: undefined,
        phase: "waiting",
        unverified: false,
        draining: false,
        outstanding: 0,
        awaitingFirst: 0,
        reportedWaiting: 0,
        reportedLoad: 0,
        capacity: 1,
        reportedAt: Number.NEGATIVE_INFINITY,
        cachedPrefixes: new Set(),
        consecutiveFailures: 0,
        ejections: 0,
        ejectedUntil: Number.NEGATIVE_INFINITY,
        pausedUntil: Number.NEGATIVE_INFINITY,
        trial: "none",
        pace: undefined,
        slowStart: undefined,
        affinityHash: scoreRendezvous("", candidate.instance),
        samples: [],
        work: undefined,
        speed: undefined,
    };
}

/**
 * Applies a new selection to a subset and keeps the rows of runners that stay.
 *
 * @param subset - subset to change
 * @param selected - result of `selectSubset`
 * @returns instances that were added, whose load reports are to be followed, and instances that were removed
 */
export function updateSubset(
    subset: RunnerSubset,
    selected: readonly SubsetCandidate[],
): { readonly added: readonly InstanceId[]; readonly removed: readonly InstanceId[]; } {
    const previous = new Map(subset.runners.map(runner => [runner.instance, runner]));
    const added: InstanceId[] = [];
    subset.runners.length = 0;
    for (const candidate of selected) {
        const known = previous.get(candidate.instance);
        previous.delete(candidate.instance);
        if (known === undefined) {
            added.push(candidate.instance);
        }
        subset.runners.push(known ?? createRunnerRow(subset.deployment, candidate));
    }
    return { added, removed: [...previous.keys()] };
}
