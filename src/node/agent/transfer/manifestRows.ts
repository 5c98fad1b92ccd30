import { type ChunkMismatch, rankManifestReader } from "../../../runtime/distribution/index.js";
import type { InstanceId, Milliseconds } from "../../../types/index.js";
import type { TransferContext } from "./context.js";
import type { TransferTarget } from "./types.js";
import type { WeightSetState } from "./weightSetState.js";

/** Where the manifest of a set comes from. */
export interface ManifestOrigin {
    /** Instance that sent it; this agent's own if it read the origin. */
    readonly peer: InstanceId;
    /** Instance whose reads confirmed it. */
    readonly reader: InstanceId;
    /**
     * Digest and reader. A manifest that was contradicted by mistake is accepted from another reader, a right one also
     * from the same reader.
     */
    readonly key: string;
}

/** State of the manifest of one set. */
export interface ManifestRow {
    /** Random number from 0 to 1 that delays a takeover. */
    jitter: number;
    waitsSince: Milliseconds;
    failures: number;
    retryAt: Milliseconds;
    reading: AbortController | undefined;
    origin: ManifestOrigin | undefined;
    readonly askAt: Map<InstanceId, Milliseconds>;
    readonly askedNow: Set<InstanceId>;
    /** Members whose answers show that they do not forward manifests. */
    readonly olderMembers: Set<InstanceId>;
    /** Members whose answers show that they forward manifests. */
    readonly forwardingMembers: Set<InstanceId>;
    /** Members that have asked for the manifest while it was missing. */
    readonly waiting: Set<InstanceId>;
    /** Keys of manifests that chunks contradicted. */
    readonly contradicted: Set<string>;
    readonly mismatches: Map<number, ChunkMismatch[]>;
    rank: { readonly target: TransferTarget; readonly known: number; readonly value: number; } | undefined;
}

/**
 * Creates the states of the manifests, one for each set, which end with their sets.
 *
 * @param context - clock and random source
 * @returns function that finds or creates the state of a set
 */
export function createManifestRows(
    context: Pick<TransferContext, "clock" | "random">,
): { readonly find: (set: WeightSetState) => ManifestRow; } {
    const rows = new WeakMap<WeightSetState, ManifestRow>();
    return {
        find: set => {
            const row: ManifestRow = rows.get(set) ?? {
                jitter: context.random.next(),
                waitsSince: context.clock.monotonic(),
                failures: 0,
                retryAt: 0,
                reading: undefined,
                origin: undefined,
                askAt: new Map(),
                askedNow: new Set(),
                olderMembers: new Set(),
                forwardingMembers: new Set(),
                waiting: new Set(),
                contradicted: new Set(),
                mismatches: new Map(),
                rank: undefined,
            };
            rows.set(set, row);
            return row;
        },
    };
}

/**
 * Reads this agent's rank among the readers of a set's manifest, which is computed again when the members change.
 *
 * @param context - this agent's instance
 * @param set - the set
 * @param row - state of its manifest
 * @returns number of members that rank before this agent
 */
export function readManifestRank(
    { self }: Pick<TransferContext, "self">,
    { manifestDigest, target }: WeightSetState,
    row: ManifestRow,
): number {
    const known = row.olderMembers.size + row.forwardingMembers.size;
    if (row.rank?.target !== target || row.rank.known !== known) {
        const zones = new Map(target.members.map(({ instance, zone }) => [instance, zone]));
        const value = rankManifestReader({
            manifestDigest,
            self,
            members: [...zones.keys()],
            olderMembers: row.olderMembers,
            forwardingMembers: row.forwardingMembers,
            isNear: member => target.originZone !== undefined && zones.get(member) === target.originZone,
        });
        row.rank = { target, known, value };
    }
    return row.rank.value;
}
