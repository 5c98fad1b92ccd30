import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import { type BufferCollection, createCollectionState, decideCollection } from "../../runtime/memory/index.js";

/** Collects the garbage of the process. */
export type CollectGarbage = (collection: BufferCollection) => void;

/** Options of {@link createBufferCollector}. */
export interface BufferCollectorOptions {
    /** Bytes of unreferenced buffers that may be left; `Infinity` to leave all collections to the runtime. */
    readonly allowed: number;
    /** Counts the bytes that are held for callers and backend servers. */
    readonly countHeld: () => number;
    /** Counts the bytes of all buffers of the process. Default: those of this process. */
    readonly countAllocated?: () => number;
    /** Collects garbage. Default: the collector of V8. */
    readonly collect?: CollectGarbage;
    /** Called after each collection. */
    readonly onCollected?: (collection: BufferCollection) => void;
}

/** Collects the unreferenced buffers of a process before they take more than their share of the memory. */
export interface BufferCollector {
    /**
     * Notes bytes that were read. Each read allocates a buffer, whether its bytes are kept or dropped.
     *
     * @param bytes - number of bytes
     */
    recordRead(bytes: number): void;
}

/** Share of the allowed bytes that is read between two looks at the buffers. */
const checkShare = 0.25;

/** Creates V8's own function, which is not exposed by default, at its first use. */
function createCollect(): CollectGarbage {
    let run: ((isMinor: boolean) => void) | undefined;
    return collection => {
        if (run === undefined) {
            setFlagsFromString("--expose-gc");
            run = runInNewContext("gc") as typeof run;
        }
        run!(collection === "minor");
    };
}

/**
 * Creates a collector of unreferenced buffers. V8 leaves buffers outside its heap uncollected until they have grown by
 * 64 MB, which is more than the smallest gateways can spare.
 *
 * @param options - limit and observers
 * @returns the collector; it does nothing while little is read
 */
export function createBufferCollector(options: BufferCollectorOptions): BufferCollector {
    const { allowed, countHeld } = options;
    const countAllocated = options.countAllocated ?? (() => process.memoryUsage().arrayBuffers);
    const collect = options.collect ?? createCollect();
    const checkAfter = allowed * checkShare;
    let unchecked = 0;
    const state = createCollectionState();

    return {
        recordRead: bytes => {
            unchecked += bytes;
            if (unchecked < checkAfter) {
                return;
            }
            unchecked = 0;
            const collection = decideCollection({ allocated: countAllocated(), held: countHeld(), allowed }, state);
            if (collection !== undefined) {
                collect(collection);
                options.onCollected?.(collection);
            }
        },
    };
}
