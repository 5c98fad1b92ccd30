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

/** Maximum number of parts that are compared with each other, those with the most independent crashes first. */
const maximumCandidates = 32;

/** Verdicts on parts of prompts. */
export interface PartVerdicts extends Verdicts {
    /** Parts with enough crashes that are not condemned yet, each with those that may be the cause in its place. */
    readonly rivals: Map<Fingerprint, readonly Fingerprint[]>;
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

    function isRival(
        fingerprint: Fingerprint,
        crashes: readonly string[],
        [other, otherCrashes]: PossibleCause,
    ): boolean {
        const common = crashes.filter(crash => otherCrashes.has(crash));
        const own = crashes.filter(crash => !otherCrashes.has(crash));
        return other !== fingerprint && countIndependent(common) >= minimumCommonCrashes &&
            countIndependent(own) < rivalMargin &&
            areEnough(other, listUnattributed(verdicts, otherCrashes));
    }

    function judge(candidate: PossibleCause): void {
        const [fingerprint] = candidate;
        const crashes = listUnattributed(verdicts, candidate[1]);
        if (!areEnough(fingerprint, crashes)) {
            return;
        }
        const rivals = candidates.filter(other => isRival(fingerprint, crashes, other));
        if (rivals.length === 0) {
            condemn(verdicts, candidate);
        }
        else {
            verdicts.rivals.set(fingerprint, rivals.map(([rival]) => rival));
        }
    }

    const candidates = parts.filter(([, crashes]) => crashes.size >= minimumCommonCrashes)
        .map(cause => ({ cause, independent: countIndependent([...cause[1]]) }))
        .sort((left, right) => right.independent - left.independent)
        .slice(0, maximumCandidates)
        .map(({ cause }) => cause);
    let found: number;
    do {
        found = verdicts.condemned.size;
        verdicts.rivals.clear();
        candidates.forEach(judge);
    }
    while (verdicts.condemned.size > found);
    return verdicts;
}
