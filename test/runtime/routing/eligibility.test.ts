import { expect } from "earl";
import { describe, it } from "node:test";
import {
    createRunnerRow,
    findCandidates,
    resolveRoutingOptions,
    type RoutingInput,
    type RunnerRow,
    selectRunner,
} from "../../../src/runtime/routing/index.js";
import { createSeededRandom } from "../../../src/utils/index.js";

const now = 100_000;

function createRunner(zone: string, region: string, changes: Partial<RunnerRow> = {}): RunnerRow {
    const row = createRunnerRow("archive", { instance: zone, zone, region });
    return Object.assign(row, { phase: "serving", reportedAt: now, capacity: 8 }, changes);
}

function createInput(runners: RunnerRow[], changes: Partial<RoutingInput> = {}): RoutingInput {
    return {
        subset: { deployment: "archive", runners },
        zone: "zone-a",
        region: "south",
        manifestDigest: undefined,
        prefix: undefined,
        excluded: new Set(),
        now,
        random: createSeededRandom(1),
        options: resolveRoutingOptions(),
        ...changes,
    };
}

describe("allowed regions in the selection", () => {
    // Guards against a request that runs in another region because the servers of its own are busy, ejected or excluded.
    const states: readonly (readonly [string, Partial<RunnerRow>])[] = [
        ["busy", { reportedLoad: 1_000 }],
        ["ejected", { ejectedUntil: now + 1_000 }],
        ["draining", { draining: true }],
        ["paused", { pausedUntil: now + 1_000 }],
    ];
    for (const [name, changes] of states) {
        it(`keep a request in its region while the server there is ${name}`, () => {
            const runners = [createRunner("zone-a", "south"), createRunner("zone-b", "north", changes)];
            const { candidates, leftOut } = findCandidates(
                createInput(runners, { allowedRegions: new Set(["north"]) }),
            );
            expect(candidates.every(({ region }) => region === "north")).toEqual(true);
            expect(leftOut["outside-regions"]).toEqual(1);
        });
    }

    // Guards against callers whose retry time is that at which a paused server of another region accepts requests again.
    it("are the reason for a refusal if all servers are in other regions, whatever their state", () => {
        const paused = createRunner("zone-a", "south", { pausedUntil: now + 1_000 });
        const draining = createRunner("zone-c", "south", { draining: true });
        const input = createInput([paused, draining], { allowedRegions: new Set(["north"]) });
        expect(selectRunner(input)).toEqual({
            kind: "none",
            reason: "outside-regions",
            candidates: 0,
            retryAfterSeconds: 5,
        });
    });

    it("are the reason for a refusal if the limits have no region in common, also without servers", () => {
        const decision = selectRunner(createInput([], { allowedRegions: new Set() }));
        expect(decision.kind === "none" && decision.reason).toEqual("outside-regions");
    });
});

describe("evacuated zones in the selection", () => {
    const isEvacuated = (zone: string): boolean => zone === "zone-a";

    // Guards against requests to an evacuated zone because the servers elsewhere are busy or ejected.
    it("get no request while another zone has a server, whatever its state", () => {
        const other = createRunner("zone-b", "south", { ejectedUntil: now + 1_000, reportedLoad: 1_000 });
        const decision = selectRunner(createInput([createRunner("zone-a", "south"), other], { isEvacuated }));
        expect(decision.kind === "selected" && decision.runner.zone).toEqual("zone-b");
    });

    // Guards against a reason that names the regions although the operator only has to lift an evacuation.
    it("are the reason for a refusal if the only servers in the allowed regions are there", () => {
        const runners = [createRunner("zone-a", "south"), createRunner("zone-b", "north")];
        const decision = selectRunner(createInput(runners, { isEvacuated, allowedRegions: new Set(["south"]) }));
        expect(decision.kind === "none" && decision.reason).toEqual("evacuated");
    });
});
