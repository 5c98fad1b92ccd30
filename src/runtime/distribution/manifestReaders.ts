import type { InstanceId, ManifestDigest, Milliseconds } from "../../types/index.js";
import { rankByRendezvous } from "../../utils/index.js";
import type { DistributionOptions } from "./types.js";

/** Ranks that take over one after the other; from then on, their number doubles with each takeover time. */
const singleTakeovers = 4;

/** Largest share of the takeover time by which a read is delayed at random. */
const takeoverJitter = 0.5;

/** Sources of a chunk that contradict a manifest even if each of them sent other bytes. */
const contradictingSources = 3;

/** Input of {@link rankManifestReader}. */
export interface ManifestReaderInput {
    readonly manifestDigest: ManifestDigest;
    /** This agent's instance; it counts as a member. */
    readonly self: InstanceId;
    readonly members: readonly InstanceId[];
    /** Members that are known not to forward manifests. */
    readonly olderMembers: ReadonlySet<InstanceId>;
    /** Members that are known to forward manifests. */
    readonly forwardingMembers: ReadonlySet<InstanceId>;
    /** Tells which members are in the origin's zone; these rank first. */
    readonly isNear: (member: InstanceId) => boolean;
}

/**
 * Ranks this agent among the readers of a manifest by rendezvous hash. While some members do not forward manifests, the
 * same share of the members that are not known is left out.
 *
 * @param input - the set and its members
 * @returns number of members that rank before this agent
 */
export function rankManifestReader(input: ManifestReaderInput): number {
    const { forwardingMembers, isNear, manifestDigest, members, olderMembers, self } = input;
    const candidates = new Set([...members.filter(member => !olderMembers.has(member)), self]);
    const ranked = rankByRendezvous(`${manifestDigest}/manifest`, [...candidates]);
    const rank = [...ranked.filter(isNear), ...ranked.filter(member => !isNear(member))].indexOf(self);
    const known = forwardingMembers.size + olderMembers.size;
    return olderMembers.size === 0 ? rank : Math.floor(rank * forwardingMembers.size / known);
}

/**
 * Computes how long an agent waits for the manifest before it reads it from the origin. The first ranks do not wait. The
 * next four take over one after the other, so that a refusing origin is not flooded; then twice as many with each
 * takeover time, so that the loss of a whole zone whose members rank first costs seconds.
 *
 * @param rank - rank of the agent, from 0
 * @param jitter - random number from 0 to 1 that is kept for the set
 * @param options - number of readers and takeover time
 * @returns time since the agent began to wait
 */
export function computeManifestReadDelay(
    rank: number,
    jitter: number,
    { manifestReaders, manifestTakeoverAfter }: DistributionOptions,
): Milliseconds {
    const distance = manifestReaders === 0 ? 0 : rank - manifestReaders + 1;
    if (distance <= 0) {
        return 0;
    }
    const steps = distance <= singleTakeovers ?
        distance :
        singleTakeovers + Math.log2(distance / singleTakeovers);
    return manifestTakeoverAfter * (steps + jitter * takeoverJitter);
}

/** Chunk that did not match the manifest. */
export interface ChunkMismatch {
    /** Instance, or `origin`. */
    readonly source: string;
    /** Digest of the bytes that were received; undefined if they were not received whole. */
    readonly digest: string | undefined;
}

/**
 * Tells whether the copies of one chunk show that the manifest is wrong: corrupt copies differ from each other, so equal
 * ones are intact, also if both come from the origin, which may be the only source.
 *
 * @param mismatches - copies of the chunk that did not match the manifest
 * @returns true if the manifest has to be obtained again
 */
export function isManifestContradicted(mismatches: readonly ChunkMismatch[]): boolean {
    const digests = mismatches.map(({ digest }) => digest).filter(digest => digest !== undefined);
    return new Set(digests).size < digests.length ||
        new Set(mismatches.map(({ source }) => source)).size >= contradictingSources;
}
