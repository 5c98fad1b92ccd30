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
/** Minimum number of requests with a part, since the crashes of one request are no evidence against its parts. */
const minimumRequests = 2;
/** Moments by which a part must exceed another one that was in enough of the same crashes. */
const rivalMargin = 2;
/** Factor on the number of moments after which a part is condemned although others were in the same crashes. */
const undecidedFactor = 2;

/** Crashes that a request or a part of its prompt may have caused. */
type PossibleCause = readonly [Fingerprint, ReadonlySet<string>];

/** Crashes that were attributed to condemned requests and parts. */
interface Verdicts {
    readonly condemned: Set<Fingerprint>;
    /** Condemned request or part that each crash is attributed to. */
    readonly attributed: Map<string, Fingerprint>;
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

function listUnattributed({ attributed }: Verdicts, crashes: ReadonlySet<string>): string[] {
    return [...crashes].filter(crash => !attributed.has(crash));
}

function condemn({ attributed, condemned }: Verdicts, [fingerprint, crashes]: PossibleCause): void {
    condemned.add(fingerprint);
    crashes.forEach(crash => attributed.set(crash, attributed.get(crash) ?? fingerprint));
}

/**
 * Condemns requests. If several were in progress in all of the same crashes, the verdict waits for one more crash; if
 * that one does not tell them apart, all of them are condemned.
 */
function condemnRequests(requests: readonly PossibleCause[], maximumCrashes: number): Verdicts {
    const verdicts: Verdicts = { condemned: new Set(), attributed: new Map() };
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

/**
 * Condemns parts of prompts. Crashes count by moments, and those of one condemned request are not enough. While another
 * part was in nearly all of the same crashes, the verdict waits for an answer that rules one of them out. If none comes,
 * those are condemned that were not answered before the crashes either.
 */
function condemnParts(
    { answers, crashes: rows, options: { maximumCrashes } }: CrashEvidence,
    parts: readonly PossibleCause[],
    requests: Verdicts,
): Verdicts {
    const verdicts: Verdicts = { condemned: new Set(), attributed: new Map() };

    function countMoments(crashes: readonly string[]): number {
        let moments = 0;
        let momentStart = -Infinity;
        for (const at of crashes.map(crash => rows.get(crash)!.at).sort((left, right) => left - right)) {
            if (at - momentStart > momentWindow) {
                moments++;
                momentStart = at;
            }
        }
        return moments;
    }

    function countRequests(crashes: readonly string[]): number {
        return new Set(crashes.map(crash => requests.attributed.get(crash) ?? crash)).size;
    }

    function isRival([, otherCrashes]: PossibleCause, unattributed: readonly string[]): boolean {
        const common = unattributed.filter(crash => otherCrashes.has(crash));
        return countMoments(common) >= maximumCrashes &&
            countMoments(unattributed.filter(crash => !otherCrashes.has(crash))) < rivalMargin;
    }

    const candidates = parts.filter(([, crashes]) => crashes.size >= maximumCrashes);
    for (const candidate of candidates) {
        const unattributed = listUnattributed(verdicts, candidate[1]);
        const moments = countMoments(unattributed);
        const rivals = candidates.filter(other => other !== candidate && isRival(other, unattributed));
        const isUndecided = rivals.length > 0 && moments < maximumCrashes * undecidedFactor;
        if (moments < maximumCrashes || countRequests(unattributed) < minimumRequests || isUndecided) {
            continue;
        }
        const found = [candidate, ...rivals];
        const unanswered = found.filter(([fingerprint]) => !answers.has(fingerprint));
        (unanswered.length > 0 ? unanswered : found).forEach(cause => condemn(verdicts, cause));
    }
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
    const requests = condemnRequests(
        possibleCauses.filter(([fingerprint]) => !isPartFingerprint(fingerprint)),
        evidence.options.maximumCrashes,
    );
    const parts = condemnParts(
        evidence,
        possibleCauses.filter(([fingerprint]) => isPartFingerprint(fingerprint)),
        requests,
    );
    return new Map(
        possibleCauses.flatMap(([fingerprint, crashes]): [Fingerprint, CrashSuspect][] => {
            if (requests.condemned.has(fingerprint) || parts.condemned.has(fingerprint)) {
                return [[fingerprint, { crashes: crashes.size, condemned: true }]];
            }
            const unattributed = listUnattributed(requests, crashes).filter(crash =>
                !parts.attributed.has(crash)
            ).length;
            return unattributed === 0 ? [] : [[fingerprint, { crashes: unattributed, condemned: false }]];
        }),
    );
}
