import type { InstanceId } from "../../types/index.js";
import type { ReplacementDecision, ReplacementInput, WitnessKnowledge } from "./types.js";

/** Only a witness heard within this share of the hold duration can start the confirmation. */
const recentShare = 0.5;
/** A process that started later than this share of the hold duration before the confirmation has not confirmed. */
const sameProcessShare = 0.75;

/**
 * Decides whether the hold on a revoked copy has certainly expired although its holder was not heard.
 *
 * The time starts when a majority of each witness set has applied the revocation. The hold counts as expired when it has
 * passed and a majority, out of the witnesses that confirmed at the start, was heard again since then by the same
 * process. A witness that restarts after that does not count for the holder within the hold duration, so every majority
 * that the holder could find within the time included a member that knew the revocation.
 *
 * @param input - the revocation, the witnesses and the confirmation so far; monotonic milliseconds of the proposer
 * @returns whether the hold has expired, and the confirmation to pass in the next time
 */
export function evaluateReplacement(input: ReplacementInput): ReplacementDecision {
    const { now, preceding } = input;
    const lasting = preceding?.witnesses.filter(witness => hasKnownSince(input, witness, preceding.since)) ?? [];
    if (preceding === undefined || !hasMajorities(input, lasting)) {
        return beginConfirmation(input);
    }
    const heardSince = lasting.filter(witness => input.witnesses.get(witness)!.heardAt >= preceding.since);
    const confirmation = { since: preceding.since, witnesses: lasting };
    const isOver = now - preceding.since >= input.holdDuration + input.holdMargin;
    if (isOver && hasMajorities(input, heardSince)) {
        return { state: "expired", confirmation };
    }
    return { state: "awaiting-expiry", confirmation };
}

function beginConfirmation(input: ReplacementInput): ReplacementDecision {
    const candidates = new Set(input.witnessSets.flat());
    const confirmed = [...candidates].filter(witness => hasConfirmed(input, witness));
    if (!hasMajorities(input, confirmed)) {
        return { state: "awaiting-confirmation", confirmation: undefined };
    }
    return { state: "awaiting-expiry", confirmation: { since: input.now, witnesses: confirmed } };
}

function hasConfirmed(input: ReplacementInput, witness: InstanceId): boolean {
    const knowledge = input.witnesses.get(witness);
    if (knowledge === undefined || input.now - knowledge.heardAt >= input.holdDuration * recentShare) {
        return false;
    }
    return isKnowing(input, knowledge);
}

function isKnowing(input: ReplacementInput, knowledge: WitnessKnowledge): boolean {
    return knowledge.appliedOffset >= input.revokedAt && knowledge.uptime >= input.holdDuration;
}

function hasKnownSince(input: ReplacementInput, witness: InstanceId, since: number): boolean {
    const knowledge = input.witnesses.get(witness);
    if (knowledge === undefined || !isKnowing(input, knowledge)) {
        return false;
    }
    // The distance between the two shares of the hold duration covers delays of the witness's messages.
    const startedAt = knowledge.heardAt - knowledge.uptime;
    return knowledge.heardAt < since || startedAt <= since - input.holdDuration * sameProcessShare;
}

function hasMajorities(input: ReplacementInput, confirmed: readonly InstanceId[]): boolean {
    const known = new Set(confirmed);
    return input.witnessSets.length > 0 && input.witnessSets.every(witnesses => {
        const count = witnesses.filter(witness => known.has(witness)).length;
        return count > witnesses.length / 2;
    });
}
