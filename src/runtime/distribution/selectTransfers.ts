import type { InstanceId } from "../../types/index.js";
import { hasChunk } from "./bitfield.js";
import { mayTakeOver } from "./originReaders.js";
import type { PeerRow, TransferCommand, TransferInput } from "./types.js";

/** Source name of the origin in transfers. */
export const originSource = "origin";

/** Chunk that is neither held nor being transferred. */
interface MissingChunk {
    readonly index: number;
    /** Peers that have it and are not avoided, including those that refused a chunk a moment ago. */
    readonly holders: readonly PeerRow[];
    /** Random tie-breaker among equally rare chunks. */
    readonly order: number;
}

/** Capacity that is left while commands are chosen. */
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
    const capacity = readCapacity(input, commands.length);
    const missing = listMissing(input);
    const readers = input.objective === "time" ? input.options.originReadersForTime : 1;
    commands.push(...selectFirstReads(input, missing, capacity));
    const requested = new Set(commands.map(({ index }) => index));
    commands.push(...selectFromPeers(input, missing.filter(({ index }) => !requested.has(index)), capacity));
    for (const { index } of commands) {
        requested.add(index);
    }
    const rest = missing.filter(({ index }) => !requested.has(index));
    commands.push(...selectFurtherReads(input, rest, readers, capacity));
    return commands;
}

function abandonStalled(input: TransferInput): TransferCommand[] {
    const commands: TransferCommand[] = [];
    const { now, options, transfers } = input;
    for (const { index, progressedAt, source } of transfers.rows()) {
        const limit = source === originSource ? options.originStallAfter : options.stallAfter;
        if (now - progressedAt >= limit) {
            commands.push({ kind: "abandon", index, source, reason: `no bytes for ${limit} ms` });
        }
    }
    return commands;
}

function readCapacity(input: TransferInput, abandoned: number): Capacity {
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

/** Takes the capacity for one request; false if none is left. */
function reserve(input: TransferInput, capacity: Capacity, index: number): boolean {
    if (capacity.transfers <= 0 || capacity.budgetBytes <= 0) {
        return false;
    }
    capacity.transfers--;
    capacity.budgetBytes -= input.manifest.chunks[index]!.bytes;
    return true;
}

function mayReadOrigin(input: TransferInput, capacity: Capacity): boolean {
    return capacity.originTransfers > 0 && input.originAvoidedUntil <= input.now && input.neighboursAsked;
}

/** Chunks that no known agent has and that this agent is the first to read. */
function selectFirstReads(
    input: TransferInput,
    missing: readonly MissingChunk[],
    capacity: Capacity,
): TransferCommand[] {
    const commands: TransferCommand[] = [];
    for (const { holders, index } of missing) {
        if (holders.length > 0 || !mayReadOrigin(input, capacity)) {
            break;
        }
        if (input.originReaders.rankOf(index) === 0 && reserve(input, capacity, index)) {
            capacity.originTransfers--;
            commands.push({ kind: "fetch-from-origin", index, reason: "first origin reader of the chunk" });
        }
    }
    return commands;
}

/**
 * Chunks that peers cannot supply. A further reader reads a chunk that has fewer sources than wanted; anyone else takes
 * over when all readers before it have failed.
 */
function selectFurtherReads(
    input: TransferInput,
    missing: readonly MissingChunk[],
    readers: number,
    capacity: Capacity,
): TransferCommand[] {
    const commands: TransferCommand[] = [];
    for (const { holders, index } of missing) {
        if (holders.length >= readers || !mayReadOrigin(input, capacity) || capacity.transfers <= 0) {
            break;
        }
        const reason = findReadReason(input, index, holders.length, readers);
        if (reason !== undefined && reserve(input, capacity, index)) {
            capacity.originTransfers--;
            commands.push({ kind: "fetch-from-origin", index, reason });
        }
    }
    return commands;
}

function findReadReason(input: TransferInput, index: number, holders: number, readers: number): string | undefined {
    const { now, options, originReaders, peers, startedAt } = input;
    if (originReaders.rankOf(index) < readers && readers > 1) {
        return "the chunk has too few sources";
    }
    if (holders > 0 || now - startedAt < options.originTakeoverAfter) {
        return undefined;
    }
    return mayTakeOver({ readersBefore: originReaders.readersBefore(index), peers, startedAt, now, options }) ?
        "the readers before have failed" :
        undefined;
}

function selectFromPeers(
    input: TransferInput,
    missing: readonly MissingChunk[],
    capacity: Capacity,
): TransferCommand[] {
    const commands: TransferCommand[] = [];
    for (const { holders, index } of missing) {
        if (capacity.transfers <= 0 || capacity.budgetBytes <= 0) {
            break;
        }
        const peer = choosePeer(input, holders, index, capacity);
        if (peer === undefined || !reserve(input, capacity, index)) {
            continue;
        }
        const { instance } = peer;
        capacity.transfersByPeer.set(instance, (capacity.transfersByPeer.get(instance) ?? 0) + 1);
        const lastResort = holders.every(holder => isAllowanceUsed(input, holder, index));
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

function isAllowanceUsed(input: TransferInput, peer: PeerRow, index: number): boolean {
    const { manifest, options } = input;
    return peer.sentBytes + manifest.chunks[index]!.bytes > options.uploadAllowanceCopies * manifest.totalBytes;
}

/** Among the holders, the one that has sent the least, counting what this agent is receiving from it. */
function choosePeer(
    input: TransferInput,
    holders: readonly PeerRow[],
    index: number,
    capacity: Capacity,
): PeerRow | undefined {
    const { bytes } = input.manifest.chunks[index]!;
    let best: PeerRow | undefined;
    let bestShare = Infinity;
    for (const peer of holders) {
        const running = capacity.transfersByPeer.get(peer.instance) ?? 0;
        if (peer.chokedUntil > input.now || running >= input.options.maximumTransfersFromPeer) {
            continue;
        }
        const share = peer.sentBytes + running * bytes;
        if (share < bestShare) {
            best = peer;
            bestShare = share;
        }
    }
    return best;
}
