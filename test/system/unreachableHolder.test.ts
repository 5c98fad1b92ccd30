import { expect } from "earl";
import { describe, it } from "node:test";
import {
    deployAndWait,
    listReadyInstances,
    startLoneStarCluster,
    waitUntil,
    waitUntilServing,
} from "../../demo/cluster/index.js";
import { createBackendServerClient } from "../../src/node/backendServer/index.js";
import { sleep } from "../../src/utils/index.js";

/** Hold duration and margin of the test clusters with time for one tick, in milliseconds. */
const holdExpiryTime = 6_000;

describe("an instance whose processes are suspended", () => {
    // Guards against a replacement while the old copy may still serve, and against a resumed holder that serves again.
    it("is replaced only after its hold has expired, and serves nothing when it resumes", async () => {
        await using cluster = await startLoneStarCluster({
            pools: [{ pool: "goldcrest-llm", kind: "model", runners: [3, 0, 0] }],
        });
        await deployAndWait(cluster, { name: "goldcrest-llm", kind: "model", replicas: [2, 0, 0] });
        const [suspendedName] = await listReadyInstances(cluster, "goldcrest-llm");
        const suspended = cluster.runners.find(({ instance }) => instance === suspendedName)!;
        const suspendedAt = Date.now();
        suspended.agent.signal("SIGSTOP");
        suspended.backend.signal("SIGSTOP");

        await waitUntil("a replacement serves", 60_000, async () => {
            return (await listReadyInstances(cluster, "goldcrest-llm")).length === 2;
        });
        // The hold of 4 s was renewed at the earliest one heartbeat before the suspension.
        expect(Date.now() - suspendedAt).toBeGreaterThanOrEqual(4_000);

        suspended.backend.signal("SIGCONT");
        suspended.agent.signal("SIGCONT");
        const resumedAt = Date.now();
        while (Date.now() - resumedAt < holdExpiryTime) {
            const ready = await listReadyInstances(cluster, "goldcrest-llm");
            expect(ready.length).toBeLessThanOrEqual(2);
            expect(ready.includes(suspended.instance)).toEqual(false);
            await sleep(50);
        }
    });
});

describe("a holder that can reach neither the log nor any entry instance", () => {
    // Guards against a holder that keeps serving although its copy may already have been replaced.
    it("stops serving within the hold duration and unloads its weights on its own", async () => {
        await using cluster = await startLoneStarCluster({
            pools: [{ pool: "goldcrest-llm", kind: "model", runners: [1, 0, 0] }],
        });
        await deployAndWait(cluster, { name: "goldcrest-llm", kind: "model", replicas: [1, 0, 0] });
        const [runner] = cluster.runners;
        await using backend = createBackendServerClient({ baseUrl: runner!.backendUrl });
        const otherProcesses = [cluster.platform, ...cluster.entries.map(({ process }) => process)];
        otherProcesses.forEach(other => other.signal("SIGSTOP"));
        await sleep(holdExpiryTime);
        expect(await listReadyInstances(cluster, "goldcrest-llm")).toEqual([]);
        await waitUntil("the engine holds no weights", 10_000, async () => {
            const state = await backend.readState();
            return state.isOk && state.value.active === undefined && state.value.staged.length === 0;
        });
        otherProcesses.forEach(other => other.signal("SIGCONT"));
        await waitUntilServing(cluster, "goldcrest-llm", 60_000);
    });
});
