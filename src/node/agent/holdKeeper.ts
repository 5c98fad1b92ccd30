import { evaluateHold, type HoldDecision, type WitnessAnswer } from "../../runtime/hold/index.js";
import type { Clock, CopyAssignment, InstanceId, Milliseconds, Offset } from "../../types/index.js";
import type { RelayAnswer, StateStore } from "../relay/index.js";

/** Keeps the evidence for this instance's hold and evaluates it. */
export interface HoldKeeper {
    /**
     * Notes an answer of an entry instance.
     *
     * @param answer - the answer; the records that it carried have been applied
     */
    noteAnswer(answer: RelayAnswer): void;
    /**
     * Evaluates the hold at this moment.
     *
     * @param copy - the copy; undefined if none is assigned
     * @returns the decision
     */
    evaluate(copy: CopyAssignment | undefined): HoldDecision;
}

/**
 * Creates the keeper.
 *
 * @param store - state from the log with the age of its knowledge
 * @param clock - time
 * @param startedAt - monotonic time at which the process started
 * @param holdDuration - time for which a hold lasts without renewal
 * @returns the keeper
 */
export function createHoldKeeper(
    store: StateStore,
    clock: Clock,
    startedAt: Milliseconds,
    holdDuration: Milliseconds,
): HoldKeeper {
    const answers = new Map<InstanceId, WitnessAnswer>();
    let preceding: HoldDecision | undefined;
    let precedingEpoch: Offset | undefined;
    return {
        noteAnswer: answer => {
            const { instance, sentAt, logReachable, uptime } = answer;
            const known = answers.get(instance);
            if (known === undefined || known.answeredAt < sentAt) {
                answers.set(instance, { answeredAt: sentAt, logUnreachable: !logReachable, uptime });
            }
        },
        evaluate: copy => {
            const witnessSets = copy === undefined ?
                [] :
                copy.previousWitnesses === undefined ?
                [copy.witnesses] :
                [copy.witnesses, copy.previousWitnesses];
            const decision = evaluateHold({
                preceding: copy?.epoch === precedingEpoch ? preceding : undefined,
                witnessSets,
                logKnownAt: store.logKnownAt,
                answers,
                now: clock.monotonic(),
                startedAt,
                holdDuration,
            });
            preceding = decision;
            precedingEpoch = copy?.epoch;
            return decision;
        },
    };
}
