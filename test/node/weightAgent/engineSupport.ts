import { type Logger, pino } from "pino";
import { err, ok } from "true-myth/result";
import { createStallMonitor } from "../../../src/node/replica/index.js";
import { createEngineController, type EngineController } from "../../../src/node/weightAgent/engineController.js";
import type { EngineStatus } from "../../../src/node/weightAgent/loadFeed.js";
import { type StagedWrites, trackStagedWrites } from "../../../src/node/weightAgent/stagedWrites.js";
import { createWeightMemory } from "../../../src/node/weightAgent/weightMemory.js";
import { createManifest, verifyChunk } from "../../../src/runtime/distribution/index.js";
import {
    createError,
    type EngineControlPort,
    type EngineReport,
    type LoadOrder,
    type Manifest,
    type OrderOutcome,
} from "../../../src/types/index.js";
import { createManualClock, type ManualClock } from "../../../src/utils/index.js";

export const model = "scribe";
export const chunkCount = 4;
export const corrupt = Buffer.alloc(8, 255);

/** Time for which a chunk may be corrupt when the engine takes it. */
const allowedCorruption = 3_000;

/** Content of the chunks of a version. */
export function createChunks(version: number): Buffer[] {
    return Array.from({ length: chunkCount }, (...[, index]) => Buffer.alloc(8, version * 16 + index));
}

const manifests = new Map<number, Manifest>();

export function readManifest(version: number): Manifest {
    const manifest = manifests.get(version) ??
        createManifest({ model, adapter: "", version: String(version) }, createChunks(version));
    manifests.set(version, manifest);
    return manifest;
}

function isRight(version: number, chunks: readonly (Uint8Array | undefined)[]): boolean {
    return chunks.every((chunk, index) => chunk !== undefined && verifyChunk(readManifest(version), index, chunk));
}

const lost = err(createError("ORDER_AMBIGUOUS", "call engine", "engine", "timed out", { mayHaveTakenEffect: true }));

/** Engine that loads what is staged when it accepts an order, and can carry out calls after their response is lost. */
export class LateEngine implements EngineControlPort {
    readonly staged = new Map<number, Uint8Array>();
    startedAt = 1;
    sequence = 0;
    busy = false;
    isReachable = true;
    /** Requests that the engine runs. */
    running = 0;
    /** While true, the responses of orders are lost, and the orders wait for {@link deliver}. */
    holdsOrders = false;
    /** While true, the responses of writes are lost, and the writes wait for {@link deliver}. */
    holdsWrites = false;
    /** Loaded version and chunks. */
    loaded: { readonly version: number; readonly chunks: readonly (Uint8Array | undefined)[]; } | undefined;
    /** While true, an accepted order keeps the engine busy until {@link finish}. */
    loadsSlowly = false;
    readonly held: (() => void)[] = [];
    /** Called before any call to the engine arrives. */
    onCall: () => void = () => {};
    /** Called before an order or a write arrives. */
    beforeOrder: () => void = () => {};
    beforeWrite: () => void = () => {};
    readonly accepted: number[] = [];
    /** Number of accepted orders that loaded chunks of another version, or corrupt ones. */
    wrongLoads = 0;
    private loading: LateEngine["loaded"];

    private readonly heldWrites = new Set<() => void>();
    private readonly corrupted = new Map<number, { readonly at: number; readonly content: Uint8Array; }>();

    constructor(version: number, private readonly clock: ManualClock = createManualClock()) {
        createChunks(version).forEach((chunk, index) => this.staged.set(index, chunk));
        this.loaded = { version, chunks: createChunks(version) };
    }

    /** Whether the engine reports a version as complete whose chunks are not those of the version. */
    get isWrong(): boolean {
        return this.loaded !== undefined && !isRight(this.loaded.version, this.loaded.chunks);
    }

    /** Carries out the calls whose responses were lost. */
    deliver(count = this.held.length): void {
        this.held.splice(0, count).forEach(call => call());
    }

