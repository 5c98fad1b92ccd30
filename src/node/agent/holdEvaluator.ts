import { evaluateHold, type HoldDecision, type WitnessAnswer } from "../../runtime/hold/index.js";
import type { Clock, CopyAssignment, InstanceId, Milliseconds, Offset } from "../../types/index.js";
import type { HeartbeatResponse, StateStore } from "../relay/index.js";

/** Records the answers of witnesses and evaluates this instance's hold. */
export interface HoldEvaluator {
    /**
     * Records an answer of an entry instance, unless a newer one of the same instance is known.
     *
     * @param answer - the answer, whose records have been applied
     */
    recordAnswer(answer: HeartbeatResponse): void;
    /**
     * Evaluates the hold at the current time.
     *
     * @param copy - the copy; undefined if none is assigned
     * @returns the decision
     */
    evaluate(copy: CopyAssignment | undefined): HoldDecision;
}

/**
 * Creates the evaluator of the hold.
 *
 * @param store - state derived from the log, and the time at which it was known to be complete
 * @param clock - clock of the process
 * @param startedAt - monotonic time at which the process started
 * @param holdDuration - time for which a hold lasts without renewal
 * @returns the evaluator
 */
export function createHoldEvaluator(
    store: StateStore,
    clock: Clock,
    startedAt: Milliseconds,
    holdDuration: Milliseconds,
): HoldEvaluator {
    const answers = new Map<InstanceId, WitnessAnswer>();
    let preceding: HoldDecision | undefined;
    let precedingEpoch: Offset | undefined;
    return {
        recordAnswer: answer => {
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
