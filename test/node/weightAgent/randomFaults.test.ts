import { describe, it } from "node:test";
import { checkFaultSchedules } from "./faultSchedules.js";

describe("weights under random faults", () => {
    it("are right whenever they are published as verified, and become right once the faults end", async () => {
        await checkFaultSchedules({ seed: 43, schedules: 300, agentRestarts: 1 });
    });
});
