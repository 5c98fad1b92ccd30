import { sleep } from "../../../src/utils/index.js";
import { type ChunkFault, formatFaults, type StagingArea } from "./stagingArea.js";
import { allLayers, layerCount, type LayerRange, testModel } from "./testWeights.js";
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
    /** Called when all layers of a version are loaded. */
    readonly onLoaded: (version: number) => void;
}

function hasAllLayers({ from, target }: LayerRange): boolean {
    return from === allLayers.from && target === allLayers.target;
}

/** Lists the parts of a range that are not held yet. */
function listAddedLayers({ from, target }: LayerRange, held: LayerRange | undefined): readonly LayerRange[] {
    if (held === undefined || held.from > target || held.target < from) {
        return [{ from, target }];
    }
    return [{ from, target: held.from }, { from: held.target, target }].filter(part => part.from < part.target);
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

    /** Returns the version of which all layers are loaded; 0 if there is none. */
    readVersion(): number {
        return this.loaded !== undefined && hasAllLayers(this.loaded) ? this.loaded.version : 0;
    }

    /** Handles an order; returns the status of its response. */
    accept(order: EngineOrder): number {
        const { loaded } = this;
        const { counts, id, record, staging } = this.options;
        const range = { from: order.from ?? allLayers.from, target: order.target ?? allLayers.target };
        if (order.op !== "start") {
            return 400;
        }
        if (this.isBusy || (order.expect !== undefined && order.expect !== this.sequence)) {
            return 409;
        }
        if (loaded?.version === order.version && loaded.from <= range.from && loaded.target >= range.target) {
            return 200;
        }
        this.sequence++;
        this.isBusy = true;
        const faults = listAddedLayers(range, loaded?.version === order.version ? loaded : undefined)
            .flatMap(added => staging.findFaults(order.version, added));
        counts.loads++;
        counts.wrongLoads += faults.length > 0 ? 1 : 0;
        record(`${id} loads version ${order.version}, chunks: ${formatFaults(faults) || "all right"}`);
        void this.load({ ...range, version: order.version, faults }, order.mode);
        return 202;
    }

    private async load(added: LoadedLayers, mode: string): Promise<void> {
        const { loaded } = this;
        const extended = loaded?.version === added.version && added.from <= loaded.target &&
                added.target >= loaded.from ?
            loaded :
            undefined;
        if (extended === undefined) {
            await this.drain(mode);
            this.loaded = undefined;
        }
        await sleep(loadMilliseconds * (added.target - added.from) / layerCount);
        await this.requests.pass();
        if (this.hasEnded) {
            return;
        }
        this.loaded = extended === undefined ? added : {
            version: added.version,
            from: Math.min(extended.from, added.from),
            target: Math.max(extended.target, added.target),
            faults: [...extended.faults, ...added.faults],
        };
        this.isBusy = false;
        this.isDraining = false;
        this.options.record(`${this.options.id} has loaded version ${added.version}`);
        if (hasAllLayers(this.loaded) && this.loaded.faults.length === 0) {
            this.options.onLoaded(added.version);
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
