import { sleep } from "../../../src/utils/index.js";
import { type ChunkFault, formatFaults, type StagingArea } from "./stagingArea.js";
import { allLayers, layerCount, type LayerRange, listChunks, testModel } from "./testWeights.js";
import { Turnstile } from "./turnstile.js";

const loadMilliseconds = 300;

/** Layers in the memory of an engine. */
export interface LoadedLayers extends LayerRange {
    readonly version: number;
    /** Chunks that must not have been loaded. */
    readonly faults: readonly ChunkFault[];
}

/** Body of an order. */
export interface EngineOrder {
    readonly op: string;
    readonly version: number;
    readonly mode: string;
    readonly expect?: number;
    readonly from?: number;
    readonly target?: number;
}

/** What an engine has done so far. */
export interface EngineCounts {
    tokens: number;
    /** Tokens that were made with layers whose chunks must not have been loaded. */
    wrongTokens: number;
    /** Orders that began a load. */
    loads: number;
    /** Loads of chunks that must not have been loaded. */
    wrongLoads: number;
    /** Orders that were handled after the time limit of the call. */
    lateOrders: number;
    /** Writes to the staging area that were delayed. */
    lateWrites: number;
}

/** Options of {@link EngineLifetime}. */
export interface EngineLifetimeOptions {
    readonly id: string;
    readonly staging: StagingArea;
    readonly counts: EngineCounts;
    readonly record: (event: string) => void;
    /** Reads the newest declared version. */
    readonly readDeclared: () => number;
    /** Called when all layers of a version are loaded. */
    readonly onLoaded: (version: number) => void;
}

function hasAllLayers({ from, target }: LayerRange): boolean {
    return from === allLayers.from && target === allLayers.target;
}

/** Returns the layers that two ranges share; empty if there are none. */
function intersect(left: LayerRange, right: LayerRange): LayerRange {
    const from = Math.max(left.from, right.from);
    return { from, target: Math.max(from, Math.min(left.target, right.target)) };
}

/** Lists the parts of a range that are outside of another one, which it contains. */
function subtract(range: LayerRange, inner: LayerRange): readonly LayerRange[] {
    const parts = inner.from === inner.target ?
        [range] :
        [{ from: range.from, target: inner.from }, { from: inner.target, target: range.target }];
    return parts.filter(({ from, target }) => from < target);
}

function countLayers({ from, target }: LayerRange): number {
    return target - from;
}

/** State of an engine from its start to its end, and the orders that it accepts. */
export class EngineLifetime {
    readonly born = Date.now();
    /** Passed by each request; held while the engine stands still. */
    readonly requests = new Turnstile();
    /** Passed by each order. */
    readonly orders = new Turnstile();
    /** Cuts off the streams in progress. */
    readonly running = new Set<() => void>();
    hasEnded = false;
    private isBusy = false;
    private isDraining = false;
    private sequence = 0;

    constructor(private readonly options: EngineLifetimeOptions, private loaded: LoadedLayers | undefined) {}

    /** Describes the weights, as in the list of backend servers. */
    describe(): Readonly<Record<string, unknown>> {
        const { loaded } = this;
        const layers = loaded && { layers: { from: loaded.from, target: loaded.target, version: loaded.version } };
        return {
            stage: "prefill_decode",
            born: this.born,
            models: loaded === undefined ? [] : [{ name: testModel, version: loaded.version, adapters: [] }],
            ...layers,
        };
    }

    /** Describes weights and load, as in the report. */
    report(): Readonly<Record<string, unknown>> {
        const load = { queued: 0, running: this.running.size, kv_used: 0, kv_total: 317_000, handles: 0 };
        return { ...this.describe(), busy: this.isBusy, sequence: this.sequence, ...load };
    }

    /** Returns the layers in memory, which may be incomplete; undefined if the engine accepts no requests. */
    readServing(): LoadedLayers | undefined {
        return this.isDraining ? undefined : this.loaded;
    }

    /** Returns the version of which all layers are loaded, from the right chunks; 0 if there is none. */
    readVersion(): number {
        const { loaded } = this;
        return loaded !== undefined && hasAllLayers(loaded) && loaded.faults.length === 0 ? loaded.version : 0;
    }

    /**
     * Handles an order, which names the layers that the engine is to hold. Layers of the same version that it holds
     * already are kept as they are; the others are loaded or given up.
     *
     * @param order - the order
     * @returns status of the response
     */
    accept(order: EngineOrder): number {
        const { loaded } = this;
        const { counts, id, readDeclared, record, staging } = this.options;
        const range = { from: order.from ?? allLayers.from, target: order.target ?? allLayers.target };
        if (order.op !== "start" || order.version > readDeclared()) {
            return 400;
        }
        if (this.isBusy || (order.expect !== undefined && order.expect !== this.sequence)) {
            return 409;
        }
        if (loaded?.version === order.version && loaded.from === range.from && loaded.target === range.target) {
            return 200;
        }
        this.sequence++;
        this.isBusy = true;
        const kept = loaded?.version === order.version ? intersect(loaded, range) : { from: 0, target: 0 };
        const added = subtract(range, kept);
        const faults = added.flatMap(part => staging.findFaults(order.version, part));
        if (added.length > 0) {
            counts.loads++;
            counts.wrongLoads += faults.length > 0 ? 1 : 0;
            record(`${id} loads version ${order.version}, chunks: ${formatFaults(faults) || "all right"}`);
        }
        const keptChunks = listChunks(kept);
        const keptFaults = loaded?.faults.filter(({ index }) => keptChunks.includes(index)) ?? [];
        const layers = { ...range, version: order.version, faults: [...keptFaults, ...faults] };
        void this.change(layers, kept, added.reduce((sum, part) => sum + countLayers(part), 0), order.mode);
        return 202;
    }

    private async change(next: LoadedLayers, kept: LayerRange, added: number, mode: string): Promise<void> {
        const { loaded } = this;
        // Layers that are added to all those that the engine holds are loaded beside its work.
        if (loaded === undefined || countLayers(kept) < countLayers(loaded)) {
            await this.drain(mode);
            this.loaded = loaded === undefined || countLayers(kept) === 0 ? undefined : { ...loaded, ...kept };
        }
        await sleep(loadMilliseconds * added / layerCount);
        await this.requests.pass();
        if (this.hasEnded) {
            return;
        }
        this.loaded = countLayers(next) === 0 ? undefined : next;
        this.isBusy = false;
        this.isDraining = false;
        const { id, onLoaded, record } = this.options;
        record(`${id} holds layers ${next.from} to ${next.target} of version ${next.version}`);
        if (hasAllLayers(next) && next.faults.length === 0) {
            onLoaded(next.version);
        }
    }

    private async drain(mode: string): Promise<void> {
        this.isDraining = true;
        if (mode === "truncate") {
            this.running.forEach(cut => cut());
        }
        while (this.running.size > 0 && !this.hasEnded) {
            await sleep(10);
        }
    }
}
