import { expect } from "earl";
import { describe, it } from "node:test";
import { createLogClient } from "../../src/node/platform/index.js";
import { createJsonResponse, startStandInServer } from "../../src/standIn/http/index.js";
import { type PlatformStandIn, startPlatformStandIn } from "../../src/standIn/index.js";
import {
    applyCondition,
    type ContractCase,
    createRecord,
    expectOutcome,
    type Outcome,
    selectTimeouts,
    unwrap,
} from "./support.js";

const appendCases: readonly ContractCase[] = [
    { condition: "healthy", outcome: "ok", effects: 1 },
    { condition: "not-listening", outcome: ["LOG_UNREACHABLE", false], effects: 0 },
    { condition: "refuse", outcome: ["LOG_UNREACHABLE", false], effects: 0 },
    { condition: "outage", outcome: ["APPEND_AMBIGUOUS", true], effects: 0 },
    { condition: "reset", outcome: ["APPEND_AMBIGUOUS", true], effects: 0 },
    { condition: "slow", outcome: ["APPEND_AMBIGUOUS", true], effects: 0 },
    { condition: "lose-answer", outcome: ["APPEND_AMBIGUOUS", true], effects: 1 },
    { condition: "truncate", outcome: ["APPEND_AMBIGUOUS", true], effects: 1 },
    { condition: "clean-truncate", outcome: ["APPEND_AMBIGUOUS", true], effects: 1 },
    { condition: "duplicate", outcome: "ok", effects: 2 },
];

const readCases: readonly ContractCase[] = [
    { condition: "healthy", outcome: "ok", effects: 3 },
    { condition: "duplicate", outcome: "ok", effects: 3 },
    { condition: "out-of-order", outcome: "ok", effects: 3 },
    { condition: "not-listening", outcome: ["LOG_UNREACHABLE", false], effects: 0 },
    { condition: "refuse", outcome: ["LOG_UNREACHABLE", false], effects: 0 },
    { condition: "outage", outcome: ["LOG_UNREACHABLE", false], effects: 0 },
    { condition: "slow", outcome: ["LOG_UNREACHABLE", false], effects: 0 },
    { condition: "lose-answer", outcome: ["LOG_UNREACHABLE", false], effects: 0 },
    { condition: "truncate", outcome: ["LOG_UNREACHABLE", false], effects: 0 },
    { condition: "clean-truncate", outcome: ["LOG_UNREACHABLE", false], effects: 0 },
];

describe("appending to the log", { concurrency: true }, () => {
    for (const { condition, outcome, effects } of appendCases) {
        // Guards against an append that is reported as failed, or as done, although its outcome is unknown.
        it(`reports ${String(outcome)} for ${condition}`, async () => {
            await using platform = await startPlatformStandIn();
            await applyCondition(platform, "log-append", condition);
            await using client = createLogClient({ baseUrl: platform.baseUrl, timeouts: selectTimeouts(condition) });
            expectOutcome(await client.append(createRecord("a")), outcome, "append record", platform);
            expect(platform.log.read(0, 10).entries.map(({ record }) => record.id)).toEqual(
                Array<string>(effects).fill("a"),
            );
        });
    }

    // Guards against a rejection by the rate limit that counts as ambiguous and makes the writer read the log.
    it("reports an append above the rate limit as not done", async () => {
        await using platform = await startPlatformStandIn({ log: { appendsPerSecond: 0.5 } });
        await using client = createLogClient({ baseUrl: platform.baseUrl });
        expectOutcome(await client.append(createRecord("a")), ["LOG_UNREACHABLE", false], "append record", platform);
    });

    // Guards against a late response to another append that is accepted as the response to this one.
    it("does not accept the response to another append", async () => {
        await using server = await startStandInServer({}, () => [{
            operation: "log-append",
            method: "POST",
            path: "/log/records",
            handle: () => createJsonResponse(201, { id: "other", offset: 7 }),
        }]);
        await using client = createLogClient({ baseUrl: server.baseUrl });
        expectOutcome(await client.append(createRecord("a")), ["APPEND_AMBIGUOUS", true], "append record", server);
    });
});

