import type { InstanceId, Milliseconds } from "../../types/index.js";
import { hasChunk } from "./bitfield.js";
import { mayAskOrigin } from "./originBackoff.js";
import { countZoneReaders, mayReadFromOtherZones, mayTakeOver } from "./originReaders.js";
import { computeOriginWindow } from "./originWindow.js";
import type { PeerRow, TransferCommand, TransferInput, TransferRow } from "./types.js";

/** Name of the origin as the source of a transfer. */
export const originSource = "origin";

/** Steps per copy of the set to which the bytes sent by a holder are rounded down when holders are compared. */
const sentBytesStepsPerCopy = 10;

/** Chunk that is neither held nor being transferred. */
interface MissingChunk {
    readonly index: number;
    /** Peers that hold it and are not avoided, including those that refused a request as choked a moment ago. */
    readonly holders: readonly PeerRow[];
    /** Random tie-breaker among equally rare chunks. */
    readonly order: number;
}

/** Capacity that remains while commands are chosen. */
interface Capacity {
    transfers: number;
    originTransfers: number;
    budgetBytes: number;
    readonly transfersByPeer: Map<InstanceId, number>;
}

/**
 * Decides which chunks to request from which source and which transfers to abandon.
 *
 * @param input - the set, what is held, known peers and transfers in progress
 * @returns commands; those that abandon a transfer come first, and their chunks are requested in the next call
 */
export function selectTransfers(input: TransferInput): TransferCommand[] {
    const commands = abandonStalled(input);
    const capacity = computeCapacity(input, commands.length);
    if (capacity.transfers <= 0 || capacity.budgetBytes <= 0) {
        return commands;
    }
    const missing = listMissing(input);
    const steps = [selectFirstOriginReads, selectAdditionalOriginReads, selectPeerTransfers, selectOriginTakeovers];
    const requested = new Set<number>();
    for (const step of steps) {
        const chosen = step(input, missing.filter(({ index }) => !requested.has(index)), capacity);
        for (const { index } of chosen) {
            requested.add(index);
        }
        commands.push(...chosen);
    }
    return commands;
}

function abandonStalled(input: TransferInput): TransferCommand[] {
    const commands: TransferCommand[] = [];
    const { now, options, transfers } = input;
    for (const row of transfers.rows()) {
        const { index, progressedAt, source } = row;
        const limit = source === originSource ? options.originStallAfter : options.stallAfter;
        if (now - progressedAt >= limit && !isBehindOthers(input, row, limit)) {
            commands.push({ kind: "abandon", index, source, reason: `no bytes for ${limit} ms` });
        }
    }
    return commands;
}

/**
 * Tells whether the bytes of a transfer may be waiting on this instance's link behind those of earlier requests, which
 * are still arriving. Its source is not at fault then, and another one would be no faster.
 */
function isBehindOthers(
    { arrivedAt, arrivedBytes, now }: TransferInput,
    { turnAtBytes }: TransferRow,
    limit: Milliseconds,
): boolean {
    return arrivedBytes < (turnAtBytes ?? 0) && now - arrivedAt < limit;
}

function computeCapacity(input: TransferInput, abandoned: number): Capacity {
    const { options, transfers } = input;
    const transfersByPeer = new Map<InstanceId, number>();
    for (const { source } of transfers.rows()) {
        transfersByPeer.set(source, (transfersByPeer.get(source) ?? 0) + 1);
    }
    return {
        transfers: options.maximumTransfers - transfers.size + abandoned,
        originTransfers: options.maximumOriginTransfers - (transfersByPeer.get(originSource) ?? 0),
        budgetBytes: input.budgetBytes,
        transfersByPeer,
    };
}

