import type { Fingerprint } from "../../types/index.js";
import type { CrashEvidence, CrashRow, CrashSuspect } from "./types.js";

/** A request that crashes each backend server is never answered, so an answer rules it out for the crashes around it. */
function isRuledOut({ answers, options }: CrashEvidence, fingerprint: Fingerprint, { at }: CrashRow): boolean {
    const answeredAt = answers.get(fingerprint);
    return answeredAt !== undefined && at - answeredAt <= options.answerMemory;
}

/** Lists the crashes that may be blamed on each request, those of the most suspect one first. */
function listBlame(evidence: CrashEvidence): (readonly [Fingerprint, ReadonlySet<string>])[] {
    const blame = new Map<Fingerprint, Set<string>>();
    for (const row of evidence.crashes.values()) {
        for (const fingerprint of row.fingerprints) {
            if (!isRuledOut(evidence, fingerprint, row)) {
                const crashes = blame.get(fingerprint) ?? new Set<string>();
                blame.set(fingerprint, crashes.add(row.crashId));
            }
        }
    }
    return [...blame].sort(([left, leftCrashes], [right, rightCrashes]) =>
        rightCrashes.size - leftCrashes.size || (left < right ? -1 : 1)
    );
}

/**
 * Decides which requests crash backend servers. A crash that a condemned request explains counts against no other request
 * that was in progress in it. If several requests explain the same crashes, one more crash decides between them, and if it
 * does not, all of them are condemned.
 *
 * @param evidence - crashes and answers; it is not changed
 * @returns the requests that crashes are blamed on
 */
export function judgeCrashes(evidence: CrashEvidence): ReadonlyMap<Fingerprint, CrashSuspect> {
    const { maximumCrashes } = evidence.options;
    const blame = listBlame(evidence);
    const condemned = new Set<Fingerprint>();
    const explained = new Set<string>();
    const listOwn = (crashes: ReadonlySet<string>): string[] => [...crashes].filter(crash => !explained.has(crash));
    for (const [fingerprint, crashes] of blame) {
        const own = listOwn(crashes);
        if (own.length < maximumCrashes) {
            continue;
        }
        const rivals = blame.filter(([other, otherCrashes]) =>
            other !== fingerprint && own.every(crash => otherCrashes.has(crash))
        );
        if (rivals.length > 0 && own.length === maximumCrashes) {
            continue;
        }
        for (const [found, foundCrashes] of [[fingerprint, crashes] as const, ...rivals]) {
            condemned.add(found);
            foundCrashes.forEach(crash => explained.add(crash));
        }
    }
    return new Map(
        blame.flatMap(([fingerprint, crashes]): [Fingerprint, CrashSuspect][] => {
            if (condemned.has(fingerprint)) {
                return [[fingerprint, { crashes: crashes.size, condemned: true }]];
            }
            const own = listOwn(crashes).length;
            return own === 0 ? [] : [[fingerprint, { crashes: own, condemned: false }]];
        }),
    );
}
