import { expect } from "earl";
import { describe, it } from "node:test";
import {
    deployAndWait,
    readExecutions,
    sendCompletion,
    startLoad,
    startLoneStarCluster,
} from "../../demo/cluster/index.js";
import { sleep } from "../../src/utils/index.js";

/** Prompt that crashes the stand-in engine. */
const crashingPrompt = "summary of crash-backend-server";
/** Two crashes for each of the two entry instances, since one may not yet know of the other's first crash. */
const maximumCrashes = 4;

describe("a request that crashes each backend server that runs it", () => {
    // Guards against a caller that crashes one backend server after the other, and against the permanent refusal of
    // requests that were only in progress on the same backend server.
    it("is refused after a small number of crashes while other requests are answered", async () => {
        await using cluster = await startLoneStarCluster({
            entries: 2,
            pools: [{ pool: "goldcrest-llm", kind: "model", runners: [2, 2, 2] }],
            settings: { GOLDCRESTPOINT_STAND_IN_ENGINE_TOKENS_PER_SECOND: "50" },
        });
        await deployAndWait(cluster, { name: "goldcrest-llm", kind: "model", replicas: [2, 2, 2] });
        const load = startLoad(cluster, { models: ["goldcrest-llm"], services: [], callers: 6, pause: 10 });
        await sleep(1_000);
        for (let attempt = 0; attempt < 8; attempt++) {
            const { url } = cluster.entries[attempt % 2]!;
            const answer = await sendCompletion(url, "goldcrest-llm", "crew", 10_000, crashingPrompt);
            expect(answer.result === "answered" || answer.result === "wrong").toEqual(false);
        }
        await sleep(1_000);
        const records = await load.stop();
        const crashes = (await readExecutions(cluster)).filter(({ state }) => state === "crashed");
        const crashedServers = new Set(crashes.map(({ instance, incarnation }) => `${instance}/${incarnation}`));
        expect(crashedServers.size).toBeGreaterThanOrEqual(1);
        expect(crashedServers.size).toBeLessThanOrEqual(maximumCrashes);
        expect(records.filter(({ reason }) => reason === "crashes-backend-servers")).toEqual([]);
        expect(records.filter(({ result }) => result === "wrong")).toEqual([]);
        const answered = records.filter(({ result }) => result === "answered").length;
        expect(answered).toBeGreaterThan(records.length / 2);
    });
});
