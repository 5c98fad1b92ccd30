import { expect } from "earl";
import { readFileSync } from "node:fs";
import { describe, it } from "node:test";
import { resolveWeightAgentSettings } from "../../../src/node/settings/index.js";
import { expectOk } from "../support.js";

function resolveTimes(content: string) {
    const file = { name: "gateway.ini", content };
    const { gateway, weightAgent } = expectOk(resolveWeightAgentSettings({ file, environment: {}, flags: {} }));
    const { abandonAfter, cutoverAfter } = gateway;
    return { cutoverAfter, abandonAfter, lastWaveAfter: weightAgent.lastWaveAfter };
}

describe("times of a switch to a new version", () => {
    // Guards against requests that older versions answer after the limit that the platform states.
    for (const limit of [1_000, 4_000, 8_000, 9_700, 13_400]) {
        it(`stay within a version limit of ${limit} ms, in the order of load, cutover and abort`, () => {
            const { abandonAfter, cutoverAfter, lastWaveAfter } = resolveTimes(
                `[gateway]\nversionLimitMilliseconds = ${limit}`,
            );
            expect(abandonAfter).toBeLessThan(limit);
            expect(cutoverAfter <= abandonAfter).toEqual(true);
            expect(lastWaveAfter).toBeLessThan(cutoverAfter);
            expect(cutoverAfter >= limit * 0.75).toEqual(true);
        });
    }

    it("are those of the settings if no limit is stated", () => {
        const times = { cutoverAfter: 5_000, abandonAfter: 5_500, lastWaveAfter: 6_200 };
        const content = "cutoverAfterMilliseconds = 5000\nabandonAfterMilliseconds = 5500";
        expect(resolveTimes(`[gateway]\n${content}`)).toEqual(times);
        expect(resolveTimes(`[gateway]\nversionLimitMilliseconds = 0\n${content}`)).toEqual(times);
    });

    it("follow from the limit in the platform's settings file", () => {
        const template = readFileSync(new URL("../../../platform/settings.ini", import.meta.url), "utf8");
        expect(template).toMatchRegex(
            /^\{\{#bounds\.version_ms\}\}versionLimitMilliseconds = \{\{bounds\.version_ms\}\}/m,
        );
    });
});