function listMissing(input: TransferInput): MissingChunk[] {
    const { held, manifest, now, peers, random, transfers } = input;
    const usable = [...peers.rows()].filter(peer => peer.avoidedUntil <= now);
    const missing: MissingChunk[] = [];
    for (let index = 0; index < manifest.chunks.length; index++) {
        if (hasChunk(held, index) || transfers.has(index)) {
            continue;
        }
        const holders = usable.filter(({ bitfield }) => hasChunk(bitfield, index));
        missing.push({ index, holders, order: random.next() });
    }
    return missing.sort((left, right) => left.holders.length - right.holders.length || left.order - right.order);
}

/** Reserves capacity for one request; returns false if none is left. */
function reserveCapacity(input: TransferInput, capacity: Capacity, index: number): boolean {
    if (capacity.transfers <= 0 || capacity.budgetBytes <= 0) {
        return false;
    }
    capacity.transfers--;
    capacity.budgetBytes -= input.manifest.chunks[index]!.bytes;
    return true;
}

function mayReadOrigin(input: TransferInput, capacity: Capacity): boolean {
    return capacity.originTransfers > 0 && input.neighboursAnswered && mayAskOrigin(input);
}

/**
 * Computes the number of chunks, in the order of the manifest, that may be read from the origin now: those that are known
 * to be held somewhere, and a window of further ones. If all readers began at once, they would share the origin's link, and no
 * chunk would be forwarded before nearly all have been read. While no further chunk becomes available, the window grows
 * with each takeover time, so that dead readers delay only the chunks of one window.
 */
function countReadableChunks(input: TransferInput): number {
    const { availableSince, held, manifest, now, options, startedAt } = input;
    const chunks = manifest.chunks.length;
    const window = computeOriginWindow(manifest, options);
    if (window === 0) {
        return chunks;
    }
    let known = 0;
    let newestAt = startedAt;
    for (let index = 0; index < chunks; index++) {
        const since = availableSince.get(index);
        known += since !== undefined || hasChunk(held, index) ? 1 : 0;
        newestAt = Math.max(newestAt, since ?? startedAt);
    }
    const missedTakeovers = Math.floor((now - newestAt) / options.originTakeoverAfter);
    return known + window * (1 + missedTakeovers);
}

/** Selects chunks that no known agent holds and for which this agent is the first origin reader. */
function selectFirstOriginReads(
    input: TransferInput,
    missing: readonly MissingChunk[],
    capacity: Capacity,
): TransferCommand[] {
    const commands: TransferCommand[] = [];
    const readable = countReadableChunks(input);
    for (const { holders, index } of missing) {
        if (holders.length > 0 || !mayReadOrigin(input, capacity)) {
            break;
        }
        if (index < readable && input.originReaders.rankOf(index) === 0 && reserveCapacity(input, capacity, index)) {
            capacity.originTransfers--;
            commands.push({ kind: "fetch-from-origin", index, reason: "first origin reader of the chunk" });
        }
    }
    return commands;
}

/**
 * Selects, with the objective `time`, chunks with too few sources for which this agent is one of the origin readers.
 */
function selectAdditionalOriginReads(
    input: TransferInput,
    missing: readonly MissingChunk[],
    capacity: Capacity,
): TransferCommand[] {
    const commands: TransferCommand[] = [];
    const { objective, options, originReaders } = input;
    if (objective !== "time") {
        return commands;
    }
    for (const { holders, index } of missing) {
        if (holders.length >= options.sourcesForTime || !mayReadOrigin(input, capacity)) {
            break;
        }
        if (originReaders.rankOf(index) < options.originReadersForTime && reserveCapacity(input, capacity, index)) {
            capacity.originTransfers--;
            commands.push({ kind: "fetch-from-origin", index, reason: "the chunk has too few sources" });
        }
    }
    return commands;
}

