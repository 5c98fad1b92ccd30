import { expect } from "earl";
import { describe, it } from "node:test";
import { createDecisionLog, createLogger, type Decision, isSampled } from "../../../src/node/logging/index.js";
import { createManualClock } from "../../../src/utils/index.js";

function createRecorder(sampleShare: number, recentDecisions = 10) {
    const lines: string[] = [];
    const destination = { write: (line: string) => void lines.push(line) };
    const logger = createLogger({ level: "info", program: "entry", instance: "entry-1", destination });
    const clock = createManualClock();
    return { lines, log: createDecisionLog({ logger, instance: "entry-1", clock, sampleShare, recentDecisions }) };
}

const routing: Decision = {
    kind: "routing",
    outcome: "chosen",
    deployment: "scribe",
    requestId: "r1",
    choice: "agent-7",
    reason: "prefix-affinity",
    candidates: 3,
    details: { attempt: 2 },
};
const placement: Decision = {
    kind: "placement",
    outcome: "chosen",
    deployment: "scribe",
    choice: "assign agent-9",
    reason: "too few copies",
    candidates: 5,
};

describe("decision log", () => {
    // Guards against a log line that lacks fields needed to explain the decision.
    it("writes one JSON line with request, deployment, choice, reason and candidates", () => {
        const { lines, log } = createRecorder(1);
        log.record(routing);
        expect(lines).toHaveLength(1);
        expect(JSON.parse(lines[0]!)).toEqual(
            expect.subset({
                level: "info",
                program: "entry",
                instance: "entry-1",
                deployment: "scribe",
                requestId: "r1",
                choice: "agent-7",
                reason: "prefix-affinity",
                candidates: 3,
                attempt: 2,
            }),
        );
    });

    // Guards against sampling that drops a refusal, a failure or a placement decision.
    it("never samples away refusals, failures and placement", () => {
        const { lines, log } = createRecorder(0);
        log.record(routing);
        log.record({ ...routing, outcome: "refused" });
        log.record({ ...routing, outcome: "failed" });
        log.record(placement);
        const levels = lines.map(line => (JSON.parse(line) as { level: string; }).level);
        expect(levels).toEqual(["info", "warn", "error", "info"]);
        expect(log.listRecent("r1")).toHaveLength(3);
        expect(log.listRecent("scribe").map(({ choice }) => choice)).toEqual(["assign agent-9"]);
    });

    // Guards against a request that failed at its caller while the logs do not show which backend server answered it.
    it("never samples away that an answer was taken for complete", () => {
        const { lines, log } = createRecorder(0);
        log.record({ ...routing, kind: "completion", choice: "complete" });
        expect(lines.map(line => (JSON.parse(line) as { msg: string; }).msg)).toEqual(["completion decision"]);
    });

    it("writes the earlier decisions on a request once it fails, each with its time and only once", () => {
        const { lines, log } = createRecorder(0);
        log.record(routing);
        expect(lines).toEqual([]);
        log.record({ ...routing, kind: "retry", outcome: "failed", choice: "give-up" });
        log.record({ ...routing, kind: "retry", outcome: "failed", choice: "give-up" });
        const written = lines.map(line => JSON.parse(line) as { readonly msg: string; readonly decidedAt?: string; });
        expect(written.map(({ msg }) => msg)).toEqual(["routing decision", "retry decision", "retry decision"]);
        expect(written.map(({ decidedAt }) => decidedAt !== undefined)).toEqual([true, false, false]);
    });

    // Guards against a share that differs from the configured one; with 10,000 ids it deviates by less than 0.01.
    it("samples about the configured share of the requests", () => {
        const sampled = [...Array(10_000).keys()].map(index => `request-${index}`)
            .filter(id => isSampled(id, 0.1));
        expect(Math.abs(sampled.length / 10_000 - 0.1)).toBeLessThan(0.02);
    });

    // Guards against memory that grows with the number of requests, and against requests that evict placements.
    it("keeps a bounded number of decisions, oldest dropped first", () => {
        const { log } = createRecorder(1, 3);
        log.record(placement);
        for (const requestId of ["r1", "r1", "r2", "r3"]) {
            log.record({ ...routing, requestId });
        }
        expect(["r1", "r2", "r3"].map(id => log.listRecent(id).length)).toEqual([1, 1, 1]);
        log.record({ ...routing, requestId: "r4" });
        expect(["r1", "r4", "scribe"].map(id => log.listRecent(id).length)).toEqual([0, 1, 1]);
    });
});
