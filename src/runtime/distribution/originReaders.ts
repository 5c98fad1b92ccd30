import type { InstanceId, ManifestDigest, Milliseconds } from "../../types/index.js";
import { rankByRendezvous, scoreRendezvous, type Table } from "../../utils/index.js";
import type { DistributionOptions, OriginReaders, PeerRow } from "./types.js";

/** Characters of the manifest digest that take part in a chunk's key; they suffice to rank sets differently. */
const keyDigestLength = 8;

/**
 * Ranks the members as origin readers of each chunk by rendezvous hash, so that every agent computes the same ranks and
 * a change of members moves only the chunks of those that came or went.
 *
 * @param manifestDigest - the set
 * @param chunks - number of chunks
 * @param members - instances assigned to the set
 * @param self - this agent's instance; it counts as a member
 * @param isNear - members that rank before all others, as those near the origin do. Default: none.
 * @returns the ranks; each is computed when it is first asked for
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
    const createKey = (index: number) => `${manifestDigest.slice(0, keyDigestLength)}/${index}`;

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

    return {
        rankOf,
        readersBefore: index => {
            const ranked = rankByRendezvous(createKey(index), [...others, self]);
            const near = ranked.filter(isNear);
            return [...near, ...ranked.filter(member => !isNear(member))].slice(0, rankOf(index));
        },
    };
}

/** How many times as long a reader of a zone may take for a chunk while it makes progress with others. */
const progressingReaderFactor = 2;

/** Input of `mayReadAcross`. */
export interface ZoneTurnInput {
    /** Members of the own zone that rank before this agent, best first. */
    readonly readersBefore: readonly InstanceId[];
    readonly peers: Table<InstanceId, PeerRow>;
    /** Monotonic time at which the first holder of the chunk became known. */
    readonly availableSince: Milliseconds;
    readonly now: Milliseconds;
    readonly options: DistributionOptions;
}

/**
 * Decides whether this agent may read a chunk across the border of its zone in place of those ranked before it. Time
 * counts from when the chunk could be read, and a reader that makes progress gets more of it.
 *
 * @param input - readers of the chunk and what is known of them
 * @returns true if every reader before this agent has had its turn
 */
export function mayReadAcross(input: ZoneTurnInput): boolean {
    const { availableSince, now, options, peers, readersBefore } = input;
    return readersBefore.every((reader, rank) => {
        const turns = readersBefore.length - rank;
        const limit = turns * options.zoneTakeoverAfter;
        const progressedAt = peers.get(reader)?.progressedAt ?? availableSince;
        return now - Math.max(availableSince, progressedAt) >= limit ||
            now - availableSince >= progressingReaderFactor * limit;
    });
}

/** Input of `mayTakeOver`. */
export interface TakeoverInput {
    readonly readersBefore: readonly InstanceId[];
    readonly peers: Table<InstanceId, PeerRow>;
    readonly startedAt: Milliseconds;
    readonly now: Milliseconds;
    readonly options: DistributionOptions;
}

/**
 * Decides whether this agent may read a chunk from the origin in place of those ranked before it. A reader counts as
 * failed when it has gained no chunk for the takeover time. Each further rank gets the same time for its own attempt.
 *
 * @param input - readers of the chunk, best first, and what is known of them
 * @returns true if all readers before this agent have failed; false while one of them is not yet watched
 */
export function mayTakeOver(input: TakeoverInput): boolean {
    const { now, options, peers, readersBefore, startedAt } = input;
    return readersBefore.every((reader, rank) => {
        const peer = peers.get(reader);
        if (peer === undefined) {
            return false;
        }
        const turns = readersBefore.length - rank;
        return now - Math.max(startedAt, peer.progressedAt) >= turns * options.originTakeoverAfter;
    });
}