/** Selects chunks that no known agent holds and whose preceding origin readers have all failed. */
function selectOriginTakeovers(
    input: TransferInput,
    missing: readonly MissingChunk[],
    capacity: Capacity,
): TransferCommand[] {
    const commands: TransferCommand[] = [];
    const { now, options, originReaders, peers, startedAt } = input;
    if (now - startedAt < options.originTakeoverAfter) {
        return commands;
    }
    const readable = countReadableChunks(input);
    for (const { holders, index } of missing) {
        if (holders.length > 0 || !mayReadOrigin(input, capacity) || capacity.transfers <= 0) {
            break;
        }
        if (index >= readable) {
            continue;
        }
        const precedingReaders = originReaders.precedingReaders(index);
        if (
            mayTakeOver({ precedingReaders, peers, index, startedAt, now, options }) &&
            reserveCapacity(input, capacity, index)
        ) {
            capacity.originTransfers--;
            commands.push({ kind: "fetch-from-origin", index, reason: "the readers before have failed" });
        }
    }
    return commands;
}

function selectPeerTransfers(
    input: TransferInput,
    missing: readonly MissingChunk[],
    capacity: Capacity,
): TransferCommand[] {
    const commands: TransferCommand[] = [];
    for (const { holders, index } of missing) {
        if (capacity.transfers <= 0 || capacity.budgetBytes <= 0) {
            break;
        }
        const askable = selectHolders(input, index, holders);
        const peer = choosePeer(input, askable, capacity);
        if (peer === undefined || !reserveCapacity(input, capacity, index)) {
            continue;
        }
        const { instance } = peer;
        capacity.transfersByPeer.set(instance, (capacity.transfersByPeer.get(instance) ?? 0) + 1);
        // Holders in other zones are no alternative while this agent may not ask them.
        const lastResort = askable.every(holder => isAllowanceUsed(input, holder, index));
        commands.push({
            kind: "fetch-from-peer",
            index,
            peer: instance,
            lastResort,
            reason: `least share sent of ${holders.length} holders`,
        });
    }
    return commands;
}

/** Selects holders that may be asked: those of this agent's zone, or all if it may read the chunk from other zones. */
function selectHolders(input: TransferInput, index: number, holders: readonly PeerRow[]): readonly PeerRow[] {
    const { now, options, peers, zone, zoneReaders } = input;
    if (!options.preferOwnZone || holders.length === 0) {
        return holders;
    }
    const inOwnZone = holders.filter(holder => holder.zone === zone);
    if (inOwnZone.length > 0) {
        return inOwnZone;
    }
    const precedingReaders = zoneReaders.rankOf(index) < countZoneReaders(zoneReaders.members, options) ?
        [] :
        zoneReaders.precedingReaders(index);
    const availableSince = input.availableSince.get(index) ?? now;
    return mayReadFromOtherZones({ precedingReaders, peers, availableSince, now, options }) ? holders : [];
}

function isAllowanceUsed(input: TransferInput, peer: PeerRow, index: number): boolean {
    const { manifest, options } = input;
    return peer.sentBytes + manifest.chunks[index]!.bytes > options.uploadAllowanceCopies * manifest.totalBytes;
}

/**
 * Chooses the holder that has sent the least, including what this agent is receiving from it. Reports are
 * slightly outdated, so with exact numbers all agents would choose the same holder; numbers are rounded to steps and
 * ties broken at random.
 */
function choosePeer(
    input: TransferInput,
    holders: readonly PeerRow[],
    capacity: Capacity,
): PeerRow | undefined {
    const { totalBytes } = input.manifest;
    let best: PeerRow | undefined;
    let bestShare = Infinity;
    for (const peer of holders) {
        const running = capacity.transfersByPeer.get(peer.instance) ?? 0;
        if (peer.chokedUntil > input.now || running >= input.options.maximumTransfersFromPeer) {
            continue;
        }
        const steps = Math.floor(peer.sentBytes / totalBytes * sentBytesStepsPerCopy);
        const share = steps + running + input.random.next();
        if (share < bestShare) {
            best = peer;
            bestShare = share;
        }
    }
    return best;
}
