import type { Fingerprint, Milliseconds } from "../../types/index.js";
import { additionalScatteredCrashes, groupByPlace } from "./crashPlaces.js";
import type { CrashEvidence, CrashRow } from "./types.js";
import { condemn, listUnattributed, type PossibleCause, type Verdicts } from "./verdicts.js";

/** Time within which crashes count as one moment for a part, since backend servers that fail together share a cause. */
const momentWindow: Milliseconds = 200;
/** Independent crashes that two parts must have in common to be indistinguishable. */
const minimumCommonCrashes = 2;
/** Independent crashes that a part must have without another one that also has enough for a verdict. */
const rivalMargin = 2;

/**
 * Maximum number of groups that are compared with each other, those with the most independent crashes first. Parts that
 * were in the same crashes are one group, whatever their number.
 */
const maximumCandidates = 32;

/** Verdicts on parts of prompts. */
export interface PartVerdicts extends Verdicts {
    /** Parts with enough crashes that are not condemned yet, each with those that may be the cause in its place. */
    readonly rivals: Map<Fingerprint, ReadonlySet<Fingerprint>>;
}

/** Parts that were in the same crashes, at the same places of the answers. */
interface PartGroup {
    readonly parts: Fingerprint[];
    readonly crashes: ReadonlySet<string>;
}

function compareCrashes(left: CrashRow, right: CrashRow): number {
    return left.at - right.at || (left.crashId < right.crashId ? -1 : 1);
}

/**
 * Counts the moments at which backend servers crashed.
 *
 * @param crashes - the crashes
 * @returns number of crashes, of which those at the same moment count once
 */
export function countMoments(crashes: readonly CrashRow[]): number {
    let moments = 0;
    let momentStart = -Infinity;
    for (const { at } of [...crashes].sort(compareCrashes)) {
        if (at - momentStart > momentWindow) {
            moments++;
            momentStart = at;
        }
    }
    return moments;
}

/** Groups the parts that nothing tells apart, and leaves out those with too few crashes to be compared. */
function groupParts(rows: ReadonlyMap<string, CrashRow>, parts: readonly PossibleCause[]): readonly PartGroup[] {
    const groups = new Map<string, PartGroup>();
    for (const [fingerprint, crashes] of parts) {
        if (crashes.size < minimumCommonCrashes) {
            continue;
        }
        const key = [...crashes].map(crash => `${crash}:${rows.get(crash)!.events.get(fingerprint) ?? 0}`).sort()
            .join();
        const group = groups.get(key) ?? { parts: [], crashes };
        group.parts.push(fingerprint);
        groups.set(key, group);
    }
    return [...groups.values()];
}

/** Lists the requests that each crash is possible for, without those that an answer rules out. */
function listPossibleRequests(requests: readonly PossibleCause[]): ReadonlyMap<string, ReadonlySet<Fingerprint>> {
    const byCrash = new Map<string, Set<Fingerprint>>();
    for (const [fingerprint, crashes] of requests) {
        for (const crash of crashes) {
            byCrash.set(crash, (byCrash.get(crash) ?? new Set<Fingerprint>()).add(fingerprint));
        }
    }
    return byCrash;
}

/**
 * Condemns parts of prompts by their independent crashes: neither at the same moment as another one nor with one of its
 * requests that has enough crashes to be condemned, since such a request brings all of its parts each time. Crashes at
 * different places of the answers have to be more. While another part was in nearly all of the same crashes, the verdict
 * waits for a request that has only one of the two.
 *
 * @param evidence - crashes; not changed
 * @param parts - parts that may have caused crashes
 * @param requests - requests that may have caused crashes
 * @returns the condemned parts, and those that cannot be told apart yet
 */
export function condemnParts(
    { crashes: rows, options: { maximumCrashes } }: CrashEvidence,
    parts: readonly PossibleCause[],
    requests: readonly PossibleCause[],
): PartVerdicts {
    const verdicts: PartVerdicts = { condemned: new Set(), attributed: new Set(), rivals: new Map() };
    const repeatedRequests = listPossibleRequests(requests.filter(([, crashes]) => crashes.size >= maximumCrashes));

    function countIndependent(crashes: readonly string[]): number {
        const seen = new Set<Fingerprint>();
        let independent = 0;
        let momentStart = -Infinity;
        for (const { at, crashId } of crashes.map(crash => rows.get(crash)!).sort(compareCrashes)) {
            const found = [...repeatedRequests.get(crashId) ?? []];
            if (at - momentStart > momentWindow && !found.some(fingerprint => seen.has(fingerprint))) {
                independent++;
                momentStart = at;
                found.forEach(fingerprint => seen.add(fingerprint));
            }
        }
        return independent;
    }

    function areEnough(fingerprint: Fingerprint, crashes: readonly string[]): boolean {
        const independent = countIndependent(crashes);
        if (independent < maximumCrashes || independent >= maximumCrashes + additionalScatteredCrashes) {
            return independent >= maximumCrashes;
        }
        return groupByPlace(crashes.map(crash => rows.get(crash)!), fingerprint).some(group =>
            countIndependent(group.map(({ crashId }) => crashId)) >= maximumCrashes
        );
    }

    function isRival(group: PartGroup, crashes: readonly string[], other: PartGroup): boolean {
        const common = crashes.filter(crash => other.crashes.has(crash));
        const own = crashes.filter(crash => !other.crashes.has(crash));
        return other !== group && countIndependent(common) >= minimumCommonCrashes &&
            countIndependent(own) < rivalMargin &&
            areEnough(other.parts[0]!, listUnattributed(verdicts, other.crashes));
    }

    function judge(group: PartGroup): void {
        const [first, ...others] = group.parts as [Fingerprint, ...Fingerprint[]];
        const crashes = listUnattributed(verdicts, group.crashes);
        if (!areEnough(first, crashes)) {
            return;
        }
        const rivals = candidates.filter(other => isRival(group, crashes, other)).flatMap(other => other.parts);
        if (rivals.length === 0 && others.length === 0) {
            condemn(verdicts, [first, group.crashes]);
            return;
        }
        const indistinguishable = new Set([...group.parts, ...rivals]);
        group.parts.forEach(part => verdicts.rivals.set(part, indistinguishable));
    }

    const candidates = groupParts(rows, parts)
        .map(group => ({ group, independent: countIndependent([...group.crashes]) }))
        .sort((left, right) => right.independent - left.independent)
        .slice(0, maximumCandidates)
        .map(({ group }) => group);
    let found: number;
    do {
        found = verdicts.condemned.size;
        verdicts.rivals.clear();
        candidates.forEach(judge);
    }
    while (verdicts.condemned.size > found);
    return verdicts;
}