describe("reading the log", { concurrency: true }, () => {
    for (const { condition, outcome, effects } of readCases) {
        // Guards against entries that are applied twice, out of order or in part.
        it(`reports ${String(outcome)} for ${condition}`, async () => {
            await using platform = await createFilledPlatform();
            await applyCondition(platform, "log-read", condition);
            await using client = createLogClient({ baseUrl: platform.baseUrl, timeouts: selectTimeouts(condition) });
            const result = await client.read(0, 0);
            expectOutcome(result, outcome, "read log", platform);
            const offsets = result.isOk ? result.value.entries.map(entry => entry.offset) : [];
            expect(offsets).toEqual([10, 20, 30].slice(0, effects));
        });
    }

    const truncations: readonly { before: number; after: number; outcome: Outcome; offsets: number[]; }[] = [
        { before: 20, after: 10, outcome: "ok", offsets: [20, 30] },
        { before: 30, after: 10, outcome: ["LOG_TRUNCATED", false], offsets: [] },
        { before: 30, after: 20, outcome: "ok", offsets: [30] },
        { before: 31, after: 20, outcome: ["LOG_TRUNCATED", false], offsets: [] },
        { before: 31, after: 30, outcome: "ok", offsets: [] },
        { before: 30, after: 0, outcome: "ok", offsets: [30] },
    ];
    for (const { before, after, outcome, offsets } of truncations) {
        // Guards against a reader that skips expired records without noticing.
        it(`reports ${String(outcome)} after offset ${after} of a log that begins at ${before}`, async () => {
            await using platform = await createFilledPlatform();
            platform.log.truncate(before);
            await using client = createLogClient({ baseUrl: platform.baseUrl });
            const result = await client.read(after, 0);
            expectOutcome(result, outcome, "read log", platform);
            expect(result.isOk ? result.value.entries.map(entry => entry.offset) : []).toEqual(offsets);
        });
    }

    const gaps: readonly { name: string; firstOffset: number; offsets: readonly (readonly [number, number])[]; }[] = [
        { name: "between entries", firstOffset: 1, offsets: [[1, 0], [3, 2]] },
        { name: "before the first entry", firstOffset: 1, offsets: [[3, 2]] },
        { name: "in place of all entries", firstOffset: 1, offsets: [] },
    ];
    for (const { name, firstOffset, offsets } of gaps) {
        // Guards against a response that lacks entries and makes the reader skip them.
        it(`rejects a response with a gap ${name}`, async () => {
            const entries = offsets.map(([offset, previousOffset]) => ({
                offset,
                previousOffset,
                record: createRecord(String(offset)),
            }));
            await using server = await startStandInServer({}, () => [{
                operation: "log-read",
                method: "GET",
                path: "/log/records",
                handle: () => createJsonResponse(200, { firstOffset, headOffset: 3, entries }),
            }]);
            await using client = createLogClient({ baseUrl: server.baseUrl });
            expectOutcome(await client.read(0, 0), ["LOG_UNREACHABLE", false], "read log", server);
        });
    }

    // Guards against a waiting read that misses a record that is appended during the wait.
    it("returns a record that is appended while the read waits", async () => {
        await using platform = await startPlatformStandIn();
        await using client = createLogClient({ baseUrl: platform.baseUrl });
        const reading = client.read(0, 30_000);
        unwrap(await client.append(createRecord("a")));
        expect(unwrap(await reading).entries.map(entry => entry.record.id)).toEqual(["a"]);
    });
});

async function createFilledPlatform(): Promise<PlatformStandIn> {
    const platform = await startPlatformStandIn({ log: { offsetStep: 10 } });
    ["a", "b", "c"].forEach(id => platform.log.append(createRecord(id)));
    return platform;
}
