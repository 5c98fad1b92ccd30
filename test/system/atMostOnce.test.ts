import { expect } from "earl";
import { describe, it } from "node:test";
import {
    addFault,
    type Cluster,
    deployAndWait,
    findBrokenGuarantees,
    type LoadRecord,
    readExecutions,
    sendServiceCall,
    startLoneStarCluster,
} from "../../demo/cluster/index.js";
import { createIdempotencyKey } from "../../src/runtime/idempotency/index.js";
import { createSystemRandom, sleep } from "../../src/utils/index.js";

/** Time for which a new owner refuses keys, in milliseconds: the clock skew that it allows for. */
const minimumOwnerAge = 3_000;

async function sendThroughAll(cluster: Cluster, key: string): Promise<LoadRecord[]> {
    const records: LoadRecord[] = [];
    for (const { url } of cluster.entries) {
        records.push(await sendServiceCall(url, "accounts", "crew", key, 5_000));
    }
    return records;
}

describe("a non-idempotent request that is sent again", () => {
    // Guards against a second execution: through another entry instance, after a lost answer, and after a restart of
    // the agent that stored the key.
    it("runs at most once, and its stored answer is returned again", async () => {
        await using cluster = await startLoneStarCluster({
            pools: [{ pool: "accounts", kind: "service", runners: [1, 0, 0] }],
        });
        await deployAndWait(cluster, { name: "accounts", kind: "service", replicas: [1, 0, 0] });
        await sleep(minimumOwnerAge);
        const random = createSystemRandom();
        const [runner] = cluster.runners;

        const repeated = await sendThroughAll(cluster, createIdempotencyKey(Date.now(), random));
        expect(repeated.map(({ result }) => result)).toEqual(["answered", "answered", "answered"]);

        await addFault(runner!.backendUrl, { operation: "execute", kind: "lose-answer", times: 1 });
        const lost = await sendThroughAll(cluster, createIdempotencyKey(Date.now(), random));
        expect(lost.map(({ result }) => result)).toEqual(["unknown", "unknown", "unknown"]);

        const before = createIdempotencyKey(Date.now(), random);
        const answered = await sendServiceCall(cluster.entries[0]!.url, "accounts", "crew", before, 5_000);
        expect(answered.result).toEqual("answered");
        runner!.agent.signal("SIGKILL");
        await runner!.agent.waitForExit();
        cluster.restartAgent(runner!);
        await sleep(minimumOwnerAge);
        const restarted = await sendThroughAll(cluster, before);
        expect(restarted.some(({ result }) => result === "answered")).toEqual(false);

        const executions = await readExecutions(cluster);
        expect(executions.length).toEqual(3);
        expect(findBrokenGuarantees([...repeated, ...lost, ...restarted], executions).executedTwice).toEqual([]);
    });
});
