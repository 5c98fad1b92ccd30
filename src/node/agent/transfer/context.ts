import type { DistributionOptions } from "../../../runtime/distribution/index.js";
import type { InstanceId, ManifestDigest, Milliseconds } from "../../../types/index.js";
import type { ByteGate } from "./byteGate.js";
import type { PeerCalls } from "./peerCalls.js";
import type { TransferServiceInput, TransferServiceSettings } from "./types.js";
import type { WeightSetState } from "./weightSetState.js";

/** What the parts of the transfer service share. */
export interface TransferContext extends Omit<TransferServiceInput, "options"> {
    readonly settings: TransferServiceSettings;
    readonly options: DistributionOptions;
    readonly calls: PeerCalls;
    /** Bounds the bytes of chunks that are being received. */
    readonly incomingGate: ByteGate;
    readonly sets: Map<ManifestDigest, WeightSetState>;
    /** Ended when the service is disposed of. */
    readonly signal: AbortSignal;
    readonly counters: { originBytes: number; peerReceivedBytes: number; peerSentBytes: number; };
    /**
     * Tells whether a set is still the one to be transferred.
     *
     * @param set - the set for which work was begun
     * @returns false after a change of the target or after disposal
     */
    isTarget(set: WeightSetState): boolean;
    /**
     * Keeps the service from ending before work in progress has.
     *
     * @param work - promise that never rejects
     */
    track(work: Promise<void>): void;
    /** Requests chunks soon, if transfers may begin. */
    requestTransfers(): void;
    /**
     * Writes a log line.
     *
     * @param fields - what the line names besides the set
     * @param message - event
     * @param set - set that it concerns
     */
    logEvent(fields: Readonly<Record<string, unknown>>, message: string, set: WeightSetState): void;
}

/**
 * Finds the address of a member.
 *
 * @param set - the set
 * @param instance - the member
 * @returns `host:port`, or undefined if the instance is no member
 */
export function findAddress(set: WeightSetState, instance: InstanceId): string | undefined {
    return set.target.members.find(member => member.instance === instance)?.address;
}

/**
 * Computes a delay that doubles with each failure, with jitter so that agents do not repeat at the same time.
 *
 * @param context - settings and random source
 * @param failures - failures in a row, from 1
 * @returns the delay
 */
export function computeBackoff(context: TransferContext, failures: number): Milliseconds {
    const longest = context.settings.retryFailedAfter * 2 ** Math.min(failures - 1, 4);
    return longest * (0.5 + context.random.next() / 2);
}
