import { expect } from "earl";
import { describe, it } from "node:test";
import { createInstanceListClient } from "../../src/node/platform/index.js";
import { startPlatformStandIn } from "../../src/standIn/index.js";
import { createManualClock } from "../../src/utils/index.js";
import { applyCondition, type ContractCase, expectOutcome, selectTimeouts, unwrap } from "./support.js";

const row = { role: "backend-server", pool: "scribe", zone: "sando-hall", region: "south-tt", address: "x:1" } as const;

const cases: readonly ContractCase[] = [
    { condition: "healthy", outcome: "ok", effects: 2 },
    { condition: "duplicate", outcome: "ok", effects: 2 },
    { condition: "out-of-order", outcome: "ok", effects: 2 },
    { condition: "not-listening", outcome: ["INSTANCE_LIST_UNREACHABLE", false], effects: 0 },
    { condition: "refuse", outcome: ["INSTANCE_LIST_UNREACHABLE", false], effects: 0 },
    { condition: "reset", outcome: ["INSTANCE_LIST_UNREACHABLE", false], effects: 0 },
    { condition: "slow", outcome: ["INSTANCE_LIST_UNREACHABLE", false], effects: 0 },
    { condition: "lose-answer", outcome: ["INSTANCE_LIST_UNREACHABLE", false], effects: 0 },
    { condition: "truncate", outcome: ["INSTANCE_LIST_UNREACHABLE", false], effects: 0 },
    { condition: "clean-truncate", outcome: ["INSTANCE_LIST_UNREACHABLE", false], effects: 0 },
];

describe("listing instances", { concurrency: true }, () => {
    for (const { condition, outcome, effects } of cases) {
        // Guards against a partial list, in which absent instances would count as terminated.
        it(`reports ${String(outcome)} for ${condition}`, async () => {
            await using platform = await startPlatformStandIn();
            platform.instances.register({ ...row, instance: "a" });
            platform.instances.register({ ...row, instance: "b" });
            await applyCondition(platform, "instance-list", condition);
            const timeouts = selectTimeouts(condition);
            await using client = createInstanceListClient({ baseUrl: platform.baseUrl, timeouts });
            const result = await client.list();
            expectOutcome(result, outcome, "list instances", platform);
            expect(result.isOk ? result.value.length : 0).toEqual(effects);
        });
    }

    // Guards against code that expects the list to show a change immediately.
    it("shows live, leaving and removed instances after the lag", async () => {
        const clock = createManualClock();
        await using platform = await startPlatformStandIn({ clock, instances: { lagMilliseconds: 100 } });
        await using client = createInstanceListClient({ baseUrl: platform.baseUrl });
        const list = async (): Promise<string[]> =>
            unwrap(await client.list()).map(({ instance, state }) => `${instance} ${state}`);
        platform.instances.register({ ...row, instance: "a" });
        const seen = [await list()];
        for (const state of ["leaving", "removed", "removed"] as const) {
            clock.advance(100);
            seen.push(await list());
            platform.instances.setState("a", state);
        }
        expect(seen).toEqual([[], ["a live"], ["a leaving"], []]);
    });

    // Guards against an instance that stays listed although its heartbeats have ended.
    it("drops an instance without heartbeats", async () => {
        const clock = createManualClock();
        await using platform = await startPlatformStandIn({
            clock,
            instances: { heartbeatTimeoutMilliseconds: 100 },
        });
        platform.instances.register({ ...row, instance: "a" });
        platform.instances.heartbeat("a");
        clock.advance(100);
        expect(platform.instances.list().length).toEqual(1);
        clock.advance(1);
        expect(platform.instances.list().length).toEqual(0);
    });
});
