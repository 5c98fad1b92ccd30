import type { Milliseconds } from "../../types/index.js";
import { computeStepTime, type RequestCost } from "./requestCost.js";
import type { ServerWork } from "./serverWork.js";

/** Requests at a backend server. */
export interface ServerLoad {
    /** Attempts of this process in progress. */
    readonly own: number;
    /** Work of these attempts; undefined if none was sent yet. */
    readonly work: ServerWork | undefined;
    /** Expected requests of other processes, running or queued, by the newest report and its age. */
    readonly others: number;
    /** Those of them whose answer is not expected to have begun. */
    readonly othersWaiting: number;
    /** Age of the report. */
    readonly reportAge: Milliseconds;
    /** Factor on all times of the backend server. */
    readonly slowdown: number;
}

/** Times that are expected for a request at a backend server. */
export interface ExpectedTimes {
    /** Time to the first event. */
    readonly firstEvent: Milliseconds;
    /** Part of it in which the request waits for a slot. */
    readonly slotWait: Milliseconds;
    /** Time to the end of the answer. */
    readonly end: Milliseconds;
    /** Time that the request takes of the backend server beside full slots: to read the prompt and to write its share. */
    readonly cost: Milliseconds;
    /** Time in which the backend server would finish what it has, without the request. */
    readonly remainingWork: Milliseconds;
    /** False if the request and what runs would not fit in the memory of the engine. */
    readonly fits: boolean;
}

/** Expected value of the positive part of a figure with a mean and a spread. */
function computePositivePart(mean: number, spread: number): number {
    // The logistic distribution approximates the normal one, and has a closed form.
    const scale = 0.55 * spread;
    const ratio = mean / scale;
    return ratio > 30 ? mean : scale * Math.log1p(Math.exp(ratio));
}

/**
 * Computes the times that are expected for a request at a backend server. A pass of the engine reads a part of one
 * prompt and writes tokens of all answers in progress, so the prompts ahead are read first, with the steps of the answers
 * in between. If all slots are in use, the request waits until enough answers have ended.
 *
 * @param cost - cost of the request
 * @param load - what the backend server has
 * @returns the times
 */
export function computeExpectedTimes(cost: RequestCost, load: ServerLoad): ExpectedTimes {
    const { slots, timing, usual, usualDecode, usualPrefill } = cost;
    const { others, othersWaiting, own, slowdown, work } = load;
    const open = own + others;
    const context = usual.promptTokens + usual.outputTokens / 2;
    const step = computeStepTime(timing, Math.min(slots, open), context);

    // Prompts ahead, as the time in which an idle engine at usual speed reads them.
    // They count in full until their first event, since it is not seen whether they are being read or wait for a slot.
    const unread = (work?.unreadTokens ?? 0) * 1_000 / timing.promptTokensPerSecond;
    const readShare = usualPrefill / (usualPrefill + usualDecode);
    const othersUnread = usualPrefill * (othersWaiting + readShare * Math.max(0, others - othersWaiting));
    const reading = unread + othersUnread + cost.prefill;
    const passes = 1 + reading * timing.promptTokensPerSecond / 1_000 / timing.passTokens;
    const decoding = Math.min(1, open);
    const steps = passes * timing.stepsPerPass * step * decoding + (1 - decoding) * timing.stepsPerPass * step;

    // An answer that is in progress is more likely to be a long one, so as much is left of it as a new one has on average.
    const outputLeft = (work?.outputTokens ?? 0) + others * usual.outputTokens;
    const meanLeft = open <= 0 ? 0 : outputLeft / open * step;
    // What has begun and ended since the last report is not known, so a slot may be free or not on either side of full.
    const changed = Math.min(1, 2 * load.reportAge / usualDecode);
    const ending = computePositivePart(open + 1 - slots, 0.5 + Math.sqrt(others * changed));
    const slotWait = ending * meanLeft / slots;

    const firstEvent = slowdown * (slotWait + reading + steps);
    const interruptions = usualPrefill / Math.max(usualDecode, 1) * Math.min(slots, open);
    const memory = (work?.memoryTokens ?? 0) + others * context + cost.promptTokens + cost.outputTokens;
    return {
        firstEvent,
        slotWait: slowdown * slotWait,
        end: firstEvent + slowdown * cost.outputTokens * step * (1 + interruptions),
        cost: slowdown * (cost.prefill + cost.outputTokens * step / slots),
        remainingWork: slowdown * (unread + othersUnread + outputLeft * step / slots),
        fits: timing.memoryTokens === undefined || memory <= timing.memoryTokens,
    };
}
