import { expect } from "earl";
import { describe, it } from "node:test";
import {
    countResults,
    deployAndWait,
    findBrokenGuarantees,
    readExecutions,
    sendJsonRequest,
    startLoad,
    startLoneStarCluster,
    waitUntilServing,
} from "../../demo/cluster/index.js";
import { sleep } from "../../src/utils/index.js";

describe("processes that are killed during live requests", () => {
    // Guards against wrong or incomplete answers, requests that ran although they were refused as not run, and keys
    // that were executed twice.
    it("break no guarantee", async () => {
        await using cluster = await startLoneStarCluster({
            pools: [
                { pool: "goldcrest-llm", kind: "model", runners: [2, 1, 1] },
                { pool: "field-app", kind: "service", runners: [1, 1, 0] },
            ],
        });
        await deployAndWait(cluster, { name: "goldcrest-llm", kind: "model", replicas: [2, 1, 1] });
        await deployAndWait(cluster, { name: "field-app", kind: "service", replicas: [1, 1, 0] });
        const load = startLoad(cluster, { models: ["goldcrest-llm"], services: ["field-app"], callers: 10, pause: 20 });
        await sleep(3_000);

        const [first, second] = cluster.runners;
        first!.agent.signal("SIGKILL");
        await sleep(500);
        cluster.restartAgent(first!);
        await sendJsonRequest("POST", `${second!.backendUrl}/control/crash`);
        await sleep(500);
        const service = cluster.runners.find(({ pool }) => pool === "field-app")!;
        service.agent.signal("SIGKILL");
        cluster.entries[0]!.process.signal("SIGKILL");
        await sleep(500);
        cluster.restartAgent(service);
        cluster.restartEntry(cluster.entries[0]!);
        await waitUntilServing(cluster, "goldcrest-llm", 30_000);
        await waitUntilServing(cluster, "field-app", 30_000);
        await sleep(1_000);

        const records = await load.stop();
        expect(countResults(records)["answered"] ?? 0).toBeGreaterThan(50);
        expect(findBrokenGuarantees(records, await readExecutions(cluster))).toEqual({
            wrongAnswers: [],
            refusedButRun: [],
            executedTwice: [],
        });
    });
});
