import { expect } from "earl";
import { describe, it } from "node:test";
import { deploy, readStatus, startLoneStar } from "../../demo/cluster/index.js";
import { sleep } from "../../src/utils/index.js";

/** Several times the time after which an agent that is not heard counts as unreachable in the test clusters. */
const observationTime = 12_000;

describe("more entry instances than an agent follows", () => {
    // Guards against a proposer that takes agents for unreachable because they report to other entry instances.
    it("leave a placement as it is", async () => {
        await using cluster = await startLoneStar({
            entries: 6,
            pools: [{ pool: "goldcrest-llm", kind: "model", runners: [3, 3, 3] }],
        });
        await deploy(cluster, { name: "goldcrest-llm", kind: "model", replicas: [2, 2, 2] });
        await sleep(3_000);
        const before = (await readStatus(cluster))!.appliedOffset;
        await sleep(observationTime);
        expect((await readStatus(cluster))!.appliedOffset).toEqual(before);
    });
});
