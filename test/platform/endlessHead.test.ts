import { expect } from "earl";
import { describe, it } from "node:test";
import { startDeployment } from "./standIn/deployment.js";
import { closingMarginMilliseconds, sendEndlessRequest } from "./standIn/endlessCaller.js";

const headTimeLimitMilliseconds = 3_000;

describe("callers that send without end", () => {
    // Guards against connections that are held for as long as a caller sends further fields.
    it("are cut off: slow fields", async () => {
        await using deployment = await startDeployment();
        const allowedMilliseconds = headTimeLimitMilliseconds + closingMarginMilliseconds;
        const request = {
            first: "POST /unsafe/ HTTP/1.1\r\n",
            part: "x: y\r\n",
            intervalMilliseconds: 100,
            allowedMilliseconds,
        };
        expect((await sendEndlessRequest(deployment, request)).duration).toBeLessThan(allowedMilliseconds);
    });
});
