import type { Clock, Fingerprint, InstanceId, Milliseconds } from "../../types/index.js";

/** Crash of a backend server, either reported by its agent or inferred from broken connections. */
export interface CrashReport {
    readonly crashId: string;
    /** Known requests that were in progress on the backend server. */
    readonly fingerprints: readonly Fingerprint[];
    /** True if certainly no other request was in progress. */
    readonly alone: boolean;
}

/** Groups requests whose connections break together, which suggests a crash that no agent is left to report. */
export interface LossTracker {
    /**
     * Records a request in progress.
     *
     * @param instance - backend server that runs it
     * @param fingerprint - the request
     * @returns function to call when the request has ended
     */
    begin(instance: InstanceId, fingerprint: Fingerprint): () => void;
    /**
     * Records a broken connection.
     *
     * @param instance - backend server that ran the request
     * @param fingerprint - the request
     * @param alone - true if the backend server ran no other request at the same time
     * @returns the suspected crash, with the same identifier for all requests whose connections broke together
     */
    recordLoss(instance: InstanceId, fingerprint: Fingerprint, alone: boolean): CrashReport;
}

interface Loss {
    readonly startedAt: Milliseconds;
    readonly fingerprints: Set<Fingerprint>;
}

/** Time within which broken connections to the same backend server count as one loss. */
const lossWindow: Milliseconds = 1_000;

/**
 * Creates the tracker of broken connections to backend servers.
 *
 * @param clock - source of the monotonic time
 * @returns the tracker, empty
 */
export function createLossTracker(clock: Clock): LossTracker {
    const inProgress = new Map<InstanceId, Map<Fingerprint, number>>();
    const losses = new Map<InstanceId, Loss>();

    function adjustCount(instance: InstanceId, fingerprint: Fingerprint, difference: 1 | -1): void {
        const counts = inProgress.get(instance) ?? new Map<Fingerprint, number>();
        const count = (counts.get(fingerprint) ?? 0) + difference;
        if (count === 0) {
            counts.delete(fingerprint);
        }
        else {
            counts.set(fingerprint, count);
        }
        if (counts.size === 0) {
            inProgress.delete(instance);
        }
        else {
            inProgress.set(instance, counts);
        }
    }

    function findLoss(instance: InstanceId): Loss {
        const now = clock.monotonic();
        const known = losses.get(instance);
        if (known !== undefined && now - known.startedAt <= lossWindow) {
            return known;
        }
        for (const [other, { startedAt }] of losses) {
            if (now - startedAt > lossWindow) {
                losses.delete(other);
            }
        }
        const loss = { startedAt: now, fingerprints: new Set(inProgress.get(instance)?.keys()) };
        losses.set(instance, loss);
        return loss;
    }

    return {
        begin: (instance, fingerprint) => {
            adjustCount(instance, fingerprint, 1);
            return () => adjustCount(instance, fingerprint, -1);
        },
        recordLoss: (instance, fingerprint, alone) => {
            const { fingerprints, startedAt } = findLoss(instance);
            fingerprints.add(fingerprint);
            return { crashId: `${instance}/lost-${startedAt}`, fingerprints: [...fingerprints], alone };
        },
    };
}
