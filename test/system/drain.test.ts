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
    waitUntil,
    waitUntilServing,
} from "../../demo/cluster/index.js";
import { sleep } from "../../src/utils/index.js";

/** Time within which a leaving backend server stops getting new requests, in milliseconds. */
const noticeTimeLimit = 3_000;
/** An answer of 16 tokens then takes longer than servers keep connections that are in use open during shutdown. */
const slowEngine = { GOLDCRESTPOINT_STAND_IN_ENGINE_TOKENS_PER_SECOND: "4" };

describe("a graceful shutdown", () => {
    // Guards against answers that are cut off when a process is asked to stop.
    it("of an agent and of an entry instance cuts off no answer in progress", async () => {
        await using cluster = await startLoneStarCluster({
            pools: [{ pool: "goldcrest-llm", kind: "model", runners: [1, 1, 0] }],
            settings: slowEngine,
        });
        await deployAndWait(cluster, { name: "goldcrest-llm", kind: "model", replicas: [1, 1, 0] });
        const load = startLoad(cluster, { models: ["goldcrest-llm"], services: [], callers: 8, pause: 10 });
        await sleep(6_000);
        cluster.runners[0]!.agent.signal("SIGTERM");
        cluster.entries[0]!.process.signal("SIGTERM");
        expect(await cluster.runners[0]!.agent.waitForExit()).toEqual(0);
        expect(await cluster.entries[0]!.process.waitForExit()).toEqual(0);
        const results = countResults(await load.stop());
        expect(results["answered"] ?? 0).toBeGreaterThan(8);
        expect(results["broken"] ?? 0).toEqual(0);
        expect(results["unknown"] ?? 0).toEqual(0);
        expect(results["wrong"] ?? 0).toEqual(0);
    });
});

describe("a leaving instance", () => {
    // Guards against new requests for an instance that the platform is about to end.
    it("gets no new requests after a few seconds and is replaced", async () => {
        await using cluster = await startLoneStarCluster({
            pools: [{ pool: "goldcrest-llm", kind: "model", runners: [3, 0, 0] }],
        });
        await deployAndWait(cluster, { name: "goldcrest-llm", kind: "model", replicas: [2, 0, 0] });
        const load = startLoad(cluster, { models: ["goldcrest-llm"], services: [], callers: 6, pause: 10 });
        await sleep(500);
        const executions = await readExecutions(cluster);
        const leaving = executions[0]!.instance;
        await sendJsonRequest("POST", `${cluster.platformUrl}/control/instances/${leaving}/state`, {
            state: "leaving",
        });
        await sleep(noticeTimeLimit);

        const countExecutions = async (instance: string): Promise<number> =>
            (await readExecutions(cluster)).filter(execution => execution.instance === instance).length;
        const countAfterNotice = await countExecutions(leaving);
        await waitUntil("two other runners serve", 30_000, async () => {
            const status = await sendJsonRequest("GET", `${cluster.entries[0]!.url}/operations/status`);
            return JSON.stringify(status.body).includes("\"serving\":2");
        });
        await waitUntilServing(cluster, "goldcrest-llm", 30_000);
        await sleep(1_000);
        const records = await load.stop();
        expect(await countExecutions(leaving)).toEqual(countAfterNotice);
        expect(findBrokenGuarantees(records, await readExecutions(cluster)).wrongAnswers).toEqual([]);
        expect(countResults(records)["broken"] ?? 0).toEqual(0);
    });
});
