import { expect } from "earl";
import { describe, it } from "node:test";
import { pino } from "pino";
import { ok } from "true-myth/result";
import { createStallMonitor } from "../../../src/node/replica/index.js";
import { createEngineController, type EngineController } from "../../../src/node/weightAgent/engineController.js";
import { trackStagedWrites } from "../../../src/node/weightAgent/stagedWrites.js";
import { createWeightMemory } from "../../../src/node/weightAgent/weightMemory.js";
import { createManifest } from "../../../src/runtime/distribution/index.js";
import type { Clock, EngineControlPort, EngineReport } from "../../../src/types/index.js";
import { createManualClock } from "../../../src/utils/index.js";

const chunks = Array.from({ length: 4 }, (...[, index]) => Buffer.alloc(8, index + 1));
const manifest = createManifest({ model: "scribe", adapter: "", version: "2" }, chunks);
const corrupt = Buffer.alloc(8, 255);

/** Engine that serves version 1 until it is ordered to load the staged chunks, which a test may change. */
class StagingEngine implements EngineControlPort {
    readonly staged = new Map<number, Uint8Array>(chunks.entries());
    /** Staged chunks at each order that was accepted. */
    readonly loaded: (readonly (Uint8Array | undefined)[])[] = [];
    startedAt = 1;
    /** Called for each report, with the number of reports so far. */
    onReport: (count: number) => void = () => {};
    /** Called when an order waits to be written. */
    onOrder: () => void = () => {};
    private reports = 0;

    readReport(): ReturnType<EngineControlPort["readReport"]> {
        this.reports++;
        this.onReport(this.reports);
        const report: EngineReport = {
            startedAt: this.startedAt,
            weights: { model: "scribe", version: this.loaded.length === 0 ? 1 : 2, complete: true },
            busy: false,
            orderSequence: 0,
            running: 0,
            queued: 0,
        };
        return Promise.resolve(ok(report));
    }

    load({ mayWrite }: Parameters<EngineControlPort["load"]>[0]): ReturnType<EngineControlPort["load"]> {
        this.onOrder();
        if (!mayWrite()) {
            return Promise.resolve(ok("refused"));
        }
        this.loaded.push(chunks.map((...[, index]) => this.staged.get(index)));
        return Promise.resolve(ok("begun"));
    }

    unload(): ReturnType<EngineControlPort["unload"]> {
        return Promise.resolve(ok("begun"));
    }

    listStaged(): ReturnType<EngineControlPort["listStaged"]> {
        return Promise.resolve(ok([...this.staged.keys()]));
    }

    readStaged(...[, index]: Parameters<EngineControlPort["readStaged"]>): ReturnType<EngineControlPort["readStaged"]> {
        return Promise.resolve(ok(this.staged.get(index)));
    }

    stage(...[, index, content]: Parameters<EngineControlPort["stage"]>): ReturnType<EngineControlPort["stage"]> {
        this.staged.set(index, content);
        return Promise.resolve(ok(undefined));
    }
}

function createController(engine: EngineControlPort, clock: Clock): EngineController {
    const logger = pino({ level: "silent" });
    const memory = createWeightMemory(() => chunks.length);
    memory.import("scribe@2", chunks.length, new Map(chunks.entries()));
    return createEngineController({
        writes: trackStagedWrites({ engine, clock, logger, findVersion: () => undefined, mayWrite: () => true }),
        memory,
        self: "a",
        clock,
        stalls: createStallMonitor({ clock, logger }),
        logger,
        options: {
            waves: 1,
            firstWaveAfter: 0,
            waveInterval: 1_000,
            lastWaveAfter: 6_000,
            repeatAfter: 3_000,
            drainBeforeLoad: 1_000,
            maximumStagedAge: 2_500,
        },
        publish: () => {},
        readTarget: () => ({
            model: "scribe",
            wanted: [{ version: 2, declaredAt: 0 }],
            complete: manifest,
            completedAt: 0,
            transfer: undefined,
            members: ["a"],
            slots: 4,
        }),
        readManifest: () => undefined,
        requestManifest: () => {},
        findVersion: () => undefined,
    });
}

async function run(controller: EngineController): Promise<void> {
    await controller.run();
    await new Promise(resolve => setTimeout(resolve, 20));
}

describe("load order", () => {
    // Guards against a load of chunks that became corrupt while the process stood still after their verification.
    it("is only given after the staged chunks were verified again if the process stood still", async () => {
        const clock = createManualClock();
        const engine = new StagingEngine();
        engine.onReport = count => {
            if (count === 2) {
                clock.advance(4_000);
                engine.staged.set(2, corrupt);
            }
        };
        clock.advance(1_000);
        await run(createController(engine, clock));
        expect(engine.loaded).toEqual([chunks]);
    });

    // Guards against a load after a suspension of the machine, which the monotonic clock does not count.
    it("is only given after the staged chunks were verified again if the machine was suspended", async () => {
        const clock = createManualClock();
        let suspended = 0;
        const suspendedClock: Clock = {
            now: () => new Date(clock.now().getTime() + suspended),
            monotonic: () => clock.monotonic(),
        };
        const engine = new StagingEngine();
        engine.onReport = count => {
            if (count === 2) {
                clock.advance(1);
                suspended = 4_000;
                engine.staged.set(2, corrupt);
            }
        };
        clock.advance(1_000);
        await run(createController(engine, suspendedClock));
        expect(engine.loaded).toEqual([chunks]);
    });

    // Guards against a load of chunks that a restart of the engine has removed after their verification.
    it("is only given after the staged chunks were verified again if the engine has restarted", async () => {
        const clock = createManualClock();
        const engine = new StagingEngine();
        engine.onReport = count => {
            if (count === 2) {
                engine.startedAt = 2;
                engine.staged.clear();
            }
        };
        clock.advance(1_000);
        await run(createController(engine, clock));
        expect(engine.loaded).toEqual([chunks]);
    });

    // Guards against an order that waited for a connection while the process stood still.
    it("is not written if the verification has become too old", async () => {
        const clock = createManualClock();
        const engine = new StagingEngine();
        engine.onOrder = () => {
            engine.onOrder = () => {};
            clock.advance(4_000);
            engine.staged.set(1, corrupt);
        };
        clock.advance(1_000);
        const controller = createController(engine, clock);
        await run(controller);
        expect(engine.loaded).toEqual([]);
        await run(controller);
        expect(engine.loaded).toEqual([chunks]);
    });

    // Guards against an engine that stays out of service because its chunks cannot be verified in time.
    it("is given up after several verifications, and the engine serves again", async () => {
        const clock = createManualClock();
        const engine = new StagingEngine();
        engine.onReport = () => clock.advance(4_000);
        const controller = createController(engine, clock);
        await run(controller);
        expect(engine.loaded).toEqual([]);
        expect(controller.isLoading()).toEqual(false);
    });
});
