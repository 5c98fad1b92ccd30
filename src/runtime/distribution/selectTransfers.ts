import type { InstanceId } from "../../types/index.js";
import { hasChunk } from "./bitfield.js";
import { mayReadAcross, mayTakeOver } from "./originReaders.js";
import type { PeerRow, TransferCommand, TransferInput } from "./types.js";

/** Source name of the origin in transfers. */
export const originSource = "origin";

/** Steps of one copy in which the shares that holders have sent are compared. */
const shareSteps = 10;

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
    if (capacity.transfers <= 0 || capacity.budgetBytes <= 0) {
        return commands;
    }
    const missing = listMissing(input);
    const steps = [selectFirstReads, selectFurtherReads, selectFromPeers, selectTakeovers];
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

/** With the objective `time`: chunks with few sources of which this agent is a further reader. */
function selectFurtherReads(
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
        if (originReaders.rankOf(index) < options.originReadersForTime && reserve(input, capacity, index)) {
            capacity.originTransfers--;
            commands.push({ kind: "fetch-from-origin", index, reason: "the chunk has too few sources" });
        }
    }
    return commands;
}

/** Chunks that no known agent has, once all readers before this agent have failed. */
function selectTakeovers(
    input: TransferInput,
    missing: readonly MissingChunk[],
    capacity: Capacity,
): TransferCommand[] {
    const commands: TransferCommand[] = [];
    const { now, options, originReaders, peers, startedAt } = input;
    if (now - startedAt < options.originTakeoverAfter) {
        return commands;
    }
    for (const { holders, index } of missing) {
        if (holders.length > 0 || !mayReadOrigin(input, capacity) || capacity.transfers <= 0) {
            break;
        }
        const readersBefore = originReaders.readersBefore(index);
        if (mayTakeOver({ readersBefore, peers, startedAt, now, options }) && reserve(input, capacity, index)) {
            capacity.originTransfers--;
            commands.push({ kind: "fetch-from-origin", index, reason: "the readers before have failed" });
        }
    }
    return commands;
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
        const peer = choosePeer(input, selectHolders(input, index, holders), capacity);
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

/** Holders that may be asked: those of the own zone, or all of them if this agent's turn to read across has come. */
function selectHolders(input: TransferInput, index: number, holders: readonly PeerRow[]): readonly PeerRow[] {
    const { now, options, peers, zone, zoneReaders } = input;
    if (!options.preferOwnZone || holders.length === 0) {
        return holders;
    }
    const near = holders.filter(holder => holder.zone === zone);
    if (near.length > 0) {
        return near;
    }
    const readersBefore = zoneReaders.rankOf(index) === 0 ? [] : zoneReaders.readersBefore(index);
    const availableSince = input.availableSince.get(index) ?? now;
    return mayReadAcross({ readersBefore, peers, availableSince, now, options }) ? holders : [];
}

function isAllowanceUsed(input: TransferInput, peer: PeerRow, index: number): boolean {
    const { manifest, options } = input;
    return peer.sentBytes + manifest.chunks[index]!.bytes > options.uploadAllowanceCopies * manifest.totalBytes;
}

/**
 * Among the holders, the one that has sent the least, counting what this agent is receiving from it. Reports are
 * somewhat old, so shares are compared in steps and equal ones at random: all agents would ask the same holder.
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
        const steps = Math.floor(peer.sentBytes / totalBytes * shareSteps);
        const share = steps + running + input.random.next();
        if (share < bestShare) {
            best = peer;
            bestShare = share;
        }
    }
    return best;
}
