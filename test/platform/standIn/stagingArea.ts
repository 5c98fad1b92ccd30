import { type LayerRange, listChunks, makeChunk } from "./testWeights.js";

/** Time for which a chunk that has become corrupt may still be loaded. */
const corruptionAllowanceMilliseconds = 3_000;

interface StagedChunk {
    readonly content: Buffer;
    /** Content before it became corrupt, and when it did; undefined if it did not. */
    readonly corrupted: { readonly from: Buffer; readonly at: number; } | undefined;
}

/** Chunk that must not have been loaded. */
export interface ChunkFault {
    readonly index: number;
    readonly detail: string;
}

/** Staging area of an engine: one copy of the chunks of a model, which are not checked. */
export class StagingArea {
    private readonly chunks = new Map<number, StagedChunk>();

    put(index: number, content: Buffer): void {
        this.chunks.set(index, { content, corrupted: undefined });
    }

    get(index: number): Buffer | undefined {
        return this.chunks.get(index)?.content;
    }

    list(): readonly number[] {
        return [...this.chunks.keys()];
    }

    clear(): void {
        this.chunks.clear();
    }

    corrupt(indexes: readonly number[]): void {
        for (const index of indexes) {
            const chunk = this.chunks.get(index);
            if (chunk !== undefined && chunk.corrupted === undefined) {
                const content = Buffer.alloc(chunk.content.length, 255);
                this.chunks.set(index, { content, corrupted: { from: chunk.content, at: performance.now() } });
            }
        }
    }

    /**
     * Finds the chunks that must not be loaded now.
     *
     * @param version - version to load
     * @param range - layers to load
     * @returns the chunks that are missing, of another version, or have been corrupt for longer than allowed
     */
    findFaults(version: number, range: LayerRange): readonly ChunkFault[] {
        return listChunks(range).flatMap(index => {
            const detail = this.findFault(version, index);
            return detail === undefined ? [] : [{ index, detail }];
        });
    }

    private findFault(version: number, index: number): string | undefined {
        const chunk = this.chunks.get(index);
        const expected = makeChunk(version, index);
        if (chunk === undefined) {
            return "missing";
        }
        if (chunk.content.equals(expected)) {
            return undefined;
        }
        const { content, corrupted } = chunk;
        if (corrupted === undefined || !corrupted.from.equals(expected)) {
            return `of ${/^[^/]*/.exec((corrupted?.from ?? content).toString("latin1", 0, 32))?.[0]}`;
        }
        const corruptFor = Math.round(performance.now() - corrupted.at);
        return corruptFor > corruptionAllowanceMilliseconds ? `corrupt for ${corruptFor} ms` : undefined;
    }
}

/** Describes chunk faults briefly: the number of chunks for each detail, and the first few indexes. */
export function formatFaults(faults: readonly ChunkFault[]): string {
    const details = new Set(faults.map(({ detail }) => detail));
    return [...details].map(detail => {
        const indexes = faults.filter(fault => fault.detail === detail).map(({ index }) => index);
        return `${indexes.length} ${detail} (${indexes.slice(0, 4).join(", ")}${indexes.length > 4 ? ", ..." : ""})`;
    }).join("; ");
}
