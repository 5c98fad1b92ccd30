import { setTimeout as sleep } from "node:timers/promises";
import type { Milliseconds } from "../../types/index.js";

/**
 * Waits for a time or until a signal is aborted.
 *
 * @param duration - time to wait
 * @param signal - ends the wait early
 * @returns whether the whole time passed
 */
export async function wait(duration: Milliseconds, signal: AbortSignal): Promise<boolean> {
    if (signal.aborted) {
        return false;
    }
    try {
        await sleep(duration, undefined, { signal });
        return true;
    }
    catch {
        return false;
    }
}

/**
 * Waits until a signal is aborted.
 *
 * @param signal - the signal
 * @returns resolves once the signal is aborted
 */
export function waitForAbort(signal: AbortSignal): Promise<void> {
    return new Promise(resolve => {
        if (signal.aborted) {
            resolve();
            return;
        }
        signal.addEventListener("abort", () => resolve(), { once: true });
    });
}
