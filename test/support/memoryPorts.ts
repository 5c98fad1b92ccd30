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

/** Engine that keeps staged chunks in memory. */
export interface MemoryEngine extends BackendServerPort {
    /** Chunks of each staged set by index; undefined where none is staged. */
    readonly staged: Map<ManifestDigest, (Uint8Array | undefined)[]>;
    readonly orders: EngineOrder[];
    /** Starts the engine again without its memory. */
    restart(): void;
}

/**
 * Creates an engine.
 *
 * @param onStage - called before a chunk is staged; an error code makes staging fail
 * @returns the engine without any set
 */
export function createMemoryEngine(onStage?: (digest: ManifestDigest, index: number) => boolean): MemoryEngine {
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
            if (chunks === undefined || onStage?.(digest, index) === false) {
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

/** Origin that counts its reads. */
export interface MemoryOrigin extends OriginPort {
    /** Reads of each chunk, keyed by digest and index. */
    readonly reads: Map<string, number>;
}

/**
 * Creates an origin.
 *
 * @param sets - manifest and chunks by manifest digest
 * @param change - may replace the content of a read or, by returning undefined, make it fail; default: the content
 * @returns the origin
 */
export function createMemoryOrigin(
    sets: ReadonlyMap<ManifestDigest, { readonly manifest: Manifest; readonly chunks: readonly Uint8Array[]; }>,
    change: (content: Uint8Array, index: number) => Uint8Array | undefined = content => content,
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
            const content = stored === undefined ? undefined : change(stored, index);
            return Promise.resolve(content === undefined ? fail(`read chunk ${index}`) : ok(content));
        },
    };
}
