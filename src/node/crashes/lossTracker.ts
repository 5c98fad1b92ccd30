import type { Clock, Fingerprint, InstanceId, Milliseconds } from "../../types/index.js";

/** Crash of a backend server, as its agent reported it or as a broken connection suggests. */
export interface CrashReport {
    readonly crashId: string;
    /** Requests that were in progress on the backend server, as far as they are known. */
    readonly fingerprints: readonly Fingerprint[];
    /** True if it is certain that a single request was in progress. */
    readonly alone: boolean;
}

/** Groups requests whose connections break together, when no agent is left to report a crash. */
export interface LossTracker {
    /**
     * Notes a request in progress.
     *
     * @param instance - where it runs
     * @param fingerprint - the request
     * @returns function to call when the request has ended
     */
    begin(instance: InstanceId, fingerprint: Fingerprint): () => void;
    /**
     * Notes a broken connection.
     *
     * @param instance - where the request ran
     * @param fingerprint - the request
     * @param alone - true if the agent ran the request with no other beside it
     * @returns the crash that this suggests; the same identifier for all requests that broke together
     */
    noteLoss(instance: InstanceId, fingerprint: Fingerprint, alone: boolean): CrashReport;
}

interface Loss {
    readonly startedAt: Milliseconds;
    readonly fingerprints: Set<Fingerprint>;
}

/** Time in which connections that break one after the other count as broken by the same loss. */
const lossWindow: Milliseconds = 1_000;

/**
 * Creates the tracker.
 *
 * @param clock - time
 * @returns the tracker
 */
export function createLossTracker(clock: Clock): LossTracker {
    const inProgress = new Map<InstanceId, Map<Fingerprint, number>>();
    const losses = new Map<InstanceId, Loss>();

    function change(instance: InstanceId, fingerprint: Fingerprint, difference: 1 | -1): void {
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
            change(instance, fingerprint, 1);
            return () => change(instance, fingerprint, -1);
        },
        noteLoss: (instance, fingerprint, alone) => {
            const { fingerprints, startedAt } = findLoss(instance);
            fingerprints.add(fingerprint);
            return { crashId: `${instance}/lost-${startedAt}`, fingerprints: [...fingerprints], alone };
        },
    };
}
