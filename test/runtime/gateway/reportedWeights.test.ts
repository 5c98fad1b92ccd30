import { expect } from "earl";
import { describe, it } from "node:test";
import {
    areListedWeightsVerified,
    areReportedWeightsVerified,
    noReportedWeights,
    recordWeightsReport,
    type WeightsReport,
} from "../../../src/runtime/gateway/index.js";

const listedStart = 5;

function createReport(changes: Partial<WeightsReport> = {}): WeightsReport {
    return {
        startedAt: undefined,
        orderSequence: 1,
        weights: "quill@2",
        serving: true,
        verified: true,
        ...changes,
    };
}

/** Records reports one after the other, the first of which verifies version 2. */
function recordAfterVerified(...later: readonly Partial<WeightsReport>[]) {
    return [{}, ...later].map(createReport).reduce(
        (known, report) => recordWeightsReport(known, report, listedStart),
        noReportedWeights,
    );
}

describe("weights that an agent has reported as verified", () => {
    it("stay verified at an agent that has restarted", () => {
        expect(areReportedWeightsVerified(recordAfterVerified({ verified: false }))).toEqual(true);
    });

    const others: readonly (readonly [string, readonly Partial<WeightsReport>[]])[] = [
        ["a later order", [{ orderSequence: 2 }]],
        ["another version", [{ weights: "quill@3" }]],
        ["a later start of the engine", [{ startedAt: 6 }]],
        ["an engine that has lost its weights", [{ weights: undefined }, {}]],
    ];
    for (const [name, reports] of others) {
        it(`do not vouch for those of ${name}`, () => {
            const known = recordAfterVerified(...reports.map(report => ({ ...report, verified: false })));
            expect(areReportedWeightsVerified(known)).toEqual(false);
        });
    }

    it("stay verified while an engine whose start is known does not respond", () => {
        const silent = { startedAt: listedStart, weights: undefined, serving: false };
        const known = recordAfterVerified(silent, { verified: false });
        expect(areReportedWeightsVerified(known)).toEqual(true);
    });

    it("include those of an agent that cannot verify them, once the engine serves", () => {
        const first = createReport({ verified: undefined, serving: false });
        const loading = recordWeightsReport(noReportedWeights, first, listedStart);
        expect(areReportedWeightsVerified(loading)).toEqual(false);
        const serving = recordWeightsReport(loading, { ...first, serving: true }, listedStart);
        expect(areReportedWeightsVerified(serving)).toEqual(true);
    });
});

describe("weights that only the list names", () => {
    it("are verified if the newest report named them as verified and serving", () => {
        const known = recordAfterVerified();
        expect(areListedWeightsVerified(known, listedStart, "quill@2")).toEqual(true);
        expect(areListedWeightsVerified(known, listedStart, "quill@3")).toEqual(false);
        expect(areListedWeightsVerified(known, listedStart + 1, "quill@2")).toEqual(false);
    });

    it("are not verified before the first report, or if the newest one said otherwise", () => {
        const unverified = recordAfterVerified({ orderSequence: 2, verified: false });
        const loading = recordAfterVerified({ serving: false });
        const answers = [noReportedWeights, unverified, loading].map(known =>
            areListedWeightsVerified(known, listedStart, "quill@2")
        );
        expect(answers).toEqual([false, false, false]);
    });
});
