import type { Fingerprint, Milliseconds } from "../../types/index.js";
import { condemnParts } from "./condemnParts.js";
import { isPartFingerprint } from "./promptParts.js";
import type { CrashEvidence, CrashRow, CrashSuspect } from "./types.js";
import { condemn, listUnattributed, type PossibleCause, type Verdicts } from "./verdicts.js";

/**
 * Time for which an answer rules a part of its prompt out as the cause of later crashes. It is short, since a part may
 * begin to crash backend servers.
 */
const partAnswerMemory: Milliseconds = 1_000;

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
 * server is never answered completely, so a complete answer exonerates it from the crashes that were noticed before the
 * answer or at most the answer memory after it.
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

/**
 * Lists the crashes that a request or part may have caused.
 *
 * @param evidence - crashes and answers
 * @param fingerprint - the request or part
 * @returns the crashes that no answer rules out
 */
export function listPossibleCrashes(evidence: CrashEvidence, fingerprint: Fingerprint): CrashRow[] {
    return [...evidence.crashes.values()].filter(row =>
        row.fingerprints.has(fingerprint) && !isRuledOut(evidence, fingerprint, row)
    );
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