    /** Carries out the writes whose responses were lost; an engine that answers does not hold them for long. */
    deliverWrites(): void {
        const writes = this.held.filter(call => this.heldWrites.has(call));
        this.held.splice(0, this.held.length, ...this.held.filter(call => !this.heldWrites.has(call)));
        writes.forEach(call => call());
    }

    finish(): void {
        this.busy = false;
        this.loaded = this.loading ?? this.loaded;
        this.loading = undefined;
    }

    /** Makes a staged chunk corrupt. */
    corrupt(index: number): void {
        const content = this.staged.get(index);
        if (content !== undefined && content !== corrupt) {
            this.corrupted.set(index, { at: this.clock.monotonic(), content });
            this.staged.set(index, corrupt);
        }
    }

    /** Chunk that the engine loads; a load may take one that has become corrupt a moment ago. */
    private take(index: number): Uint8Array | undefined {
        const staged = this.staged.get(index);
        const corrupted = this.corrupted.get(index);
        const isNew = corrupted !== undefined && this.clock.monotonic() - corrupted.at <= allowedCorruption;
        return staged === corrupt && isNew ? corrupted.content : staged;
    }

    restart(): void {
        this.startedAt++;
        this.sequence = 0;
        this.held.length = 0;
        this.loading = undefined;
        this.loaded = undefined;
        this.busy = false;
    }

    readReport(): ReturnType<EngineControlPort["readReport"]> {
        this.onCall();
        if (!this.isReachable) {
            return Promise.resolve(err(createError("ENGINE_UNREACHABLE", "read report", "engine", "timed out")));
        }
        const report: EngineReport = {
            startedAt: this.startedAt,
            weights: this.loaded === undefined ? undefined : { model, version: this.loaded.version, complete: true },
            busy: this.busy,
            orderSequence: this.sequence,
            running: this.running,
            queued: 0,
        };
        return Promise.resolve(ok(report));
    }

    load(order: LoadOrder): ReturnType<EngineControlPort["load"]> {
        return this.receive(order, () => this.accept(order));
    }

    unload(order: LoadOrder): ReturnType<EngineControlPort["unload"]> {
        return this.receive(order, () => this.giveUp(order));
    }

    private receive(order: LoadOrder, accept: () => OrderOutcome): ReturnType<EngineControlPort["load"]> {
        if (!order.mayWrite()) {
            return Promise.resolve(ok("refused"));
        }
        this.onCall();
        this.beforeOrder();
        if (this.holdsOrders || !this.isReachable) {
            this.held.push(accept);
            return Promise.resolve(lost);
        }
        return Promise.resolve(ok(accept()));
    }

    listStaged(): ReturnType<EngineControlPort["listStaged"]> {
        return Promise.resolve(ok([...this.staged.keys()]));
    }

    readStaged(...[, index]: Parameters<EngineControlPort["readStaged"]>): ReturnType<EngineControlPort["readStaged"]> {
        this.onCall();
        return Promise.resolve(ok(this.staged.get(index)));
    }

    stage(...[, index, content]: Parameters<EngineControlPort["stage"]>): ReturnType<EngineControlPort["stage"]> {
        this.onCall();
        this.beforeWrite();
        if (this.holdsWrites || !this.isReachable) {
            const write = (): unknown => this.staged.set(index, content);
            this.held.push(write);
            this.heldWrites.add(write);
            return Promise.resolve(lost);
        }
        this.staged.set(index, content);
        return Promise.resolve(ok(undefined));
    }

    private giveUp({ expectedSequence }: LoadOrder): OrderOutcome {
        if (expectedSequence !== this.sequence || this.busy) {
            return "refused";
        }
        if (this.loaded === undefined) {
            return "in-effect";
        }
        this.sequence++;
        this.loaded = undefined;
        return "begun";
    }

