import { expect } from "earl";
import { describe, it } from "node:test";
import { findFreePorts } from "../../src/standIn/index.js";
import { call } from "./standIn/caller.js";
import { startDeployment } from "./standIn/deployment.js";

describe("gateway without retry budget", () => {
    // Guards against requests that fail at a dead backend server, which never received them, while another one is idle.
    it("tries another backend server when the connection to one is refused", async () => {
        await using deployment = await startDeployment({
            "retry.budgetShare": "0",
            "retry.budgetPerSecond": "0",
            "routing.failuresUntilEjected": "100",
        });
        const [port] = await findFreePorts(1);
        await deployment.addRunner({ id: "i-1" });
        await deployment.addRunnerRecord("i-2", `127.0.0.1:${port}`);
        const answers = await Promise.all(Array.from({ length: 8 }, () => call(deployment, "/unsafe/")));
        expect(answers.map(({ status }) => status)).toEqual(answers.map(() => 200));
    });
});
