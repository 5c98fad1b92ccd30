import type { InstanceId, ManifestDigest, Milliseconds, RandomSource } from "../../types/index.js";
import { rankByRendezvous, type Table } from "../../utils/index.js";
import { hasChunk } from "./bitfield.js";
import type { DistributionOptions, OriginReaders, PeerRow } from "./types.js";

/** Share of the neighbours that are chosen in the agent's own availability zone, where it reads most chunks. */
const ownZoneShare = 0.75;

/**
 * Chooses the agents with which this agent exchanges bitfields. Where agents read chunks from their own zone, most of
 * the neighbours are in it: chosen from all zones, they gave some of 64 agents two sources, and these took twice as long.
 *
 * @param manifestDigest - the set
 * @param self - this agent's instance
 * @param members - instances assigned to the set
 * @param count - number of neighbours wanted
 * @param isPreferred - tells which members are in the own zone; default: there is no preference
 * @returns up to `count` other instances, ranked by rendezvous hash
 */
export function selectNeighbours(
    manifestDigest: ManifestDigest,
    self: InstanceId,
    members: readonly InstanceId[],
    count: number,
    isPreferred: (member: InstanceId) => boolean = () => false,
): InstanceId[] {
    const others = members.filter(member => member !== self);
    const ranked = rankByRendezvous(`${manifestDigest}/${self}`, others);
    const preferred = ranked.filter(isPreferred).slice(0, Math.ceil(count * ownZoneShare));
    return [...new Set([...preferred, ...ranked.filter(member => !isPreferred(member)), ...ranked])].slice(0, count);
}

/** Input of `selectWatchedReaders`. */
export interface WatchInput {
    readonly chunks: number;
    readonly held: Uint8Array;
    readonly peers: Table<InstanceId, PeerRow>;
    readonly originReaders: OriginReaders;
    readonly startedAt: Milliseconds;
    readonly now: Milliseconds;
    readonly random: RandomSource;
    readonly options: DistributionOptions;
}

/**
 * Chooses origin readers whose progress this agent has to watch, since it takes over their reads when they fail. An
 * agent of rank k starts to watch the preceding readers of a chunk one takeover time before it may take over.
 *
 * @param input - missing chunks, known peers and ranks
 * @returns at most `watchedReaders` instances
 */
export function selectWatchedReaders(input: WatchInput): InstanceId[] {
    const { chunks, held, now, options, originReaders, peers, random, startedAt } = input;
    const watched = new Set<InstanceId>();
    const highestRank = 1 + Math.floor((now - startedAt) / options.originTakeoverAfter);
    const first = Math.floor(random.next() * chunks);
    for (let step = 0; step < chunks && watched.size < options.watchedReaders; step++) {
        const index = (first + step) % chunks;
        if (hasChunk(held, index) || originReaders.rankOf(index) > highestRank || hasKnownHolder(peers, index)) {
            continue;
        }
        for (const reader of originReaders.precedingReaders(index)) {
            watched.add(reader);
        }
    }
    return [...watched].slice(0, options.watchedReaders);
}

function hasKnownHolder(peers: Table<InstanceId, PeerRow>, index: number): boolean {
    for (const peer of peers.rows()) {
        if (hasChunk(peer.bitfield, index)) {
            return true;
        }
    }
    return false;
}
