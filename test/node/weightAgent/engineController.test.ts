import { expect } from "earl";
import { describe, it } from "node:test";
import { pino } from "pino";
import { ok } from "true-myth/result";
import { createStallMonitor } from "../../../src/node/replica/index.js";
import { createEngineController, type EngineTarget } from "../../../src/node/weightAgent/engineController.js";
import { type StagedWrites, trackStagedWrites } from "../../../src/node/weightAgent/stagedWrites.js";
import { createWeightMemory } from "../../../src/node/weightAgent/weightMemory.js";
import { createManifest } from "../../../src/runtime/distribution/index.js";
import type { EngineControlPort } from "../../../src/types/index.js";
import { createManualClock } from "../../../src/utils/index.js";

const unused = () => Promise.reject(new Error("not expected in this test"));

/** Engine that serves version 1 and only answers reads of its report. */
const engine: EngineControlPort = {
    readReport: () =>
        Promise.resolve(ok({
            startedAt: 1,
            weights: { model: "scribe", version: 1, complete: true },
            busy: false,
            orderSequence: 0,
            running: 3,
            queued: 0,
        })),
    load: unused,
    unload: unused,
    listStaged: unused,
    readStaged: unused,
    stage: unused,
};

const logger = pino({ level: "silent" });

function track(tracked: EngineControlPort): StagedWrites {
    return trackStagedWrites({
        engine: tracked,
        clock: createManualClock(),
        logger,
        findVersion: () => undefined,
        mayWrite: () => true,
    });
}

const versions = { readManifest: () => undefined, requestManifest: () => {}, findVersion: () => undefined };

const options = {
    waves: 1,
    firstWaveAfter: 0,
    waveInterval: 1_000,
    lastWaveAfter: 6_000,
    repeatAfter: 3_000,
    drainBeforeLoad: 1_000,
    maximumStagedAge: 2_500,
};

describe("engine controller", () => {
    // Guards against a load that is delayed because the order for the previous version still counts as without effect.
    it("orders the next version as soon as the previous one is loaded", async () => {
        const clock = createManualClock();
        const memory = createWeightMemory(() => 1);
        const staged = new Map<number, Uint8Array>();
        const ordered: number[] = [];
        let wanted = 2;
        const readManifest = (version: number) =>
            createManifest({ model: "scribe", adapter: "", version: String(version) }, [Buffer.from([version])]);
        const controller = createEngineController({
            writes: track({
                readReport: () =>
                    Promise.resolve(ok({
                        startedAt: 1,
                        weights: { model: "scribe", version: ordered.at(-1) ?? 1, complete: true },
                        busy: false,
                        orderSequence: ordered.length,
                        running: 0,
                        queued: 0,
                    })),
                load: ({ version }) => {
                    ordered.push(version);
                    return Promise.resolve(ok("begun"));
                },
                unload: unused,
                listStaged: unused,
                readStaged: (...[, index]) => Promise.resolve(ok(staged.get(index))),
                stage: (...[, index, content]) => {
                    staged.set(index, content);
                    return Promise.resolve(ok(undefined));
                },
            }),
            memory,
            self: "a",
            clock,
            stalls: createStallMonitor({ clock, logger }),
            logger,
            options,
            publish: () => {},
            readTarget: () => ({
                model: "scribe",
                wanted: [{ version: wanted, declaredAt: 0 }],
                complete: readManifest(wanted),
                completedAt: 0,
                transfer: undefined,
                members: ["a"],
                slots: 4,
            }),
            ...versions,
            readManifest: (...[, version]) => readManifest(version),
        });
        const runUntilOrdered = async (version: number): Promise<void> => {
            memory.import(`scribe@${version}`, 1, new Map([[0, Buffer.from([version])]]));
            clock.advance(2_000);
            await controller.run();
            await new Promise(resolve => setTimeout(resolve, 20));
        };
        await runUntilOrdered(2);
        wanted = 3;
        await runUntilOrdered(3);
        expect(ordered).toEqual([2, 3]);
    });

    // Guards against reports to gateways that alternate between a draining and a serving engine.
    it("reports that the engine drains as soon as the drain is decided", async () => {
        const clock = createManualClock();
        const published: string[] = [];
        let share = 0.5;
        const readTarget = (): EngineTarget => ({
            model: "scribe",
            wanted: [{ version: 2, declaredAt: 0 }],
            complete: undefined,
            completedAt: undefined,
            transfer: { version: 2, share },
            members: ["a"],
            slots: 4,
        });
        const controller = createEngineController({
            writes: track(engine),
            memory: createWeightMemory(() => 4),
            self: "a",
            clock,
            stalls: createStallMonitor({ clock, logger }),
            logger,
            options: { ...options, firstWaveAfter: 3_000 },
            publish: ({ phase }) => published.push(phase),
            readTarget,
            ...versions,
        });
        clock.advance(4_000);
        expect((await controller.run()).phase).toEqual("serving");
        share = 0.9;
        expect((await controller.run()).phase).toEqual("activating");
        expect([controller.isDraining(), controller.isLoading(), published]).toEqual([true, false, ["activating"]]);
        clock.advance(2_000);
        expect((await controller.run()).phase).toEqual("serving");
        // The engine does not drain early again for a version whose chunks came too late.
        expect((await controller.run()).phase).toEqual("serving");
    });
});
