import { expect } from "earl";
import { describe, it } from "node:test";
import {
    addFault,
    applyDeclaration,
    countResults,
    createDeclaration,
    deployAndWait,
    findBrokenGuarantees,
    readExecutions,
    startLoad,
    startLoneStarCluster,
    waitUntilServing,
} from "../../demo/cluster/index.js";
import { sleep } from "../../src/utils/index.js";

describe("a version that changes during live requests", () => {
    // Guards against answers from partial or mixed weights, even if chunks are corrupted and the version changes again
    // while copies are still being replaced.
    it("answers every request from one complete version", async () => {
        await using cluster = await startLoneStarCluster({
            pools: [{ pool: "goldcrest-llm", kind: "model", runners: [2, 2, 0] }],
            weightSets: ["goldcrest:signs:1", "goldcrest:signs:2", "goldcrest:signs:3"],
            settings: { GOLDCRESTPOINT_STAND_IN_PLATFORM_ORIGIN_BYTES_PER_SECOND: "8000000" },
        });
        await deployAndWait(cluster, { name: "goldcrest-llm", kind: "model", replicas: [2, 2, 0] });
        await addFault(cluster.platformUrl, { operation: "chunk-read", kind: "corrupt", probability: 0.05 });
        const load = startLoad(cluster, { models: ["goldcrest-llm"], services: [], callers: 8, pause: 10 });
        await sleep(500);
        for (const version of [2, 3]) {
            const declaration = createDeclaration({
                name: "goldcrest-llm",
                kind: "model",
                version,
                replicas: [2, 2, 0],
            });
            expect((await applyDeclaration(cluster, declaration)).exitCode).toEqual(0);
            await sleep(1_000);
        }
        await waitUntilServing(cluster, "goldcrest-llm", 60_000);
        await sleep(500);

        const records = await load.stop();
        const { wrongAnswers } = findBrokenGuarantees(records, await readExecutions(cluster));
        expect(wrongAnswers).toEqual([]);
        expect(countResults(records)["broken"] ?? 0).toEqual(0);
        const versions = new Set(records.filter(({ result }) => result === "answered").map(({ version }) => version));
        expect(versions.has("1") && versions.has("3")).toEqual(true);
    });
});
