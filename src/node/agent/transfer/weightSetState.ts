import {
    createBitfield,
    createOriginReaders,
    decodeBitfield,
    type DistributionOptions,
    hasChunk,
    type OriginReaders,
    type PeerRow,
    selectNeighbours,
    type TransferRow,
} from "../../../runtime/distribution/index.js";
import type { InstanceId, Manifest, ManifestDigest, Milliseconds } from "../../../types/index.js";
import { createTable, type Table } from "../../../utils/index.js";
import type { TransferTarget } from "./types.js";

/** State of the transfer service for one weight set. */
export interface WeightSetState {
    readonly manifestDigest: ManifestDigest;
    readonly startedAt: Milliseconds;
    target: TransferTarget;
    manifest: Manifest | undefined;
    /** Monotonic time of the last stage of the transfer that was logged. */
    stageAt: Milliseconds;
    firstChunkLogged: boolean;
    /** Chunks that are staged in the engine and were verified by this process. */
    held: Uint8Array;
    /** Incremented when `held` is reset, so that results of operations started before are discarded. */
    generation: number;
    /** True once the engine lists the set and its staged chunks have been verified. */
    prepared: boolean;
    completeLogged: boolean;
    readonly peers: Table<InstanceId, PeerRow>;
    readonly transfers: Table<number, TransferRow>;
    readonly controllers: Map<number, AbortController>;
    neighbours: readonly InstanceId[];
    readonly neighboursAnswered: Set<InstanceId>;
    /** Monotonic time of the next exchange with each instance. */
    readonly exchangeAt: Map<InstanceId, Milliseconds>;
    originReaders: OriginReaders;
    /** Ranks of the origin readers among the members in this agent's availability zone. */
    zoneReaders: OriginReaders;
    /** Monotonic time at which the first holder of each chunk became known, by position of the chunk. */
    readonly availableSince: Map<number, Milliseconds>;
    originAvoidedUntil: Milliseconds;
    /** Monotonic time of the last failure of the origin if it refused the connection; undefined otherwise. */
    originRefusedAt: Milliseconds | undefined;
    originFailures: number;
    /** Bytes sent, including those reserved for uploads in progress. */
    sentBytes: number;
    uploadsInProgress: number;
}

/** Options of the choice of neighbours. */
export type NeighbourOptions = Pick<DistributionOptions, "neighbours" | "preferOwnZone">;

/**
 * Creates the state of a weight set.
 *
 * @param target - the set and its members
 * @param self - this agent's instance
 * @param neighbours - options of the choice of neighbours
 * @param now - monotonic time
 * @returns state without a manifest
 */
export function createWeightSetState(
    target: TransferTarget,
    self: InstanceId,
    neighbours: NeighbourOptions,
    now: Milliseconds,
): WeightSetState {
    const state: WeightSetState = {
        manifestDigest: target.weights.manifestDigest,
        startedAt: now,
        target,
        manifest: undefined,
        stageAt: now,
        firstChunkLogged: false,
        held: createBitfield(0),
        generation: 0,
        prepared: false,
        completeLogged: false,
        peers: createTable<InstanceId, PeerRow>(),
        transfers: createTable<number, TransferRow>(),
        controllers: new Map(),
        neighbours: [],
        neighboursAnswered: new Set(),
        exchangeAt: new Map(),
        originReaders: createOriginReaders(target.weights.manifestDigest, 0, [], self),
        zoneReaders: createOriginReaders(target.weights.manifestDigest, 0, [], self),
        availableSince: new Map(),
        originAvoidedUntil: 0,
        originRefusedAt: undefined,
        originFailures: 0,
        sentBytes: 0,
        uploadsInProgress: 0,
    };
    applyMembers(state, target, self, neighbours);
    return state;
}

/** Tells whether two targets of a set have the same members, from which neighbours and ranks are computed. */
function haveSameMembers(left: TransferTarget, right: TransferTarget): boolean {
    return left.originZone === right.originZone && left.members.length === right.members.length &&
        left.members.every(({ address, instance, zone }, position) => {
            const other = right.members[position]!;
            return instance === other.instance && zone === other.zone && address === other.address;
        });
}

/**
 * Applies the members of a target to a set, unless they are the same as before.
 *
 * @param state - changed in place
 * @param target - the set with its members
 * @param self - this agent's instance
 * @param neighbours - options of the choice of neighbours
 * @returns true if the members have changed
 */
export function updateMembers(
    state: WeightSetState,
    target: TransferTarget,
    self: InstanceId,
    neighbours: NeighbourOptions,
): boolean {
    if (haveSameMembers(state.target, target)) {
        state.target = target;
        return false;
    }
    applyMembers(state, target, self, neighbours);
    return true;
}

