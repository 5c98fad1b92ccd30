import { expect } from "earl";
import { describe, it } from "node:test";
import { pino } from "pino";
import { createVersionPlan } from "../../../src/node/weightAgent/versionPlan.js";
import type { EngineReport, Manifest } from "../../../src/types/index.js";
import { createManualClock } from "../../../src/utils/index.js";

function createManifest(version: number): Manifest {
    return {
        model: "scribe",
        adapter: "",
        version: String(version),
        totalBytes: 4,
        chunks: [{ bytes: 4, digest: "" }],
    };
}

/** Version plan of an agent whose engine has loaded version 1; the test sets the progress of the transfer. */
function createAgent() {
    const clock = createManualClock();
    const state = { loaded: 1, transferred: 0, share: 0 };
    const plan = createVersionPlan({
        clock,
        logger: pino({ level: "silent" }),
        options: { copyTime: 5_000, cutoverAfter: 7_000, assumedAge: 60_000 },
        readReport: (): EngineReport => ({
            startedAt: 1,
            weights: state.loaded === 0 ? undefined : { model: "scribe", version: state.loaded, complete: true },
            busy: false,
            orderSequence: 0,
            running: 0,
            queued: 0,
        }),
        readProgress: () =>
            state.transferred === 0 ? undefined : {
                manifestDigest: `scribe@${state.transferred}`,
                chunksComplete: state.share * 4,
                chunksTotal: 4,
                complete: state.share === 1,
            },
        readChunk: () => undefined,
    });
    const declare = (version: number): void => {
        const source = { model: "scribe", originAddress: "o:1", chunks: 4, chunkBytes: 1, slots: 4, version };
        plan.updateSource(Buffer.from(JSON.stringify(source)));
        plan.keepManifest(`scribe@${version}`, createManifest(version));
    };
    return { clock, state, plan, declare };
}

describe("version plan of an engine", () => {
    it("treats a version declared before the start as old, and one declared later as new", () => {
        const { clock, declare, plan } = createAgent();
        clock.advance(100_000);
        declare(1);
        declare(2);
        expect(plan.readTarget([])!.wanted.map(({ declaredAt }) => clock.monotonic() - declaredAt)).toEqual([
            0,
            60_000,
        ]);
        expect(plan.updateSource(Buffer.from("{"))).toEqual(undefined);
    });

    it("reports the progress of a transfer, then the time at which it became complete", () => {
        const { clock, declare, plan, state } = createAgent();
        declare(2);
        Object.assign(state, { transferred: 2, share: 0.5 });
        plan.recordProgress();
        expect(plan.readTarget([])!.transfer).toEqual({ version: 2, share: 0.5 });
        state.share = 1;
        clock.advance(500);
        plan.recordProgress();
        const completedAt = clock.monotonic();
        clock.advance(500);
        plan.recordProgress();
        expect(plan.readTarget([])).toEqual(expect.subset({ completedAt, transfer: undefined }));
    });

    it("reserves the staging area for a complete version that is not loaded", () => {
        const { declare, plan, state } = createAgent();
        declare(2);
        expect(plan.readSetToStage()?.manifest.version).toEqual("2");
        Object.assign(state, { transferred: 2, share: 1 });
        plan.recordProgress();
        declare(3);
        expect(plan.readSetToStage()).toEqual(undefined);
        state.loaded = 2;
        expect(plan.readSetToStage()?.manifest.version).toEqual("3");
    });

    it("retains loaded and complete versions, and forgets versions that were replaced", () => {
        const { declare, plan, state } = createAgent();
        declare(2);
        Object.assign(state, { transferred: 2, share: 1 });
        plan.recordProgress();
        expect([...plan.listRetained()]).toEqual(["scribe@1", "scribe@2"]);
        state.loaded = 3;
        expect([...plan.listRetained()]).toEqual(["scribe@3"]);
    });
});
