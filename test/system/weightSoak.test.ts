import { expect } from "earl";
import { after, before, describe, it } from "node:test";
import { buildPrograms, type ProgramBuild } from "../soak/programs.js";
import { runWeightSoak } from "../soak/weightSoak.js";

/** Time during which faults are drawn; the long form of the soak draws them for 30 to 45 s. */
const faultMilliseconds = 10_000;

describe("streams from backend servers whose weights change", () => {
    let build: ProgramBuild;
    before(async () => {
        build = await buildPrograms();
    });
    after(() => build[Symbol.dispose]());

    for (const [mix, seed] of [["late-orders", 1], ["late-writes", 2], ["all", 3]] as const) {
        // Guards against streams from weights that are incomplete, corrupt or of another version.
        it(`are only made with verified weights: ${mix} (seed ${seed})`, async () => {
            const result = await runWeightSoak({ build: build.folder, mix, seed, duration: faultMilliseconds });
            expect(result.violations.slice(0, 1)).toEqual([]);
            expect(result.tokens).toBeGreaterThan(0);
            expect(result.settled).toEqual(true);
        });
    }
});
