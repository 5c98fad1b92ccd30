import type { Fingerprint, Milliseconds } from "../../types/index.js";
import { countMoments } from "./condemnParts.js";
import { additionalScatteredCrashes, groupByPlace } from "./crashPlaces.js";
import { listPossibleCrashes } from "./findCrashSuspects.js";
import { isPartFingerprint } from "./promptParts.js";
import type { CrashEvidence, SuspectStanding } from "./types.js";

/**
 * Reads how a request has to be treated. Each read for a condemned request restarts the time for which its crashes are
 * remembered, so that a caller that keeps sending it causes no further crash. A part of a prompt may be harmless later,
 * so its time counts from its crashes alone.
 *
 * @param evidence - evidence; the crashes of a condemned request are marked as used now
 * @param fingerprint - the request, or a shared part of its prompt
 * @param now - monotonic time
 * @returns the standing
 */
export function readCrashStanding(
    evidence: CrashEvidence,
    fingerprint: Fingerprint,
    now: Milliseconds,
): SuspectStanding {
    const suspect = evidence.suspects.get(fingerprint);
    if (suspect === undefined) {
        return "clear";
    }
    if (!suspect.condemned) {
        return "suspect";
    }
    for (const row of isPartFingerprint(fingerprint) ? [] : evidence.crashes.values()) {
        if (row.fingerprints.has(fingerprint)) {
            row.touchedAt = now;
        }
    }
    return "condemned";
}

/** Counts the moments of crashes that count towards the verdict on a part. */
function countTowardsVerdict(evidence: CrashEvidence, part: Fingerprint): number {
    const crashes = listPossibleCrashes(evidence, part);
    const atOnePlace = groupByPlace(crashes, part).map(countMoments);
    return Math.max(countMoments(crashes) - additionalScatteredCrashes, ...atOnePlace);
}

/**
 * Decides whether a request whose backend server has crashed may be retried on another one at once. An attempt whose
 * crash would condemn the request is made only if the caller sends the request again. Crashes at the same moment count
 * once against a part, and those at different places of answers less, as in its verdict.
 *
 * @param evidence - evidence
 * @param fingerprint - the request, or a shared part of its prompt
 * @returns false if one more crash would condemn the request
 */
export function mayRepeatAfterCrash(evidence: CrashEvidence, fingerprint: Fingerprint): boolean {
    const { options, suspects } = evidence;
    const suspect = suspects.get(fingerprint);
    if (suspect === undefined || suspect.condemned) {
        return suspect === undefined;
    }
    return suspect.crashes + 1 < options.maximumCrashes ||
        (isPartFingerprint(fingerprint) && countTowardsVerdict(evidence, fingerprint) + 1 < options.maximumCrashes);
}

/**
 * Time before a crash in which an answer with a part makes it unlikely that the part is the cause. It is longer than the
 * time for which an answer rules the part out: holding requests back is a precaution, and a verdict needs none.
 */
const soundAnswerMemory: Milliseconds = 10_000;

/**
 * Tells whether a part of a prompt may have crashed a backend server before it began to answer.
 *
 * @param evidence - evidence
 * @param part - fingerprint of the part
 * @returns false if for each crash that it may have caused, its requests were being answered there, or one had been
 * answered a short time before
 */
export function mayCrashBeforeAnswer(evidence: CrashEvidence, part: Fingerprint): boolean {
    const answeredAt = evidence.answers.get(part) ?? -Infinity;
    return listPossibleCrashes(evidence, part).some(({ at, events }) =>
        !events.has(part) && at - answeredAt > soundAnswerMemory
    );
}

/**
 * Tells whether a prompt has parts of which one crashes backend servers, while it is not known which one. Only requests
 * with one of them can show that.
 *
 * @param evidence - evidence
 * @param parts - shared parts of the prompt
 * @returns true if one of the parts would be condemned without another one
 */
export function hasRivalParts({ suspects }: CrashEvidence, parts: readonly Fingerprint[]): boolean {
    return parts.some(part => {
        const rivals = suspects.get(part)?.rivals;
        return rivals !== undefined && parts.some(other => other !== part && rivals.has(other));
    });
}
