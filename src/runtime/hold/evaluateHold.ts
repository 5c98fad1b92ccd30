import type { InstanceId, Milliseconds } from "../../types/index.js";
import type { HoldDecision, HoldInput } from "./types.js";

const never = Number.NEGATIVE_INFINITY;

/**
 * Decides whether a holder may keep its copies.
 *
 * @param input - what the holder knows of the log and its witnesses; times in milliseconds of its monotonic clock
 * @returns the decision; `validUntil` is negative infinity if nothing ever renewed the hold
 */
export function evaluateHold(input: HoldInput): HoldDecision {
    const { now, preceding } = input;
    const logUntil = readLogLimit(input);
    if (now < logUntil) {
        return { held: true, reason: "log-fresh", validUntil: Math.max(logUntil, readWitnessLimit(input)) };
    }
    // The first hold and one after a lapse come from the log: the revocation may be known to no majority of witnesses.
    const isContinued = preceding !== undefined && preceding.held && preceding.validUntil > now;
    const witnessUntil = isContinued ? readWitnessLimit(input) : never;
    const validUntil = Math.max(logUntil, witnessUntil);
    if (now < witnessUntil) {
        return { held: true, reason: "log-outage-confirmed", validUntil };
    }
    return { held: false, reason: "lapsed", validUntil };
}

/**
 * Knowledge from before the start does not count: an earlier process of this instance may have released the copy since,
 * and a peer with older state would give the hold back.
 */
function readLogLimit({ logKnownAt, startedAt, holdDuration }: HoldInput): Milliseconds {
    return logKnownAt !== undefined && logKnownAt > startedAt ? logKnownAt + holdDuration : never;
}

/** The outage has to be confirmed by a majority of every set that applies. */
function readWitnessLimit(input: HoldInput): Milliseconds {
    if (input.witnessSets.length === 0) {
        return never;
    }
    return Math.min(...input.witnessSets.map(witnesses => readMajorityLimit(input, witnesses)));
}

function readMajorityLimit(input: HoldInput, witnesses: readonly InstanceId[]): Milliseconds {
    const majority = Math.floor(witnesses.length / 2) + 1;
    const times = witnesses
        .map(witness => readConfirmation(input, witness))
        .sort((left, right) => right - left);
    return (times[majority - 1] ?? never) + input.holdDuration;
}

function readConfirmation(input: HoldInput, witness: InstanceId): Milliseconds {
    const answer = input.answers.get(witness);
    // A witness that has just started may have lost knowledge that it confirmed to a proposer before.
    if (answer === undefined || !answer.logUnreachable || answer.uptime < input.holdDuration) {
        return never;
    }
    return answer.answeredAt;
}
