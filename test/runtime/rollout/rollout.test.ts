import { expect } from "earl";
import { describe, it } from "node:test";
import { chooseTarget, chooseWave, type LoadInput, planLoad } from "../../../src/runtime/rollout/index.js";

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
        model: "quill",
        wanted: [{ version: 2, declaredAt: 1_000 }],
        target: 2,
        self: "a",
        members,
        orderedAt: undefined,
        now: 10_000,
        options: { waves: 3, firstWaveAfter: 2_000, waveInterval: 1_000, repeatAfter: 3_000 },
        ...changes,
    };
}

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

    it("comes in groups, so that two thirds keep serving", () => {
        const loadingAt = (now: number) =>
            members.filter(self => planLoad(createInput({ self, now })).kind === "load").length;
        expect([2_999, 3_000, 4_000, 5_000].map(loadingAt)).toEqual([0, 2, 4, 6]);
    });

    it("is timed by the oldest version that the engine lacks", () => {
        const wanted = [{ version: 3, declaredAt: 4_000 }, { version: 2, declaredAt: 1_000 }];
        const last = members.find(self => chooseWave(members, self, 3, 3) === 2)!;
        expect(planLoad(createInput({ wanted, target: 3, self: last, now: 5_000 })).kind).toEqual("load");
    });
});

describe("choice of the version to transfer", () => {
    const options = { copyTime: 5_000, cutoverAfter: 7_000 };

    it("is the newest if it is there before the older one falls due", () => {
        const wanted = [{ version: 3, declaredAt: 2_000 }, { version: 2, declaredAt: 0 }];
        expect(chooseTarget({ wanted, held: 1, now: 2_000, options }).version).toEqual(3);
    });

    it("is the older one first if requests would find no backend server in between", () => {
        const wanted = [{ version: 3, declaredAt: 4_000 }, { version: 2, declaredAt: 0 }];
        expect(chooseTarget({ wanted, held: 1, now: 4_000, options }).version).toEqual(2);
        expect(chooseTarget({ wanted, held: 2, now: 5_000, options }).version).toEqual(3);
        expect(chooseTarget({ wanted, held: 1, now: 7_000, options }).version).toEqual(3);
    });

    it("is the newest for an engine without weights", () => {
        const wanted = [{ version: 3, declaredAt: 4_000 }, { version: 2, declaredAt: 0 }];
        expect(chooseTarget({ wanted, held: 0, now: 4_000, options }).version).toEqual(3);
    });
});
