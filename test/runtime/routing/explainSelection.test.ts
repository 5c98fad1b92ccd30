import { expect } from "earl";
import { describe, it } from "node:test";
import { createRunnerRow, explainSelection, resolveRoutingOptions } from "../../../src/runtime/routing/index.js";

function createRunner(instance: string, changes: Readonly<Record<string, unknown>>) {
    return Object.assign(createRunnerRow("archive", { instance, zone: "zone-a", region: "south" }), {
        phase: "serving",
        reportedAt: 900,
        capacity: 4,
        ...changes,
    });
}

describe("explanation of a selection", () => {
    // Guards against an explanation that takes part in the load that it explains.
    it("orders the candidates by score, gives a reason for the others, and changes nothing", () => {
        const runners = [
            createRunner("draining", { draining: true }),
            createRunner("busy", { outstanding: 3 }),
            createRunner("cold", { slowStart: { nextAt: 2_000, interval: 300 } }),
            createRunner("full", {}),
            createRunner("idle", {}),
            createRunner("ejected", { ejectedUntil: 5_000 }),
        ];
        const before = JSON.stringify(runners);
        const explained = explainSelection({
            subset: { deployment: "archive", runners },
            zone: "zone-a",
            region: "south",
            manifestDigest: undefined,
            prefix: undefined,
            excluded: new Set(["full"]),
            now: 1_000,
            random: {
                next: () => {
                    throw new Error("the random source is not used");
                },
            },
            options: resolveRoutingOptions(),
        });
        expect(explained.map(({ leftOut, reportAge, runner }) => [runner.instance, leftOut, reportAge])).toEqual([
            ["idle", undefined, 100],
            ["busy", undefined, 100],
            ["draining", "draining", 100],
            ["cold", "slow-start", 100],
            ["full", "excluded", 100],
            ["ejected", "ejected", 100],
        ]);
        expect(JSON.stringify(runners)).toEqual(before);
    });
});
