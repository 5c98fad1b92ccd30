import type { InstanceId } from "../../types/index.js";
import type { ReplacementDecision, ReplacementInput, WitnessKnowledge } from "./types.js";

/** Share of the hold duration; a witness whose newest message is at least this old cannot start a confirmation. */
const maximumWitnessSilenceShare = 0.5;
/**
 * Minimum uptime of a witness at the start of the confirmation, as a share of the hold duration. If the uptime was
 * shorter, the witness has restarted since it confirmed.
 */
const minimumWitnessUptimeShare = 0.75;

/**
 * Decides whether the hold on a revoked copy has certainly expired although its agent has not confirmed the release.
 *
 * The waiting time, hold duration plus margin, starts when a majority of each witness set has applied the revocation.
 * The hold counts as expired once the waiting time has passed and, of the witnesses that confirmed at its start, a
 * majority of each set has sent another message since then without having restarted. A witness that restarts later
 * cannot renew the hold until it has run for the hold duration. So every majority by which the agent could have renewed
 * its hold during the waiting time included a witness that knew the revocation.
 *
 * @param input - the revocation, the witnesses and the confirmation so far; monotonic milliseconds of the proposer
 * @returns whether the hold has expired, and the confirmation to pass to the next call
 */
export function evaluateReplacement(input: ReplacementInput): ReplacementDecision {
    const { now, preceding } = input;
    const confirming = preceding?.witnesses.filter(witness => remainsConfirmed(input, witness, preceding.since)) ?? [];
    if (preceding === undefined || !hasMajorityOfEachSet(input, confirming)) {
        return startConfirmation(input);
    }
    const heardAgain = confirming.filter(witness => input.witnesses.get(witness)!.heardAt >= preceding.since);
    const confirmation = { since: preceding.since, witnesses: confirming };
    const hasElapsed = now - preceding.since >= input.holdDuration + input.holdMargin;
    if (hasElapsed && hasMajorityOfEachSet(input, heardAgain)) {
        return { state: "expired", confirmation };
    }
    return { state: "awaiting-expiry", confirmation };
}

function startConfirmation(input: ReplacementInput): ReplacementDecision {
    const candidates = new Set(input.witnessSets.flat());
    const confirmed = [...candidates].filter(witness => hasConfirmed(input, witness));
    if (!hasMajorityOfEachSet(input, confirmed)) {
        return { state: "awaiting-confirmation", confirmation: undefined };
    }
    return { state: "awaiting-expiry", confirmation: { since: input.now, witnesses: confirmed } };
}

function hasConfirmed(input: ReplacementInput, witness: InstanceId): boolean {
    const knowledge = input.witnesses.get(witness);
    if (knowledge === undefined || input.now - knowledge.heardAt >= input.holdDuration * maximumWitnessSilenceShare) {
        return false;
    }
    return knowsRevocation(input, knowledge);
}

function knowsRevocation(input: ReplacementInput, knowledge: WitnessKnowledge): boolean {
    return knowledge.appliedOffset >= input.revokedAt && knowledge.uptime >= input.holdDuration;
}

function remainsConfirmed(input: ReplacementInput, witness: InstanceId, since: number): boolean {
    const knowledge = input.witnesses.get(witness);
    if (knowledge === undefined || !knowsRevocation(input, knowledge)) {
        return false;
    }
    // The difference between the two shares of the hold duration allows for delays of the witness's messages.
    const startedAt = knowledge.heardAt - knowledge.uptime;
    return knowledge.heardAt < since || startedAt <= since - input.holdDuration * minimumWitnessUptimeShare;
}

function hasMajorityOfEachSet(input: ReplacementInput, confirmed: readonly InstanceId[]): boolean {
    const known = new Set(confirmed);
    return input.witnessSets.length > 0 && input.witnessSets.every(witnesses => {
        const count = witnesses.filter(witness => known.has(witness)).length;
        return count > witnesses.length / 2;
    });
}
