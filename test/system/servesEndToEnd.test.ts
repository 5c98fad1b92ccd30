import { expect } from "earl";
import { describe, it } from "node:test";
import { applyDeclaration, sendJsonRequest, startCluster, waitUntilServing } from "../../demo/cluster/index.js";

const declaration = `[deployment]
schema = 2
name = goldcrest-llm
kind = model
model = goldcrest
adapter = signs
version = 1
objective = time

[replicas]
dfw-hall-a = 1
hou-hall-b = 2
`;

describe("a cluster of separate processes", () => {
    // Guards against any missing link between a declaration file and an answered request.
    it("answers through each entry instance with the declared model, adapter and version", async () => {
        await using cluster = await startCluster({
            zones: [{ zone: "dfw-hall-a", region: "dallas" }, { zone: "hou-hall-b", region: "houston" }],
            entries: 2,
            pools: [{ pool: "goldcrest-llm", kind: "model", runners: [1, 2] }],
            weightSets: ["goldcrest:signs:1"],
        });
        expect((await applyDeclaration(cluster, declaration)).exitCode).toEqual(0);
        await waitUntilServing(cluster, "goldcrest-llm", 30_000);

        for (const { url } of cluster.entries) {
            const answer = await sendJsonRequest("POST", `${url}/v1/completions`, {
                model: "goldcrest-llm",
                prompt: "damage report for sign 12",
                max_tokens: 4,
                stream: true,
            });
            expect(answer.status).toEqual(200);
            expect(answer.headers["x-model"]).toEqual("goldcrest");
            expect(answer.headers["x-adapter"]).toEqual("signs");
            expect(answer.headers["x-version"]).toEqual("1");
            expect(String(answer.body).trimEnd().endsWith("data: [DONE]")).toEqual(true);
        }
    });
});