/** Applies members to a set; peers that are no longer members are removed. */
function applyMembers(
    state: WeightSetState,
    target: TransferTarget,
    self: InstanceId,
    neighbours: NeighbourOptions,
): void {
    state.target = target;
    const members = target.members.map(({ instance }) => instance);
    const known = new Set(members);
    for (const instance of [...state.peers.keys()].filter(peer => !known.has(peer))) {
        state.peers.delete(instance);
        state.exchangeAt.delete(instance);
    }
    const chunks = state.manifest?.chunks.length ?? 0;
    const zones = new Map(target.members.map(({ instance, zone }) => [instance, zone]));
    const isInOwnZone = (member: InstanceId) => zones.get(member) === zones.get(self);
    state.neighbours = selectNeighbours(
        state.manifestDigest,
        self,
        members,
        neighbours.neighbours,
        member => neighbours.preferOwnZone && isInOwnZone(member),
    );
    const isInOriginZone = (member: InstanceId) =>
        target.originZone !== undefined && zones.get(member) === target.originZone;
    const zoneMembers = members.filter(isInOwnZone);
    state.originReaders = createOriginReaders(state.manifestDigest, chunks, members, self, isInOriginZone);
    state.zoneReaders = createOriginReaders(state.manifestDigest, chunks, zoneMembers, self);
}

/**
 * Applies the manifest that was read for a set; the bitfields of known peers get its number of chunks.
 *
 * @param state - changed in place
 * @param manifest - verified manifest
 * @param self - this agent's instance
 * @param neighbours - options of the choice of neighbours
 */
export function applyManifest(
    state: WeightSetState,
    manifest: Manifest,
    self: InstanceId,
    neighbours: NeighbourOptions,
): void {
    state.manifest = manifest;
    state.held = createBitfield(manifest.chunks.length);
    for (const peer of state.peers.rows()) {
        peer.bitfield = decodeBitfield(peer.bitfield, manifest.chunks.length);
    }
    applyMembers(state, state.target, self, neighbours);
}

/**
 * Removes a wrong manifest. Chunks that are staged are compared with the next one; sources that were avoided because of
 * the wrong one may be asked again.
 *
 * @param state - changed in place
 */
export function removeManifest(state: WeightSetState): void {
    for (const controller of state.controllers.values()) {
        controller.abort();
    }
    state.controllers.clear();
    for (const index of [...state.transfers.keys()]) {
        state.transfers.delete(index);
    }
    state.availableSince.clear();
    state.manifest = undefined;
    state.originFailures = 0;
    state.originAvoidedUntil = 0;
    state.originRefusedAt = undefined;
    for (const peer of state.peers.rows()) {
        peer.corruptChunks = 0;
        peer.avoidedUntil = 0;
    }
    resetHeldChunks(state);
}

/**
 * Records the time for chunks that have become available from a peer.
 *
 * @param state - changed in place
 * @param now - monotonic time
 */
export function recordFirstAvailability(state: WeightSetState, now: Milliseconds): void {
    const chunks = state.manifest?.chunks.length ?? 0;
    if (state.availableSince.size >= chunks) {
        return;
    }
    const peers = [...state.peers.rows()];
    for (let index = 0; index < chunks; index++) {
        if (!state.availableSince.has(index) && peers.some(({ bitfield }) => hasChunk(bitfield, index))) {
            state.availableSince.set(index, now);
        }
    }
}

/**
 * Resets the held chunks, since the engine has lost them or has restarted.
 *
 * @param state - changed in place
 */
export function resetHeldChunks(state: WeightSetState): void {
    state.generation++;
    state.prepared = false;
    state.completeLogged = false;
    state.held = createBitfield(state.manifest?.chunks.length ?? 0);
}

/**
 * Finds or creates the row of a peer.
 *
 * @param state - the set
 * @param instance - the peer
 * @param now - monotonic time
 * @returns the row; undefined if the instance is not a member
 */
export function findPeer(state: WeightSetState, instance: InstanceId, now: Milliseconds): PeerRow | undefined {
    const known = state.peers.get(instance);
    if (known !== undefined) {
        return known;
    }
    const member = state.target.members.find(candidate => candidate.instance === instance);
    if (member === undefined) {
        return undefined;
    }
    const peer: PeerRow = {
        instance,
        zone: member.zone,
        bitfield: createBitfield(state.manifest?.chunks.length ?? 0),
        heardAt: now,
        progressedAt: now,
        sentBytes: 0,
        corruptChunks: 0,
        failedTransfers: 0,
        avoidedUntil: 0,
        chokedUntil: 0,
    };
    state.peers.set(instance, peer);
    return peer;
}
