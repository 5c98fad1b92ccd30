import type { InstanceId, ManifestDigest, Milliseconds } from "../../types/index.js";
import { rankByRendezvous, scoreRendezvous, type Table } from "../../utils/index.js";
import { hasChunk } from "./bitfield.js";
import type { DistributionOptions, OriginReaders, PeerRow } from "./types.js";

/**
 * Number of characters of the manifest digest in the key of a chunk; enough to rank members differently for each set.
 */
const keyDigestCharacters = 8;

/**
 * Ranks the members as origin readers of each chunk by rendezvous hash, so that every agent computes the same ranks and
 * a change of members moves only the chunks of those that came or went.
 *
 * @param manifestDigest - the set
 * @param chunks - number of chunks
 * @param members - instances assigned to the set
 * @param self - this agent's instance; it counts as a member
 * @param isNear - tells which members rank before all others, for example those near the origin; default: none
 * @returns the ranks; each is computed when it is first used
 */
export function createOriginReaders(
    manifestDigest: ManifestDigest,
    chunks: number,
    members: readonly InstanceId[],
    self: InstanceId,
    isNear: (member: InstanceId) => boolean = () => false,
): OriginReaders {
    const isSelfNear = isNear(self);
    const others = members.filter(member => member !== self);
    const ranks: (number | undefined)[] = new Array<number | undefined>(chunks).fill(undefined);
    /** Members that rank before this agent; they are read several times a second while chunks are missing. */
    const preceding: (readonly InstanceId[] | undefined)[] = new Array<undefined>(chunks).fill(undefined);
    const createKey = (index: number) => `${manifestDigest.slice(0, keyDigestCharacters)}/${index}`;

    function computeRank(index: number): number {
        const key = createKey(index);
        const ownScore = scoreRendezvous(key, self);
        let rank = 0;
        for (const other of others) {
            const score = scoreRendezvous(key, other);
            if (isNear(other) !== isSelfNear) {
                rank += isSelfNear ? 0 : 1;
                continue;
            }
            rank += score > ownScore || (score === ownScore && other < self) ? 1 : 0;
        }
        return rank;
    }

    function rankOf(index: number): number {
        return ranks[index] ??= computeRank(index);
    }

    function listPreceding(index: number): readonly InstanceId[] {
        const ranked = rankByRendezvous(createKey(index), [...others, self]);
        const near = ranked.filter(isNear);
        return [...near, ...ranked.filter(member => !isNear(member))].slice(0, rankOf(index));
    }

    return {
        members: others.length + 1,
        rankOf,
        precedingReaders: index => preceding[index] ??= listPreceding(index),
    };
}

/** Factor by which a preceding reader's time for a chunk is extended while it gains other chunks. */
const progressingReaderTimeFactor = 2;

/** Input of `mayReadAcross`. */
export interface CrossZoneReadInput {
    /** Members of this agent's zone that rank before it, best rank first. */
    readonly precedingReaders: readonly InstanceId[];
    readonly peers: Table<InstanceId, PeerRow>;
    /** Monotonic time at which the first holder of the chunk became known. */
    readonly availableSince: Milliseconds;
    readonly now: Milliseconds;
    readonly options: DistributionOptions;
}

/**
 * Decides whether this agent may read a chunk from another zone in place of the members of its zone that rank before
 * it. The time of each of them starts when the chunk becomes available, and is extended while the member gains chunks.
 *
 * @param input - readers of the chunk and the progress that they reported
 * @returns true if the time of every preceding reader has passed
 */
export function mayReadFromOtherZones(input: CrossZoneReadInput): boolean {
    const { availableSince, now, options, peers, precedingReaders } = input;
    return precedingReaders.every((reader, rank) => {
        const rankDistance = precedingReaders.length - rank;
        const limit = rankDistance * options.zoneTakeoverAfter;
        const progressedAt = peers.get(reader)?.progressedAt ?? availableSince;
        return now - Math.max(availableSince, progressedAt) >= limit ||
            now - availableSince >= progressingReaderTimeFactor * limit;
    });
}

/** Members of a zone for each member that reads a chunk from another zone at once. */
const membersPerZoneReader = 4;

/**
 * Computes how many members of a zone read a chunk from another zone at once. With one reader, a chunk reaches the
 * members of a large zone late; with several in a small zone, they take the uplinks of the first holders from each other.
 *
 * @param members - number of members of the zone
 * @param options - largest number of readers
 * @returns number of readers, at least 1
 */
export function countZoneReaders(members: number, { maximumZoneReaders }: DistributionOptions): number {
    return Math.max(1, Math.min(maximumZoneReaders, Math.floor(members / membersPerZoneReader)));
}

/** Input of `mayTakeOver`. */
export interface TakeoverInput {
    /** Position of the chunk. */
    readonly index: number;
    readonly precedingReaders: readonly InstanceId[];
    readonly peers: Table<InstanceId, PeerRow>;
    readonly startedAt: Milliseconds;
    readonly now: Milliseconds;
    readonly options: DistributionOptions;
}

/**
 * Decides whether this agent may read a chunk from the origin in place of those ranked before it. A reader counts as
 * failed when it has gained no chunk for the takeover time, or when it holds this chunk and is avoided: a reader that
 * receives but cannot send would otherwise keep its chunks for as long as it gains others. Each further rank gets the same
 * time for its own attempt.
 *
 * @param input - readers of the chunk, best first, and the progress that they reported
 * @returns true if all preceding readers have failed; false while one of them is not yet known
 */
export function mayTakeOver(input: TakeoverInput): boolean {
    const { index, now, options, peers, precedingReaders, startedAt } = input;
    return precedingReaders.every((reader, rank) => {
        const peer = peers.get(reader);
        if (peer === undefined) {
            return false;
        }
        if (peer.avoidedUntil > now && hasChunk(peer.bitfield, index)) {
            return true;
        }
        const rankDistance = precedingReaders.length - rank;
        return now - Math.max(startedAt, peer.progressedAt) >= rankDistance * options.originTakeoverAfter;
    });
}
