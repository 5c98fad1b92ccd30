import type { InstanceId, Milliseconds } from "../../types/index.js";
import type { HoldDecision, HoldInput } from "./types.js";

const never = Number.NEGATIVE_INFINITY;

/**
 * Decides whether an agent may keep using a copy that is assigned to it. Its hold on the copy is a lease, which is
 * renewed by fresh knowledge of the log or, during an outage of the log, by the answers of the witnesses.
 *
 * @param input - what the agent knows of the log and its witnesses; times in milliseconds of its monotonic clock
 * @returns the decision; `validUntil` is negative infinity if nothing ever renewed the hold
 */
export function evaluateHold(input: HoldInput): HoldDecision {
    const { now, preceding } = input;
    const logExpiry = computeLogExpiry(input);
    if (now < logExpiry) {
        return { held: true, reason: "log-fresh", validUntil: Math.max(logExpiry, computeWitnessExpiry(input)) };
    }
    // Witnesses only extend a hold: without one, the copy may be revoked although no majority of them knows it.
    const isContinued = preceding !== undefined && preceding.held && preceding.validUntil > now;
    const witnessExpiry = isContinued ? computeWitnessExpiry(input) : never;
    const validUntil = Math.max(logExpiry, witnessExpiry);
    if (now < witnessExpiry) {
        return { held: true, reason: "log-outage-confirmed", validUntil };
    }
    return { held: false, reason: "lapsed", validUntil };
}

/**
 * Computes when the hold expires by the knowledge of the log. Knowledge from before the start of the process does not
 * count: an earlier process of this instance may have released the copy since then, and a peer with older state would
 * restore the hold.
 */
function computeLogExpiry({ logKnownAt, startedAt, holdDuration }: HoldInput): Milliseconds {
    return logKnownAt !== undefined && logKnownAt > startedAt ? logKnownAt + holdDuration : never;
}

/** Computes when the hold expires by the witnesses; a majority of every set has to confirm the outage of the log. */
function computeWitnessExpiry(input: HoldInput): Milliseconds {
    if (input.witnessSets.length === 0) {
        return never;
    }
    return Math.min(...input.witnessSets.map(witnesses => computeMajorityExpiry(input, witnesses)));
}

function computeMajorityExpiry(input: HoldInput, witnesses: readonly InstanceId[]): Milliseconds {
    const majority = Math.floor(witnesses.length / 2) + 1;
    const times = witnesses
        .map(witness => getConfirmationTime(input, witness))
        .sort((left, right) => right - left);
    return (times[majority - 1] ?? never) + input.holdDuration;
}

function getConfirmationTime(input: HoldInput, witness: InstanceId): Milliseconds {
    const answer = input.answers.get(witness);
    // A witness that has restarted may have lost the knowledge of a revocation that it had confirmed to a proposer.
    if (answer === undefined || !answer.logUnreachable || answer.uptime < input.holdDuration) {
        return never;
    }
    return answer.answeredAt;
}
