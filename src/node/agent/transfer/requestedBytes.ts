import type { TransferRow } from "../../../runtime/distribution/index.js";
import type { Manifest, Milliseconds } from "../../../types/index.js";
import type { TransferContext } from "./context.js";
import type { WeightSetState } from "./weightSetState.js";

/**
 * Counts the bytes of the transfers in progress.
 *
 * @param set - the set
 * @param manifest - manifest of the set
 * @returns number of bytes, including those that have arrived
 */
export function countRequestedBytes(set: WeightSetState, manifest: Manifest): number {
    let requestedBytes = 0;
    for (const { index } of set.transfers.rows()) {
        requestedBytes += manifest.chunks[index]!.bytes;
    }
    return requestedBytes;
}

/**
 * Adjusts the transfer window and reads how many bytes may be requested.
 *
 * @param context - context of the service
 * @param set - the target
 * @param manifest - manifest of the set
 * @param now - monotonic time
 * @returns number of bytes
 */
export function readAvailableBytes(
    context: TransferContext,
    set: WeightSetState,
    manifest: Manifest,
    now: Milliseconds,
): number {
    const chunkBytes = manifest.chunks.reduce((largest, { bytes }) => Math.max(largest, bytes), 1);
    const { availableBytes, reducedToBytes } = context.window.read({
        chunkBytes,
        requestedBytes: countRequestedBytes(set, manifest),
        maximumBytes: Math.min(
            context.linkBudget.available("incoming"),
            context.options.maximumTransfers * chunkBytes,
        ),
        now,
    });
    if (reducedToBytes !== undefined) {
        context.logEvent({ windowBytes: reducedToBytes }, "transfer window reduced", set);
    }
    return availableBytes;
}

/**
 * Counts the bytes of an abandoned transfer, which its source may have sent.
 *
 * @param context - context of the service
 * @param manifest - manifest of the set
 * @param transfer - chunk and source of the transfer
 */
export function recordUnreceivedBytes(
    context: TransferContext,
    manifest: Manifest,
    { index, source }: Pick<TransferRow, "index" | "source">,
): void {
    context.window.recordAbandonment(source, manifest.chunks[index]!.bytes, context.clock.monotonic());
}

/**
 * Abandons all transfers of a set.
 *
 * @param context - context of the service
 * @param set - the set
 */
export function abandonTransfers(context: TransferContext, set: WeightSetState): void {
    for (const controller of set.controllers.values()) {
        controller.abort();
    }
    set.controllers.clear();
    for (const row of [...set.transfers.rows()]) {
        if (set.manifest !== undefined) {
            recordUnreceivedBytes(context, set.manifest, row);
        }
        set.transfers.delete(row.index);
    }
}
