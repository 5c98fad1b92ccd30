import {
    computeOriginBackoff,
    type DistributionOptions,
    type OriginFailureKind,
    type TransferWindow,
} from "../../../runtime/distribution/index.js";
import type { InstanceId, ManifestDigest, Milliseconds } from "../../../types/index.js";
import type { ByteSemaphore } from "./byteSemaphore.js";
import type { PeerCalls } from "./peerCalls.js";
import type { TransferServiceInput, TransferServiceSettings } from "./types.js";
import type { WeightSetState } from "./weightSetState.js";

/** What the parts of the transfer service share. */
export interface TransferContext extends Omit<TransferServiceInput, "options"> {
    readonly settings: TransferServiceSettings;
    readonly options: DistributionOptions;
    readonly calls: PeerCalls;
    /** Limits the bytes that are requested in advance. */
    readonly window: TransferWindow;
    /** Limits the bytes of chunks that are being received. */
    readonly incomingSemaphore: ByteSemaphore;
    readonly sets: Map<ManifestDigest, WeightSetState>;
    /** Aborted when the service is disposed of. */
    readonly signal: AbortSignal;
    readonly counters: { originBytes: number; peerReceivedBytes: number; peerSentBytes: number; };
    /**
     * Returns whether a set is still the target of the transfers.
     *
     * @param set - the set for which an operation was started
     * @returns false after a change of the target or after disposal
     */
    isTarget(set: WeightSetState): boolean;
    /**
     * Makes the disposal of the service wait for an operation.
     *
     * @param work - promise of the operation; must not reject
     */
    track(work: Promise<void>): void;
    /** Schedules the selection of transfers for the next turn of the event loop, if the target is prepared by then. */
    requestTransfers(): void;
    /**
     * Records a chunk that did not match the manifest, which may be wrong.
     *
     * @param set - the set
     * @param index - position of the chunk
     * @param source - instance, or `origin`
     * @param content - bytes that were received; empty if the chunk was not received whole
     */
    recordMismatch(set: WeightSetState, index: number, source: string, content: Uint8Array): void;
    /**
     * Writes a log line.
     *
     * @param fields - fields of the line besides those of the set
     * @param message - message of the line
     * @param set - set that the line is about
     */
    logEvent(fields: Readonly<Record<string, unknown>>, message: string, set: WeightSetState): void;
}

/**
 * Finds the address of a member's agent.
 *
 * @param set - the set
 * @param instance - the member
 * @returns `host:port`; undefined if the instance is not a member
 */
export function findAddress(set: WeightSetState, instance: InstanceId): string | undefined {
    return set.target.members.find(member => member.instance === instance)?.address;
}

/**
 * Computes a delay that doubles with each failure, with jitter so that agents do not retry at the same time.
 *
 * @param context - settings and random source
 * @param failures - number of consecutive failures, from 1
 * @returns the delay
 */
export function computeBackoff(context: TransferContext, failures: number): Milliseconds {
    const longest = context.settings.retryFailedAfter * 2 ** Math.min(failures - 1, 4);
    return longest * (0.5 + context.random.next() / 2);
}

/**
 * Computes the time for which the origin is not asked after a failure.
 *
 * @param context - settings and random source
 * @param set - set whose members may all return to the origin
 * @param failures - number of consecutive failures, from 1
 * @param kind - kind of the last failure
 * @returns the delay
 */
export function computeBackoffAtOrigin(
    { random, settings }: Pick<TransferContext, "random" | "settings">,
    { target }: WeightSetState,
    failures: number,
    kind: OriginFailureKind,
): Milliseconds {
    const { length: members } = target.members;
    return computeOriginBackoff({ kind, failures, firstDelay: settings.retryFailedAfter, members, random });
}
