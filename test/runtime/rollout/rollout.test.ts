import { expect } from "earl";
import { describe, it } from "node:test";
import { assignWave, type LoadInput, planLoad, selectTarget } from "../../../src/runtime/rollout/index.js";

const members = ["a", "b", "c", "d", "e", "f"];

function createInput(changes: Partial<LoadInput> = {}): LoadInput {
    return {
        report: {
            startedAt: 1,
            weights: { model: "quill", version: 1, complete: true },
            busy: false,
            orderSequence: 0,
            running: 3,
            queued: 0,
        },
        loadedState: "verified",
        model: "quill",
        wanted: [{ version: 2, declaredAt: 1_000 }],
        target: 2,
        completedAt: 2_000,
        transfer: undefined,
        drainingSince: undefined,
        self: "a",
        members,
        orderedAt: undefined,
        now: 10_000,
        options: {
            waves: 3,
            firstWaveAfter: 2_000,
            waveInterval: 1_000,
            lastWaveAfter: 6_000,
            repeatAfter: 3_000,
            drainBeforeLoad: 1_000,
        },
        ...changes,
    };
}

describe("replacement of wrong weights", () => {
    it("loads a newer version at once, and gives up the weights first to load the same version again", () => {
        const wrong = createInput({ loadedState: "wrong", now: 1_001 });
        expect(planLoad(wrong)).toEqual({ kind: "load", version: 2, reason: "the loaded weights are wrong" });
        expect(planLoad({ ...wrong, target: 1 }).kind).toEqual("unload");
        expect(planLoad({ ...wrong, target: undefined }).kind).toEqual("unload");
        expect(planLoad({ ...wrong, report: { ...wrong.report, busy: true } }).kind).toEqual("wait");
    });

    // Guards against an older version that is loaded in place of wrong weights whose chunks have not arrived.
    it("waits if only an older version is complete", () => {
        expect(planLoad(createInput({ loadedState: "wrong", target: 0 })).kind).toEqual("wait");
    });
});

describe("order to load a version", () => {
    it("waits for every chunk", () => {
        expect(planLoad(createInput({ target: undefined })).kind).toEqual("wait");
    });

    it("is not given while one is carried out, nor again right after one", () => {
        const { report } = createInput();
        expect(planLoad(createInput({ report: { ...report, busy: true } })).kind).toEqual("wait");
        expect(planLoad(createInput({ orderedAt: 8_000 })).kind).toEqual("wait");
        expect(planLoad(createInput({ orderedAt: 7_000 })).kind).toEqual("load");
    });

    it("is not given for a version that is loaded", () => {
        expect(planLoad(createInput({ target: 1, wanted: [{ version: 1, declaredAt: 0 }] })).kind).toEqual("wait");
        expect(planLoad(createInput({ target: 1 })).kind).toEqual("wait");
    });

    it("is given at once to an engine without weights", () => {
        const { report } = createInput();
        expect(planLoad(createInput({ report: { ...report, weights: undefined }, now: 1_001 })).kind).toEqual("load");
    });

    it("comes in waves, so that two thirds keep serving", () => {
        const loadingAt = (now: number) =>
            members.filter(self => planLoad(createInput({ self, now })).kind === "load").length;
        expect([2_999, 3_000, 4_000, 5_000].map(loadingAt)).toEqual([0, 2, 4, 6]);
    });

    // Guards against two waves that load at the same time after a late transfer.
    it("comes later for all waves if the chunks came late", () => {
        const loadingAt = (now: number) =>
            members.filter(self => planLoad(createInput({ self, now, completedAt: 5_000 })).kind === "load").length;
        expect([3_999, 4_000, 4_999, 5_000, 5_999, 6_000].map(loadingAt)).toEqual([0, 2, 2, 4, 4, 6]);
    });

    it("comes for all waves once the old version is no longer requested", () => {
        const loadingAt = (now: number) =>
            members.filter(self => planLoad(createInput({ self, now, completedAt: 9_000 })).kind === "load").length;
        expect([6_999, 7_000].map(loadingAt)).toEqual([0, 6]);
    });

    it("is timed by the oldest version that the engine lacks", () => {
        const wanted = [{ version: 3, declaredAt: 4_000 }, { version: 2, declaredAt: 1_000 }];
        const last = members.find(self => assignWave(members, self, 3, 3) === 2)!;
        expect(planLoad(createInput({ wanted, target: 3, self: last, now: 5_000 })).kind).toEqual("load");
    });
});

describe("drain before the last chunks have arrived", () => {
    const first = members.find(self => assignWave(members, self, 2, 3) === 0)!;
    const last = members.find(self => assignWave(members, self, 2, 3) === 2)!;

    /** The version is declared at 1,000 ms, and the first wave starts at 3,000 ms. */
    function plan(changes: Partial<LoadInput> = {}): string {
        const transfer = { version: 2, share: 0.75 };
        return planLoad(createInput({ target: 1, transfer, self: first, now: 4_000, ...changes })).kind;
    }

    it("begins when the rest takes no longer than the requests in progress", () => {
        expect(plan()).toEqual("drain");
        expect(plan({ transfer: { version: 2, share: 0.7 } })).toEqual("wait");
    });

    it("waits for the wave of the engine", () => {
        expect(plan({ self: last })).toEqual("wait");
        const nearlyComplete = { self: last, transfer: { version: 2, share: 0.9 } };
        expect(plan({ ...nearlyComplete, now: 6_999 })).toEqual("wait");
        expect(plan({ ...nearlyComplete, now: 7_000 })).toEqual("drain");
    });

    it("continues while chunks are missing, but not forever", () => {
        const slow = { transfer: { version: 2, share: 0.5 }, drainingSince: 4_000 };
        expect(plan({ ...slow, now: 5_999 })).toEqual("drain");
        expect(plan({ ...slow, now: 6_000 })).toEqual("wait");
    });

    it("does not begin without chunks, or while the engine carries out an order", () => {
        const { report } = createInput();
        expect(plan({ transfer: undefined })).toEqual("wait");
        expect(plan({ transfer: { version: 2, share: 0 } })).toEqual("wait");
        expect(plan({ report: { ...report, busy: true } })).toEqual("wait");
    });

    it("is followed by the load once every chunk is there", () => {
        expect(plan({ target: 2, transfer: undefined, drainingSince: 3_500 })).toEqual("load");
    });
});

describe("choice of the version to transfer", () => {
    const options = { copyTime: 5_000, cutoverAfter: 7_000 };

    it("is the newest if it can be loaded before requests stop going to the held version", () => {
        const wanted = [{ version: 3, declaredAt: 2_000 }, { version: 2, declaredAt: 0 }];
        expect(selectTarget({ wanted, held: 1, now: 2_000, options }).version).toEqual(3);
    });

    it("is the older one first if requests would otherwise find no backend server", () => {
        const wanted = [{ version: 3, declaredAt: 4_000 }, { version: 2, declaredAt: 0 }];
        expect(selectTarget({ wanted, held: 1, now: 4_000, options }).version).toEqual(2);
        expect(selectTarget({ wanted, held: 2, now: 5_000, options }).version).toEqual(3);
        expect(selectTarget({ wanted, held: 1, now: 7_000, options }).version).toEqual(3);
    });

    it("is the newest for an engine without weights", () => {
        const wanted = [{ version: 3, declaredAt: 4_000 }, { version: 2, declaredAt: 0 }];
        expect(selectTarget({ wanted, held: 0, now: 4_000, options }).version).toEqual(3);
    });
});
