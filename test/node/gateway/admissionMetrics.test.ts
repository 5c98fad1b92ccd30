import { expect } from "earl";
import { describe, it } from "node:test";
import { createGatewayMetrics } from "../../../src/node/gateway/gatewayMetrics.js";
import type { GatewayRequest } from "../../../src/node/gateway/types.js";
import { createMetrics } from "../../../src/node/metrics/index.js";
import { createManualClock } from "../../../src/utils/index.js";
import { createRequest } from "../../runtime/admission/requests.js";

describe("admission metrics", () => {
    // Guards against refusals that cannot be told apart by rank, and second refusals that are counted as first ones.
    it("count starts, refusals and repeated refusals by rank", () => {
        const metrics = createMetrics({ clock: createManualClock() });
        const gatewayMetrics = createGatewayMetrics(metrics);
        const describeRequest = (priority: number, hasReturned: boolean) =>
            ({ row: createRequest({ priority, hasReturned }), service: { name: "scribe" } }) as GatewayRequest;
        gatewayMetrics.recordWait(describeRequest(9, false), 5);
        gatewayMetrics.countRefusal(describeRequest(7, false), "deadline-unreachable");
        gatewayMetrics.countRefusal(describeRequest(7, true), "deadline-unreachable");
        const lines = metrics.render().split("\n").filter(line => line.startsWith("goldcrestpoint_gateway_admissions"));
        expect(lines.map(line => line.replace(/^[^{]*/, "")).sort()).toEqual([
            "{outcome=\"refused\",rank=\"2\",service=\"scribe\"} 1",
            "{outcome=\"refused-again\",rank=\"2\",service=\"scribe\"} 1",
            "{outcome=\"started\",rank=\"0\",service=\"scribe\"} 1",
        ]);
    });
});
