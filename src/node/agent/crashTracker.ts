import type { BackendServerPort, Clock, Fingerprint, InstanceId, Milliseconds } from "../../types/index.js";

/** Detects crashes of the backend server and lists the requests that were in progress. */
export interface CrashTracker {
    /**
     * Records a request that the backend server broke off.
     *
     * @param fingerprint - fingerprint of the request
     * @param incarnation - incarnation of the backend server on which the request ran
     * @returns fingerprints of all requests that may have been in progress at that time
     */
    recordBrokenRequest(fingerprint: Fingerprint, incarnation: string | undefined): readonly Fingerprint[];
    /**
     * Checks whether the backend server has crashed, that is whether it is unreachable or has restarted.
     *
     * @param incarnation - incarnation of the backend server on which the request ran
     * @returns identifier of the crash, the same for all requests that it broke off; undefined if there was none
     */
    identifyCrash(incarnation: string | undefined): Promise<string | undefined>;
}

/** Options of {@link createCrashTracker}. */
export interface CrashTrackerOptions {
    readonly self: InstanceId;
    readonly backend: BackendServerPort;
    readonly clock: Clock;
    readonly listInProgress: () => readonly Fingerprint[];
}

/** Time after the failure of a request within which other failures count as caused by the same crash. */
const crashWindow: Milliseconds = 1_000;

/**
 * Creates the tracker of crashes of the agent's backend server.
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
        recordBrokenRequest: (fingerprint, incarnation) => {
            const now = clock.monotonic();
            forgetEarlierCrashes(incarnation, now);
            brokenAt.set(fingerprint, now);
            return [...new Set([...options.listInProgress(), ...brokenAt.keys()])];
        },
        identifyCrash: async incarnation => {
            const state = await backend.readState();
            const crashed = state.isErr || state.value.incarnation !== incarnation;
            return crashed ? `${options.self}/${incarnation ?? "unknown"}` : undefined;
        },
    };
}
