import { expect } from "earl";
import { describe, it } from "node:test";
import {
    addFault,
    applyDeclaration,
    clearFaults,
    createDeclaration,
    deployAndWait,
    listReadyInstances,
    sendCompletion,
    sendJsonRequest,
    startLoneStarCluster,
    waitUntil,
    waitUntilServing,
} from "../../demo/cluster/index.js";
import { sleep } from "../../src/utils/index.js";

/** Three times the hold duration of the test clusters, in milliseconds. */
const outage = 12_000;

describe("an outage of the platform's log", () => {
    // Guards against holders that unload their weights although only the log is unreachable, and against processes that
    // start with an older configuration or without one.
    it("leaves copies serving, lets processes start with the state of peers, and accepts changes later", async () => {
        await using cluster = await startLoneStarCluster({
            pools: [{ pool: "goldcrest-llm", kind: "model", runners: [1, 1, 1] }],
        });
        await deployAndWait(cluster, { name: "goldcrest-llm", kind: "model", replicas: [1, 1, 0] });
        await addFault(cluster.platformUrl, { operation: "log-read", kind: "outage" });
        await addFault(cluster.platformUrl, { operation: "log-append", kind: "outage" });

        const restartedEntry = cluster.entries[0]!;
        await sleep(outage / 2);
        restartedEntry.process.signal("SIGKILL");
        await restartedEntry.process.waitForExit();
        cluster.restartEntry(restartedEntry);
        await sleep(outage / 2);

        expect((await listReadyInstances(cluster, "goldcrest-llm")).length).toEqual(2);
        for (const { url } of cluster.entries) {
            const answer = await sendCompletion(url, "goldcrest-llm", "crew", 10_000);
            expect(answer.result).toEqual("answered");
        }

        await clearFaults(cluster.platformUrl);
        const change = createDeclaration({ name: "goldcrest-llm", kind: "model", version: 2, replicas: [1, 1, 1] });
        expect((await applyDeclaration(cluster, change)).exitCode).toEqual(0);
        await waitUntilServing(cluster, "goldcrest-llm", 30_000);
    });

    // Guards against an entry instance that accepts requests without any configuration.
    it("keeps a restarted entry instance unready if it has no peers", async () => {
        await using cluster = await startLoneStarCluster({ entries: 1 });
        const entry = cluster.entries[0]!;
        await waitUntil("the entry instance is ready", 10_000, async () => {
            return (await sendJsonRequest("GET", `${entry.url}/ready`)).status === 200;
        });
        await addFault(cluster.platformUrl, { operation: "log-read", kind: "outage" });
        entry.process.signal("SIGKILL");
        await entry.process.waitForExit();
        cluster.restartEntry(entry);
        await waitUntil("the entry instance answers", 10_000, async () => {
            return (await sendJsonRequest("GET", `${entry.url}/health`)).status === 200;
        });
        await sleep(2_000);
        expect((await sendJsonRequest("GET", `${entry.url}/ready`)).status).toEqual(503);
    });
});
