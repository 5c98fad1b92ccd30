import { expect } from "earl";
import { describe, it } from "node:test";
import { pino } from "pino";
import { createAgentWatch } from "../../../src/node/gateway/membership/agentWatch.js";
import { applyListed, createBackendServerTable } from "../../../src/runtime/gateway/index.js";
import { createSystemClock } from "../../../src/utils/index.js";
import { waitUntil } from "../../platform/standIn/deployment.js";
import { createListed } from "../../runtime/gateway/configuration.js";
import { startAgentStandIn } from "./agentStandIn.js";

const membership = { returnTime: 2_000, outageAfter: 1_600, reportExpiry: 2_500 };

describe("line about a report of an agent", () => {
    it("states which order loaded the weights, and whether they are verified", async () => {
        const lines: Record<string, unknown>[] = [];
        const servers = createBackendServerTable();
        applyListed(servers, createListed({ address: "127.0.0.1:1" }), "south", 0, membership);
        const engine = { model: "quill", version: 2, orderSequence: 3 };
        await using agent = await startAgentStandIn({ ...engine, verified: false });
        using watch = createAgentWatch({
            onStarted: () => {},
            self: "gateway-1",
            listServers: () => [...servers.rows()],
            agentPort: agent.port,
            clock: createSystemClock(),
            random: { next: Math.random },
            logger: pino({}, { write: line => void lines.push(JSON.parse(line) as Record<string, unknown>) }),
            silentAfter: 2_500,
            reconnectAfter: 100,
            settleWithin: 0,
            onReport: () => {},
        });
        watch.tick();
        const listReports = () => lines.filter(({ msg }) => msg === "backend server reported");
        await waitUntil("the first report is logged", () => listReports().length === 1);
        agent.report({ ...engine, verified: true });
        await waitUntil("the verification is logged", () => listReports().length === 2);
        agent.report({ ...engine, verified: false });
        agent.report({ ...engine, orderSequence: 4, verified: false });
        await waitUntil("the next order is logged", () => listReports().length === 3);
        expect(
            listReports().map(line => [line["orderSequence"], line["weightsVerified"], line["verificationReported"]]),
        )
            .toEqual([[3, false, false], [3, true, true], [4, false, false]]);
        // Guards against a report that misses a backend server which was listed at the same host after the last report.
        applyListed(servers, createListed({ instance: "i-2", address: "127.0.0.1:2" }), "south", 0, membership);
        watch.tick();
        agent.report({ ...engine, orderSequence: 4, verified: false });
        await waitUntil("the report covers both", () => servers.get("i-2")?.reportedAt !== undefined);
    });
});
