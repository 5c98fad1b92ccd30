import { expect } from "earl";
import { describe, it } from "node:test";
import { deployAndWait, readStatus, startLoneStarCluster } from "../../demo/cluster/index.js";
import { sleep } from "../../src/utils/index.js";

/** Milliseconds, several times those without a heartbeat after which an agent counts as unreachable in this cluster. */
const observationTime = 12_000;

describe("more entry instances than an agent follows", () => {
    // Guards against a proposer that considers agents unreachable because they follow other entry instances.
    it("append no record while nothing changes", async () => {
        await using cluster = await startLoneStarCluster({
            entries: 6,
            pools: [{ pool: "goldcrest-llm", kind: "model", runners: [3, 3, 3] }],
        });
        await deployAndWait(cluster, { name: "goldcrest-llm", kind: "model", replicas: [2, 2, 2] });
        await sleep(3_000);
        const before = (await readStatus(cluster))!.appliedOffset;
        await sleep(observationTime);
        expect((await readStatus(cluster))!.appliedOffset).toEqual(before);
    });
});
