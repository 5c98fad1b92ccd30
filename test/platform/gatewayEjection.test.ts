import { expect } from "earl";
import { describe, it } from "node:test";
import { call } from "./standIn/caller.js";
import { startDeployment } from "./standIn/deployment.js";

describe("gateway whose backend servers are all ejected", () => {
    // Guards against a service that refuses every request for seconds after its last backend server has recovered.
    it("still sends requests to them", async () => {
        await using deployment = await startDeployment({
            "routing.failuresUntilEjected": "2",
            "routing.ejectionMilliseconds": "60000",
        });
        const runner = await deployment.addRunner({ id: "i-1" });
        runner.setBehaviour("reset");
        const broken = [await call(deployment, "/unsafe/"), await call(deployment, "/unsafe/")];
        runner.setBehaviour("answer");
        const answer = await call(deployment, "/unsafe/");
        expect([...broken, answer].map(({ status }) => status)).toEqual([502, 502, 200]);
    });
});