    private accept({ expectedSequence, version }: LoadOrder): OrderOutcome {
        if (expectedSequence !== this.sequence || this.busy) {
            return "refused";
        }
        if (this.loaded?.version === version) {
            return "in-effect";
        }
        this.sequence++;
        this.accepted.push(version);
        this.loading = { version, chunks: createChunks(version).map((...[, index]) => this.take(index)) };
        this.wrongLoads += isRight(version, this.loading.chunks) ? 0 : 1;
        this.loaded = undefined;
        this.busy = true;
        if (!this.loadsSlowly) {
            this.finish();
        }
        return "begun";
    }
}

/** Agent with the chunks of several versions in memory, beside an engine. */
export interface TestAgent {
    readonly controller: EngineController;
    readonly writes: StagedWrites;
    /** Status that gateways got last. */
    readonly status: () => EngineStatus | undefined;
    /** Number of times at which wrong weights were published as verified. */
    readonly countMistakes: () => number;
    /** Reads the report, acts on it and waits until the calls to the engine are answered. */
    run(rounds?: number): Promise<void>;
    /** Versions with all chunks in memory; the newest one is the declared one. */
    readonly versions: number[];
}

export async function settle(): Promise<void> {
    for (let round = 0; round < 40; round++) {
        await Promise.resolve();
    }
    await new Promise(resolve => setImmediate(resolve));
}

/** Destination of log lines that keeps them. */
export function createKeptLogger(): { readonly logger: Logger; readonly lines: Record<string, unknown>[]; } {
    const lines: Record<string, unknown>[] = [];
    const logger = pino({}, { write: text => lines.push(JSON.parse(text) as Record<string, unknown>) });
    return { logger, lines };
}

export function createAgent(
    engine: LateEngine,
    versions: number[],
    clock: ManualClock = createManualClock(),
    logger: Logger = pino({ level: "silent" }),
    members: readonly string[] = ["a"],
): TestAgent {
    const memory = createWeightMemory(() => chunkCount);
    const findVersion = (index: number, content: Uint8Array): number | undefined =>
        versions.find(version => verifyChunk(readManifest(version), index, content));
    const writes = trackStagedWrites({ engine, clock, logger, findVersion, mayWrite: () => controller.mayStage() });
    let status: EngineStatus | undefined;
    let mistakes = 0;
    const publish = (published: EngineStatus): void => {
        status = published;
        // A status is about the load that its report names; the engine may have accepted another one since.
        const isCurrent = published.report?.startedAt === engine.startedAt &&
            published.report.orderSequence === engine.sequence;
        mistakes += isCurrent && published.weightsVerified && engine.isWrong ? 1 : 0;
    };
    const controller: EngineController = createEngineController({
        writes,
        memory,
        self: "a",
        clock,
        stalls: createStallMonitor({ clock, logger }),
        logger,
        options: {
            waves: members.length,
            firstWaveAfter: 0,
            waveInterval: 1_000,
            lastWaveAfter: 6_000,
            repeatAfter: 3_000,
            drainBeforeLoad: 1_000,
            maximumStagedAge: 2_500,
        },
        publish,
        readTarget: () => {
            const version = Math.max(...versions);
            return {
                model,
                wanted: [{ version, declaredAt: 0 }],
                complete: readManifest(version),
                completedAt: 0,
                transfer: undefined,
                members,
                slots: 4,
            };
        },
        readManifest: (...[, version]) => readManifest(version),
        requestManifest: () => {},
        findVersion,
    });
    return {
        controller,
        writes,
        versions,
        status: () => status,
        countMistakes: () => mistakes,
        run: async (rounds = 1) => {
            for (let round = 0; round < rounds; round++) {
                clock.advance(100);
                for (const version of versions) {
                    memory.import(`${model}@${version}`, chunkCount, new Map(createChunks(version).entries()));
                }
                publish(await controller.run());
                await settle();
            }
        },
    };
}
