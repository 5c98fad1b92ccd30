import type { Milliseconds } from "../types/index.js";

/**
 * Waits for a given time.
 *
 * @param duration - time to wait
 * @param signal - ends the wait early
 * @returns promise that resolves after the time or when the signal is aborted; it never rejects
 */
export function sleep(duration: Milliseconds, signal?: AbortSignal): Promise<void> {
    return new Promise(resolve => {
        if (signal?.aborted === true) {
            resolve();
            return;
        }
        const finish = (): void => {
            clearTimeout(timer);
            signal?.removeEventListener("abort", finish);
            resolve();
        };
        const timer = setTimeout(finish, duration);
        signal?.addEventListener("abort", finish);
    });
}
