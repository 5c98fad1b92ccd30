import type { Milliseconds } from "../../types/index.js";
import type { DistributionOptions, PeerRow } from "./types.js";

/** Number of consecutive failed transfers after which a source is avoided. */
const consecutiveFailuresUntilAvoided = 2;

/**
 * Counts a corrupt chunk from a source. Once the limit is reached, each corrupt chunk makes the source avoided for a
 * time; avoiding it permanently would leave no source where a link corrupts chunks at random.
 *
 * @param peer - the source; changed in place
 * @param now - monotonic time
 * @param options - options of the transfer decision
 * @returns true if the source is now avoided
 */
export function recordCorruptChunk(peer: PeerRow, now: Milliseconds, options: DistributionOptions): boolean {
    peer.corruptChunks++;
    if (peer.corruptChunks < options.corruptChunksUntilAvoided) {
        return false;
    }
    peer.avoidedUntil = now + options.avoidSourceFor;
    return true;
}

/**
 * Records a transfer that the source aborted or refused although it had reported the chunk. A source that fails twice
 * without a verified chunk in between is avoided for a time, so that the chunk is requested elsewhere.
 *
 * @param peer - the source; changed in place
 * @param now - monotonic time
 * @param options - options of the transfer decision
 */
export function recordFailedTransfer(peer: PeerRow, now: Milliseconds, options: DistributionOptions): void {
    peer.failedTransfers++;
    if (peer.failedTransfers >= consecutiveFailuresUntilAvoided) {
        peer.failedTransfers = 0;
        recordStall(peer, now, options);
    }
}

/**
 * Records a stalled transfer: the source is avoided for a time, which doubles with each stall up to the largest factor,
 * until a chunk of the source has been verified. An agent that answers exchanges but sends nothing would otherwise cost
 * each requester a transfer after each time.
 *
 * @param peer - the source; changed in place
 * @param now - monotonic time
 * @param options - options of the transfer decision
 */
export function recordStall(peer: PeerRow, now: Milliseconds, options: DistributionOptions): void {
    const stalls = peer.stalledTransfers ?? 0;
    peer.stalledTransfers = stalls + 1;
    peer.avoidedUntil = now + options.avoidSourceFor * Math.min(2 ** stalls, options.maximumAvoidFactor);
}

/**
 * Stores what a peer reported.
 *
 * @param peer - changed in place
 * @param bitfield - chunks that the peer holds, of the length that the set needs
 * @param sentBytes - bytes that the peer has sent for the set
 * @param now - monotonic time
 */
export function recordAvailability(peer: PeerRow, bitfield: Uint8Array, sentBytes: number, now: Milliseconds): void {
    if (bitfield.some((byte, position) => (byte & ~(peer.bitfield[position] ?? 0)) !== 0)) {
        peer.progressedAt = now;
    }
    peer.bitfield = bitfield;
    peer.sentBytes = Math.max(sentBytes, peer.sentBytes);
    peer.heardAt = now;
}
