import type { InstanceId, Milliseconds } from "../../types/index.js";

/** Queueing delay that transfers may add on the instance's link, where live requests wait behind their bytes. */
export const queueDelayTarget: Milliseconds = 100;

/** Chunks in the window when transfers start; enough to keep a link busy while its delay is not known. */
const initialChunks = 2;

/** Time between two adjustments of the window. */
const adjustmentInterval: Milliseconds = 200;

/** Probes that an adjustment needs, so that one slow process does not determine it. */
const probesForAdjustment = 3;

/** Time after which fewer probes suffice, in swarms with few members. */
const longestAdjustmentInterval: Milliseconds = 600;

/** Time without transfers after which the window starts again at its initial size, since the link may have changed. */
const idleAfter: Milliseconds = 1_000;

/** Time after its last answer for which a source's missing answers are attributed to the link. */
const sourceActiveFor: Milliseconds = 2_000;

/** Time for which the lowest delay of a source is kept at least; a changed route may have a higher one. */
const lowestDelayRetention: Milliseconds = 60_000;

/** Time after which bytes of an abandoned transfer no longer count, if its source does not answer. */
const abandonedBytesRetention: Milliseconds = 3_000;

/** State of the transfers when the window is read. */
export interface WindowInput {
    /** Size of the set's largest chunk. */
    readonly chunkBytes: number;
    /** Bytes of the transfers in progress. */
    readonly requestedBytes: number;
    /** Largest size of the window in bytes; rounded up to whole chunks. */
    readonly maximumBytes: number;
    /** Monotonic time. */
    readonly now: Milliseconds;
}

/** Result of `TransferWindow.read`. */
export interface WindowReading {
    /** Bytes that may be requested now: whole chunks, and at least one while no transfer is in progress. */
    readonly availableBytes: number;
    /** Size of the window if this call reduced it. */
    readonly reducedToBytes: number | undefined;
}

/** Answer to a probe. */
export interface ProbeAnswer {
    /** Time at which the source answered, on the source's own clock; undefined if it did not state it. */
    readonly sentAt: Milliseconds | undefined;
}

/** Function that ends a probe; the answer is undefined if the request failed or timed out. */
export type EndProbe = (answer: ProbeAnswer | undefined, now: Milliseconds) => void;

/** Limit of the bytes that are requested in advance, derived from the delay on the instance's link. */
export interface TransferWindow {
    /**
     * Starts to measure the delay of a small request, whose answer waits on the link behind the bytes of transfers.
     *
     * @param source - instance that is asked
     * @param now - monotonic time at which the request is sent
     * @returns function that ends the probe
     */
    startProbe(source: InstanceId, now: Milliseconds): EndProbe;
    /**
     * Counts bytes of a transfer that have arrived.
     *
     * @param bytes - number of bytes
     * @param now - monotonic time
     */
    recordArrival(bytes: number, now: Milliseconds): void;
    /**
     * Counts bytes that may still arrive although their transfer was abandoned, until the source has answered a
     * request sent later, or for 3 s.
     *
     * @param source - source of the transfer
     * @param bytes - bytes that have not arrived
     * @param now - monotonic time
     */
    recordAbandonment(source: InstanceId, bytes: number, now: Milliseconds): void;
    /**
     * Adjusts the window and reads what it has left.
     *
     * @param input - transfers in progress
     * @returns bytes that may be requested
     */
    read(input: WindowInput): WindowReading;
    /**
     * Records that a transfer starts, and computes when its bytes may arrive, if those requested before arrive first.
     *
     * @param requestedBytes - bytes of the other transfers in progress
     * @param now - monotonic time
     * @returns value of `arrivedBytes` from which on the source is expected to send
     */
    recordRequest(requestedBytes: number, now: Milliseconds): number;
    /** Bytes that have arrived since the window was created. */
    readonly arrivedBytes: number;
    /** Monotonic time of the newest arrival; `-Infinity` before the first. */
    readonly arrivedAt: Milliseconds;
    /** True if the delay at the last adjustment exceeded the target. */
    readonly isCongested: boolean;
}

/** Delays of one source. */
interface SourceDelays {
    /** Lowest delay of its answers, which includes the difference between the clocks if the source states the time. */
    lowest: Milliseconds;
    /** Lowest delay of the previous retention time. */
    previousLowest: Milliseconds;
    lowestRoundTrip: Milliseconds;
    /** True if an answer was measured while no transfers were in progress, so that the lowest delay contains no queue. */
    isMeasuredIdle: boolean;
    retainedSince: Milliseconds;
    answeredAt: Milliseconds;
}

