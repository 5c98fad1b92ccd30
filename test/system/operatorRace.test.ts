import { expect } from "earl";
import { describe, it } from "node:test";
import {
    addFault,
    applyDeclaration,
    clearFaults,
    createDeclaration,
    deployAndWait,
    sendJsonRequest,
    startLoneStarCluster,
    waitUntil,
} from "../../demo/cluster/index.js";
import type { StatusReport } from "../../src/node/entry/index.js";

describe("concurrent changes by several operators", () => {
    // Guards against a change that is silently overwritten, and against entry instances that disagree on the winner.
    it("lead to one accepted change and conflicts, and every entry instance shows the winner", async () => {
        await using cluster = await startLoneStarCluster({
            pools: [{ pool: "goldcrest-llm", kind: "model", runners: [2, 2, 0] }],
        });
        await deployAndWait(cluster, { name: "goldcrest-llm", kind: "model", replicas: [1, 1, 0] });
        // Slow appends let every operator read revision 1 before the first change is accepted.
        await addFault(cluster.platformUrl, { operation: "log-append", kind: "slow", delayMilliseconds: 2_000 });
        const competingReplicas = [[2, 0, 0], [0, 2, 0], [2, 1, 0], [1, 2, 0]];
        const results = await Promise.all(competingReplicas.map(replicas => {
            const declaration = createDeclaration({ name: "goldcrest-llm", kind: "model", replicas });
            return applyDeclaration(cluster, declaration, ["--base", "1"]);
        }));
        expect(results.map(({ exitCode }) => exitCode).sort()).toEqual([0, 3, 3, 3]);
        await clearFaults(cluster.platformUrl);
        const winner = competingReplicas[results.findIndex(({ exitCode }) => exitCode === 0)]!;

        await waitUntil("every entry instance shows the winner", 17_000, async () => {
            const reports = await Promise.all(
                cluster.entries.map(({ url }) => sendJsonRequest("GET", `${url}/operations/status`)),
            );
            return reports.every(({ body }) => {
                const [row] = (body as StatusReport).deployments;
                const wanted = row!.zones.map(({ wanted }) => wanted);
                return row!.revision === 2 && wanted[0] === winner[0] && wanted[1] === winner[1];
            });
        });
    });
});
