import type { Fingerprint, Milliseconds } from "../../types/index.js";
import { isPartFingerprint } from "./promptParts.js";
import type { CrashEvidence, CrashRow, CrashSuspect } from "./types.js";

/**
 * Time for which an answer rules a part of its prompt out as the cause of later crashes. It is short, since a part may
 * begin to crash backend servers.
 */
const partAnswerMemory: Milliseconds = 1_000;
/** Time within which crashes count as one moment for a part, since backend servers that fail together share a cause. */
const momentWindow: Milliseconds = 200;
/** Independent crashes that two parts have in common before the one may be taken for the other. */
const minimumCommonCrashes = 2;
/** Independent crashes that a part must have without another one that also has enough for a verdict. */
const rivalMargin = 2;

/** Maximum number of parts that are compared with each other, those with the most independent crashes first. */
const maximumCandidates = 32;

/** Crashes that a request or a part of its prompt may have caused. */
type PossibleCause = readonly [Fingerprint, ReadonlySet<string>];

/** Crashes that were attributed to condemned requests and parts. */
interface Verdicts {
    readonly condemned: Set<Fingerprint>;
    /** Crashes that are attributed to a condemned request or part. */
    readonly attributed: Set<string>;
}

/**
 * Reads for how long an answer rules out later crashes.
 *
 * @param evidence - options
 * @param fingerprint - request or part of a prompt that was answered
 * @returns the time
 */
export function readAnswerMemory({ options }: Pick<CrashEvidence, "options">, fingerprint: Fingerprint): Milliseconds {
    return isPartFingerprint(fingerprint) ? Math.min(partAnswerMemory, options.answerMemory) : options.answerMemory;
}

/**
 * Tells whether an answer rules a request or a part of its prompt out as the cause of a crash. What crashes each backend
 * server is never answered, so an answer exonerates it from the crashes that were noticed before the answer or at most
 * the answer memory after it.
 *
 * @param evidence - answers
 * @param fingerprint - the request or part
 * @param crash - time at which the crash was noticed
 * @returns true if it has not caused the crash
 */
export function isRuledOut(
    evidence: Pick<CrashEvidence, "answers" | "options">,
    fingerprint: Fingerprint,
    { at }: Pick<CrashRow, "at">,
): boolean {
    const answeredAt = evidence.answers.get(fingerprint);
    return answeredAt !== undefined && at - answeredAt <= readAnswerMemory(evidence, fingerprint);
}

/** Lists the crashes that each request and part may have caused, the one with the most crashes first. */
function listPossibleCauses(evidence: CrashEvidence): readonly PossibleCause[] {
    const possibleCrashes = new Map<Fingerprint, Set<string>>();
    for (const row of evidence.crashes.values()) {
        for (const fingerprint of row.fingerprints) {
            if (!isRuledOut(evidence, fingerprint, row)) {
                const crashes = possibleCrashes.get(fingerprint) ?? new Set<string>();
                possibleCrashes.set(fingerprint, crashes.add(row.crashId));
            }
        }
    }
    return [...possibleCrashes].sort(([left, leftCrashes], [right, rightCrashes]) =>
        rightCrashes.size - leftCrashes.size || (left < right ? -1 : 1)
    );
}

/** Verdicts on parts of prompts. */
interface PartVerdicts extends Verdicts {
    /** Parts with enough crashes that are not condemned yet, each with those that may be the cause in its place. */
    readonly rivals: Map<Fingerprint, readonly Fingerprint[]>;
}

function compareCrashes(left: CrashRow, right: CrashRow): number {
    return left.at - right.at || (left.crashId < right.crashId ? -1 : 1);
}

function listUnattributed({ attributed }: Verdicts, crashes: ReadonlySet<string>): string[] {
    return [...crashes].filter(crash => !attributed.has(crash));
}

function condemn({ attributed, condemned }: Verdicts, [fingerprint, crashes]: PossibleCause): void {
    condemned.add(fingerprint);
    crashes.forEach(crash => attributed.add(crash));
}

/**
 * Condemns requests. If several were in progress in all of the same crashes, the verdict waits for one more crash; if
 * that one does not tell them apart, all of them are condemned.
 */
function condemnRequests(requests: readonly PossibleCause[], maximumCrashes: number): Verdicts {
    const verdicts: Verdicts = { condemned: new Set(), attributed: new Set() };
    for (const [fingerprint, crashes] of requests) {
        const unattributed = listUnattributed(verdicts, crashes);
        if (unattributed.length < maximumCrashes) {
            continue;
        }
        const alternatives = requests.filter(([other, otherCrashes]) =>
            other !== fingerprint && unattributed.every(crash => otherCrashes.has(crash))
        );
        if (alternatives.length > 0 && unattributed.length === maximumCrashes) {
            continue;
        }
        [[fingerprint, crashes] as const, ...alternatives].forEach(found => condemn(verdicts, found));
    }
    return verdicts;
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
 * requests that has enough crashes to be condemned, since such a request brings all of its parts each time. While another
 * part was in nearly all of the same crashes, the verdict waits for a request that has only one of the two.
 */
function condemnParts(
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

    function isRival(
        fingerprint: Fingerprint,
        crashes: readonly string[],
        [other, otherCrashes]: PossibleCause,
    ): boolean {
        const common = crashes.filter(crash => otherCrashes.has(crash));
        const own = crashes.filter(crash => !otherCrashes.has(crash));
        return other !== fingerprint && countIndependent(common) >= minimumCommonCrashes &&
            countIndependent(own) < rivalMargin &&
            countIndependent(listUnattributed(verdicts, otherCrashes)) >= maximumCrashes;
    }

    function judge(candidate: PossibleCause): void {
        const [fingerprint] = candidate;
        const crashes = listUnattributed(verdicts, candidate[1]);
        if (countIndependent(crashes) < maximumCrashes) {
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

/**
 * Decides which requests, and which parts of prompts that several requests share, crash backend servers. A request or
 * part is condemned once `maximumCrashes` crashes can be attributed to it. A crash that is attributed to a condemned
 * one no longer counts against the others that were in progress on that server.
 *
 * @param evidence - crashes and answers; not changed
 * @returns the requests and parts that may have crashed backend servers, with their crashes
 */
export function findCrashSuspects(evidence: CrashEvidence): ReadonlyMap<Fingerprint, CrashSuspect> {
    const possibleCauses = listPossibleCauses(evidence);
    const possibleRequests = possibleCauses.filter(([fingerprint]) => !isPartFingerprint(fingerprint));
    const requests = condemnRequests(possibleRequests, evidence.options.maximumCrashes);
    const parts = condemnParts(
        evidence,
        possibleCauses.filter(([fingerprint]) => isPartFingerprint(fingerprint)),
        possibleRequests,
    );
    return new Map(
        possibleCauses.flatMap(([fingerprint, crashes]): [Fingerprint, CrashSuspect][] => {
            if (requests.condemned.has(fingerprint) || parts.condemned.has(fingerprint)) {
                return [[fingerprint, { crashes: crashes.size, condemned: true }]];
            }
            // What a condemned request has crashed may be due to a part of its prompt.
            const remaining = isPartFingerprint(fingerprint) ? [...crashes] : listUnattributed(requests, crashes);
            const unattributed = remaining.filter(crash => !parts.attributed.has(crash)).length;
            if (unattributed === 0) {
                return [];
            }
            const rivals = parts.rivals.get(fingerprint);
            return [[fingerprint, {
                crashes: unattributed,
                condemned: false,
                ...rivals === undefined ? {} : { rivals },
            }]];
        }),
    );
}