interface Probe {
    readonly source: InstanceId;
    readonly startedAt: Milliseconds;
}

/** Queueing delay that a probe has shown. */
interface Measurement {
    readonly startedAt: Milliseconds;
    readonly delay: Milliseconds;
    /** True if it may be too low, since the lowest delay of its source may contain a queue. */
    readonly isLowerBound: boolean;
}

interface AbandonedTransfer {
    readonly source: InstanceId;
    readonly bytes: number;
    readonly abandonedAt: Milliseconds;
}

/**
 * Creates the window of bytes that an agent requests in advance. The delay of answers above the lowest one seen shows
 * how long anything waits on the instance's link, also live requests. It is the time since the source answered, since the
 * request may have waited on the source's link; without that time, it is the round trip. The window grows, up to doubling
 * with each adjustment, while the median delay is below the target, and shrinks in proportion while it is above. Without
 * probes, nothing is known of the delay, and the window grows to its maximum.
 *
 * @returns window at its initial size
 */
export function createTransferWindow(): TransferWindow {
    const delaysBySource = new Map<InstanceId, SourceDelays>();
    const probes = new Set<Probe>();
    let abandoned: AbandonedTransfer[] = [];
    let measurements: Measurement[] = [];
    let windowBytes: number | undefined;
    /** Most bytes requested since the last adjustment. */
    let peakBytes = 0;
    let wasFull = false;
    let adjustedAt: Milliseconds = -Infinity;
    let usedAt: Milliseconds = -Infinity;
    let probedAt: Milliseconds = -Infinity;
    /** Start of the probes that count: earlier ones were sent before the transfers, or when the window was larger. */
    let countedSince: Milliseconds = -Infinity;
    let arrivedBytes = 0;
    let arrivedAt: Milliseconds = -Infinity;
    let isCongested = false;

    function recordDelay({ source, startedAt }: Probe, { sentAt }: ProbeAnswer, now: Milliseconds): void {
        const roundTrip = now - startedAt;
        const delay = sentAt === undefined ? roundTrip : now - sentAt;
        const known = delaysBySource.get(source);
        const delays = known ?? {
            lowest: Infinity,
            previousLowest: Infinity,
            lowestRoundTrip: Infinity,
            isMeasuredIdle: false,
            retainedSince: now,
            answeredAt: now,
        };
        if (now - delays.retainedSince >= lowestDelayRetention) {
            delays.previousLowest = delays.lowest;
            delays.lowest = Infinity;
            delays.retainedSince = now;
        }
        const isOfAnotherClock = computeQueueDelay(delays, delay) > roundTrip;
        if (isOfAnotherClock) {
            delays.lowest = delay;
            delays.previousLowest = Infinity;
            delays.isMeasuredIdle = false;
        }
        delays.isMeasuredIdle ||= now - usedAt >= idleAfter;
        delays.lowest = Math.min(delays.lowest, delay);
        delays.lowestRoundTrip = Math.min(delays.lowestRoundTrip, roundTrip);
        delays.answeredAt = now;
        if (known === undefined) {
            removeUnusedSources(now);
            delaysBySource.set(source, delays);
        }
        abandoned = abandoned.filter(transfer => transfer.source !== source || transfer.abandonedAt > startedAt);
        // The first delay of a source has none that it could be compared with.
        if (known !== undefined && !isOfAnotherClock && startedAt >= countedSince) {
            measurements.push({
                startedAt,
                delay: computeQueueDelay(delays, delay),
                isLowerBound: !delays.isMeasuredIdle,
            });
        }
    }

    function removeUnusedSources(now: Milliseconds): void {
        for (const [source, { answeredAt }] of delaysBySource) {
            if (now - answeredAt >= 2 * lowestDelayRetention) {
                delaysBySource.delete(source);
            }
        }
    }

    /** Delay so far of a probe that has not been answered, if it counts and would be above the target on each way. */
    function readOverdue({ source, startedAt }: Probe, now: Milliseconds): Milliseconds | undefined {
        const delays = delaysBySource.get(source);
        if (delays === undefined || startedAt < countedSince || now - delays.answeredAt >= sourceActiveFor) {
            return undefined;
        }
        const delay = now - startedAt - delays.lowestRoundTrip;
        return delay > 2 * queueDelayTarget ? delay : undefined;
    }

    /** Median queueing delay since the last adjustment; undefined while too few probes show it. */
    function measureDelay(now: Milliseconds): Milliseconds | undefined {
        if (now - probedAt >= sourceActiveFor) {
            return 0;
        }
        // Later probes would count only if their answers were fast.
        const startedUntil = now - queueDelayTarget;
        const areLowerBounds = measurements.every(({ isLowerBound }) => isLowerBound);
        const answered = measurements
            .filter(({ isLowerBound, startedAt }) => startedAt <= startedUntil && isLowerBound === areLowerBounds)
            .map(({ delay }) => delay);
        const overdue = [...probes].map(probe => readOverdue(probe, now)).filter(delay => delay !== undefined);
        const delays = [...answered, ...overdue].sort((left, right) => left - right);
        const needed = now - adjustedAt >= longestAdjustmentInterval ? 1 : probesForAdjustment;
        return delays.length < needed ? undefined : delays[delays.length >> 1];
    }

    function adjust(size: number, { chunkBytes, now }: WindowInput, maximum: number): number {
        if (now - adjustedAt < adjustmentInterval || now < countedSince) {
            return size;
        }
        const delay = measureDelay(now);
        if (delay === undefined) {
            return size;
        }
        let adjusted = size;
        isCongested = delay > queueDelayTarget;
        if (isCongested) {
            adjusted = Math.max(chunkBytes, Math.min(size, peakBytes) * queueDelayTarget / delay);
        }
        else if (wasFull) {
            adjusted = Math.min(maximum, size * (2 - delay / queueDelayTarget));
        }
        restartMeasurement(now);
        if (isCongested) {
            countedSince += Math.min(delay, sourceActiveFor);
        }
        return adjusted;
    }

    function restartMeasurement(now: Milliseconds): void {
        adjustedAt = now;
        countedSince = now;
        measurements = [];
        peakBytes = 0;
        wasFull = false;
    }

    function read(input: WindowInput): WindowReading {
        const { chunkBytes, now, requestedBytes } = input;
        const maximum = Math.max(1, Math.ceil(input.maximumBytes / chunkBytes)) * chunkBytes;
        abandoned = abandoned.filter(({ abandonedAt }) => now - abandonedAt < abandonedBytesRetention);
        const incomingBytes = requestedBytes + countAbandonedBytes();
        let size = Math.min(maximum, windowBytes ?? initialChunks * chunkBytes);
        if (incomingBytes > 0) {
            usedAt = now;
        }
        else if (now - usedAt >= idleAfter) {
            size = Math.min(size, initialChunks * chunkBytes);
            isCongested = false;
            restartMeasurement(now);
        }
        peakBytes = Math.max(peakBytes, incomingBytes);
        wasFull ||= incomingBytes + chunkBytes > size;
        const adjusted = adjust(size, input, maximum);
        windowBytes = adjusted;
        const chunks = Math.max(Math.floor((adjusted - incomingBytes) / chunkBytes), requestedBytes === 0 ? 1 : 0);
        return {
            availableBytes: chunks * chunkBytes,
            reducedToBytes: adjusted < size ? Math.round(adjusted) : undefined,
        };
    }

    function countAbandonedBytes(): number {
        return abandoned.reduce((sum, { bytes }) => sum + bytes, 0);
    }

    return {
        startProbe: (source, now) => {
            const probe = { source, startedAt: now };
            probes.add(probe);
            probedAt = now;
            return (answer, endedAt) => {
                const overdue = readOverdue(probe, endedAt);
                probes.delete(probe);
                if (answer !== undefined) {
                    recordDelay(probe, answer, endedAt);
                }
                else if (overdue !== undefined) {
                    measurements.push({ startedAt: probe.startedAt, delay: overdue, isLowerBound: false });
                }
            };
        },
        recordArrival: (bytes, now) => {
            arrivedBytes += bytes;
            arrivedAt = now;
        },
        recordAbandonment: (source, bytes, now) => {
            abandoned.push({ source, bytes, abandonedAt: now });
        },
        read,
        recordRequest: (requestedBytes, now) => {
            usedAt = now;
            return arrivedBytes + requestedBytes + countAbandonedBytes();
        },
        get arrivedBytes() {
            return arrivedBytes;
        },
        get arrivedAt() {
            return arrivedAt;
        },
        get isCongested() {
            return isCongested;
        },
    };
}

function computeQueueDelay({ lowest, previousLowest }: SourceDelays, delay: Milliseconds): Milliseconds {
    return Math.max(0, delay - Math.min(lowest, previousLowest));
}
