import { expect } from "earl";
import { describe, it } from "node:test";
import { deploy, listReady, startLoneStar, waitUntil, waitUntilServing } from "../../demo/cluster/index.js";
import { createBackendServerClient } from "../../src/node/backendServer/index.js";
import { sleep } from "../../src/utils/index.js";

/** Hold duration and margin of the test clusters, with time for a tick. */
const lapseTime = 6_000;

describe("an instance that is frozen", () => {
    // Guards against a replacement while the old copy may still serve, and against a thawed holder that serves again.
    it("is replaced only after its hold has expired, and serves nothing when it resumes", async () => {
        await using cluster = await startLoneStar({
            pools: [{ pool: "goldcrest-llm", kind: "model", runners: [3, 0, 0] }],
        });
        await deploy(cluster, { name: "goldcrest-llm", kind: "model", replicas: [2, 0, 0] });
        const [frozenName] = await listReady(cluster, "goldcrest-llm");
        const frozen = cluster.runners.find(({ instance }) => instance === frozenName)!;
        const frozenAt = Date.now();
        frozen.agent.signal("SIGSTOP");
        frozen.backend.signal("SIGSTOP");

        await waitUntil("a replacement serves", 60_000, async () => {
            return (await listReady(cluster, "goldcrest-llm")).length === 2;
        });
        // The hold of 4 s was renewed at the earliest one heartbeat before the freeze.
        expect(Date.now() - frozenAt).toBeGreaterThanOrEqual(4_000);

        frozen.backend.signal("SIGCONT");
        frozen.agent.signal("SIGCONT");
        const resumedAt = Date.now();
        while (Date.now() - resumedAt < lapseTime) {
            const ready = await listReady(cluster, "goldcrest-llm");
            expect(ready.length).toBeLessThanOrEqual(2);
            expect(ready.includes(frozen.instance)).toEqual(false);
            await sleep(50);
        }
    });
});

describe("a holder that hears neither the log nor any entry instance", () => {
    // Guards against a holder that keeps serving while others may already have replaced its copy.
    it("stops serving within the hold duration and unloads its weights by itself", async () => {
        await using cluster = await startLoneStar({
            pools: [{ pool: "goldcrest-llm", kind: "model", runners: [1, 0, 0] }],
        });
        await deploy(cluster, { name: "goldcrest-llm", kind: "model", replicas: [1, 0, 0] });
        const [runner] = cluster.runners;
        await using backend = createBackendServerClient({ baseUrl: runner!.backendUrl });
        const others = [cluster.platform, ...cluster.entries.map(({ process }) => process)];
        others.forEach(other => other.signal("SIGSTOP"));
        await sleep(lapseTime);
        expect(await listReady(cluster, "goldcrest-llm")).toEqual([]);
        await waitUntil("the engine holds no weights", 10_000, async () => {
            const state = await backend.readState();
            return state.isOk && state.value.active === undefined && state.value.staged.length === 0;
        });
        others.forEach(other => other.signal("SIGCONT"));
        await waitUntilServing(cluster, "goldcrest-llm", 60_000);
    });
});
