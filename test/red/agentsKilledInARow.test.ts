import { describe, it } from "node:test";
import { checkFaultSchedules } from "../node/weightAgent/faultSchedules.js";

describe("weights that an engine loads while two agents in a row are killed", () => {
    // Guards against an agent that verifies chunks which an earlier one has repaired after the engine took them.
    it("are right whenever they are published as verified (seed 1)", async () => {
        await checkFaultSchedules({ seed: 1, schedules: 1_500, agentRestarts: 2 });
    });
});
