import type { Fingerprint } from "../../types/index.js";
import type { CrashEvidence, CrashRow, CrashSuspect } from "./types.js";

/**
 * Tells whether an answer rules a request out as the cause of a crash. A request that crashes each backend server is
 * never answered, so an answer exonerates it from the crashes that were noticed before the answer or at most the answer
 * memory after it.
 */
function isRuledOut({ answers, options }: CrashEvidence, fingerprint: Fingerprint, { at }: CrashRow): boolean {
    const answeredAt = answers.get(fingerprint);
    return answeredAt !== undefined && at - answeredAt <= options.answerMemory;
}

/** Lists the crashes that each request may have caused, the request with the most crashes first. */
function listPossibleCrashes(evidence: CrashEvidence): (readonly [Fingerprint, ReadonlySet<string>])[] {
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
 * Decides which requests crash backend servers. A request is condemned once `maximumCrashes` crashes can be attributed
 * to it. A crash that is attributed to a condemned request no longer counts against the other requests that were in
 * progress on that server. If several requests were in progress in all of the same crashes, the verdict waits for one
 * more crash; if that one does not tell them apart, all of them are condemned.
 *
 * @param evidence - crashes and answers; not changed
 * @returns the requests that may have crashed backend servers, with their crashes
 */
export function findCrashSuspects(evidence: CrashEvidence): ReadonlyMap<Fingerprint, CrashSuspect> {
    const { maximumCrashes } = evidence.options;
    const possibleCrashes = listPossibleCrashes(evidence);
    const condemned = new Set<Fingerprint>();
    const attributed = new Set<string>();
    const listUnattributed = (crashes: ReadonlySet<string>): string[] =>
        [...crashes].filter(crash => !attributed.has(crash));
    for (const [fingerprint, crashes] of possibleCrashes) {
        const unattributed = listUnattributed(crashes);
        if (unattributed.length < maximumCrashes) {
            continue;
        }
        const alternatives = possibleCrashes.filter(([other, otherCrashes]) =>
            other !== fingerprint && unattributed.every(crash => otherCrashes.has(crash))
        );
        if (alternatives.length > 0 && unattributed.length === maximumCrashes) {
            continue;
        }
        for (const [found, foundCrashes] of [[fingerprint, crashes] as const, ...alternatives]) {
            condemned.add(found);
            foundCrashes.forEach(crash => attributed.add(crash));
        }
    }
    return new Map(
        possibleCrashes.flatMap(([fingerprint, crashes]): [Fingerprint, CrashSuspect][] => {
            if (condemned.has(fingerprint)) {
                return [[fingerprint, { crashes: crashes.size, condemned: true }]];
            }
            const unattributed = listUnattributed(crashes).length;
            return unattributed === 0 ? [] : [[fingerprint, { crashes: unattributed, condemned: false }]];
        }),
    );
}
