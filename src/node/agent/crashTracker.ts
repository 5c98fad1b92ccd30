import type { BackendServerPort, Clock, Fingerprint, InstanceId, Milliseconds } from "../../types/index.js";

/** Tells crashes of the backend server from other failures, and what was in progress. */
export interface CrashTracker {
    /**
     * Notes a broken request.
     *
     * @param fingerprint - the request
     * @param incarnation - start of the backend server on which the request ran
     * @returns fingerprints of all requests that may have been in progress when it broke
     */
    noteBroken(fingerprint: Fingerprint, incarnation: string | undefined): readonly Fingerprint[];
    /**
     * Finds out whether the backend server has crashed: it cannot be reached, or it has started again.
     *
     * @param incarnation - start of the backend server on which the request ran
     * @returns identifier of the crash, the same for all requests that it broke; undefined if there was none
     */
    identify(incarnation: string | undefined): Promise<string | undefined>;
}

/** Options of {@link createCrashTracker}. */
export interface CrashTrackerOptions {
    readonly self: InstanceId;
    readonly backend: BackendServerPort;
    readonly clock: Clock;
    readonly listInProgress: () => readonly Fingerprint[];
}

/** Time in which requests that break one after the other count as broken by the same crash. */
const crashWindow: Milliseconds = 1_000;

/**
 * Creates the tracker.
 *
 * @param options - backend server and requests in progress
 * @returns the tracker
 */
export function createCrashTracker(options: CrashTrackerOptions): CrashTracker {
    const { backend, clock } = options;
    const brokenAt = new Map<Fingerprint, Milliseconds>();
    let brokenIncarnation: string | undefined;

    function forgetEarlierCrashes(incarnation: string | undefined, now: Milliseconds): void {
        for (const [known, at] of brokenAt) {
            if (now - at > crashWindow || incarnation !== brokenIncarnation) {
                brokenAt.delete(known);
            }
        }
        brokenIncarnation = incarnation;
    }

    return {
        noteBroken: (fingerprint, incarnation) => {
            const now = clock.monotonic();
            forgetEarlierCrashes(incarnation, now);
            brokenAt.set(fingerprint, now);
            return [...new Set([...options.listInProgress(), ...brokenAt.keys()])];
        },
        identify: async incarnation => {
            const state = await backend.readState();
            const crashed = state.isErr || state.value.incarnation !== incarnation;
            return crashed ? `${options.self}/${incarnation ?? "unknown"}` : undefined;
        },
    };
}
