import { err, ok } from "true-myth/result";
import { addChunk, createBitfield, encodeBitfield } from "../../src/runtime/distribution/index.js";
import {
    type BackendServerPort,
    createError,
    type EngineOrder,
    type EngineState,
    type Manifest,
    type ManifestDigest,
    type OriginPort,
} from "../../src/types/index.js";

/** Engine that keeps its staged chunks in memory. */
export interface MemoryEngine extends BackendServerPort {
    /** Chunks of each staged set by index; undefined for a chunk that is not staged. */
    readonly staged: Map<ManifestDigest, (Uint8Array | undefined)[]>;
    /** Orders in the sequence in which they were applied. */
    readonly orders: EngineOrder[];
    /** Restarts the engine as a new incarnation; it loses its staged sets and active weights. */
    restart(): void;
}

/**
 * Creates an engine.
 *
 * @param acceptsChunk - called before a chunk is staged; staging fails if it returns false
 * @returns the engine, without staged sets
 */
export function createMemoryEngine(acceptsChunk?: (digest: ManifestDigest, index: number) => boolean): MemoryEngine {
    const staged = new Map<ManifestDigest, (Uint8Array | undefined)[]>();
    const orders: EngineOrder[] = [];
    let incarnation = 1;
    let active: EngineState["active"];
    const refuse = (step: string) => err(createError("ENGINE_REFUSED", step, "engine", "the set is not prepared"));

    function describeSet([manifestDigest, chunks]: [ManifestDigest, (Uint8Array | undefined)[]]) {
        const bitfield = createBitfield(chunks.length);
        chunks.forEach((chunk, index) => {
            if (chunk !== undefined) {
                addChunk(bitfield, index);
            }
        });
        return { manifestDigest, chunksTotal: chunks.length, bitfield: encodeBitfield(bitfield) };
    }

    function apply(order: EngineOrder): void {
        orders.push(order);
        switch (order.kind) {
            case "prepare":
                staged.set(order.manifestDigest, new Array<Uint8Array | undefined>(order.chunksTotal).fill(undefined));
                break;
            case "activate":
                active = order;
                break;
            case "deactivate":
                active = undefined;
                break;
            case "drop":
                staged.delete(order.manifestDigest);
                break;
        }
    }

    return {
        staged,
        orders,
        restart: () => {
            incarnation++;
            active = undefined;
            staged.clear();
        },
        readState: () =>
            Promise.resolve(ok({
                incarnation: `engine-${incarnation}`,
                active,
                staged: [...staged].map(describeSet),
                running: 0,
                queued: 0,
                capacity: 1,
                cachedPrefixes: [],
                highestToken: undefined,
            })),
        order: order => {
            apply(order);
            return Promise.resolve(ok(undefined));
        },
        stageChunk: (digest, index, content) => {
            const chunks = staged.get(digest);
            if (chunks === undefined || acceptsChunk?.(digest, index) === false) {
                return Promise.resolve(refuse(`stage chunk ${index}`));
            }
            chunks[index] = Uint8Array.from(content);
            return Promise.resolve(ok(undefined));
        },
        readChunk: (digest, index) => {
            const chunk = staged.get(digest)?.[index];
            return Promise.resolve(chunk === undefined ? refuse(`read chunk ${index}`) : ok(chunk));
        },
        execute: () => Promise.resolve(refuse("execute")),
    };
}

/** Origin that serves sets from memory and counts the reads of chunks. */
export interface MemoryOrigin extends OriginPort {
    /** Number of reads of each chunk, by `digest/index`. */
    readonly reads: Map<string, number>;
}

/**
 * Creates an origin.
 *
 * @param sets - manifest and chunks by manifest digest
 * @param transform - changes the content of a chunk that is read, or makes the read fail by returning undefined; default: no change
 * @returns the origin
 */
export function createMemoryOrigin(
    sets: ReadonlyMap<ManifestDigest, { readonly manifest: Manifest; readonly chunks: readonly Uint8Array[]; }>,
    transform: (content: Uint8Array, index: number) => Uint8Array | undefined = content => content,
): MemoryOrigin {
    const reads = new Map<string, number>();
    const fail = (step: string) => err(createError("ORIGIN_UNREACHABLE", step, "origin", "no such content"));
    return {
        reads,
        resolveManifest: () => Promise.resolve(fail("resolve manifest")),
        readManifest: digest => {
            const set = sets.get(digest);
            return Promise.resolve(set === undefined ? fail("read manifest") : ok(set.manifest));
        },
        readChunk: (digest, index) => {
            const key = `${digest}/${index}`;
            reads.set(key, (reads.get(key) ?? 0) + 1);
            const stored = sets.get(digest)?.chunks[index];
            const content = stored === undefined ? undefined : transform(stored, index);
            return Promise.resolve(content === undefined ? fail(`read chunk ${index}`) : ok(content));
        },
    };
}
