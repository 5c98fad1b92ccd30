import { expect } from "earl";
import { describe, it } from "node:test";
import {
    type AgentReport,
    applyAgentReport,
    applyListed,
    applyRemoved,
    computePlaceShare,
    createBackendServerTable,
    expireRemoved,
    expireReports,
} from "../../../src/runtime/gateway/index.js";
import { applyLoadReport } from "../../../src/runtime/routing/index.js";
import { createListed } from "./configuration.js";

const options = { returnTime: 2_000, outageAfter: 1_600, reportExpiry: 1_500 };
const weights = { model: "quill", version: 1, complete: true };
const report: AgentReport = {
    startedAt: undefined,
    orderSequence: 1,
    manifestDigest: "quill@1",
    verified: true,
    phase: "serving",
    draining: false,
    running: 1,
    queued: 0,
    capacity: 4,
    cachedPrefixes: [],
    age: 0,
};

describe("membership of backend servers", () => {
    it("drains a backend server as soon as the list says so", () => {
        const table = createBackendServerTable();
        applyListed(table, createListed(), "south", 0, options);
        expect(applyListed(table, createListed({ state: "draining" }), "south", 10, options)).toEqual("draining");
        expect(table.get("i-1")!.runner.draining).toEqual(true);
    });

    it("removes an entry at once while the list is reliable", () => {
        const table = createBackendServerTable();
        applyListed(table, createListed(), "south", 0, options);
        expect(applyRemoved(table, "i-1", true, 10)).toEqual("removed");
        expect(table.size).toEqual(0);
    });

    it("keeps an entry that expired during an outage until there was time to write it again", () => {
        const table = createBackendServerTable();
        applyListed(table, createListed(), "south", 0, options);
        applyListed(table, createListed({ instance: "i-2", address: "10.0.0.2:8000" }), "south", 0, options);
        applyRemoved(table, "i-1", false, 100);
        applyRemoved(table, "i-2", false, 100);
        expect(expireRemoved(table, undefined, 9_000, options)).toEqual([]);
        expect(expireRemoved(table, 9_000, 10_999, options)).toEqual([]);
        applyListed(table, createListed({ instance: "i-2", address: "10.0.0.2:8000" }), "south", 10_500, options);
        expect(expireRemoved(table, 9_000, 11_000, options)).toEqual(["i-1"]);
        expect([...table.keys()]).toEqual(["i-2"]);
    });

    it("resets load and ejection of a backend server that restarted under the same instance", () => {
        const table = createBackendServerTable();
        applyListed(table, createListed(), "south", 0, options);
        const { runner } = table.get("i-1")!;
        runner.reportedLoad = 9;
        runner.ejectedUntil = 5_000;
        expect(applyListed(table, createListed({ startedAt: 2 }), "south", 10, options)).toEqual("restarted");
        expect([runner.reportedLoad, runner.ejectedUntil]).toEqual([0, 0]);
    });

    it("creates a new row when an address now serves another service", () => {
        const table = createBackendServerTable();
        applyListed(table, createListed(), "south", 0, options);
        const before = table.get("i-1")!.runner;
        expect(applyListed(table, createListed({ service: "other" }), "south", 10, options)).toEqual("added");
        expect(table.get("i-1")!.runner === before).toEqual(false);
        expect([...table.lookup("service", "archive")]).toEqual([]);
    });

    it("prefers a fresh report of the agent to the list, and returns to the list once reports stop", () => {
        const table = createBackendServerTable();
        applyListed(table, createListed({ weights }), "south", 0, options);
        const row = table.get("i-1")!;
        const report = {
            startedAt: 1,
            orderSequence: 1,
            manifestDigest: "quill@2",
            verified: undefined,
            phase: "serving",
            draining: false,
            running: 1,
            queued: 0,
            capacity: 4,
            cachedPrefixes: [],
            age: 0,
        } as const;
        applyAgentReport(row, report, 1_000);
        applyListed(table, createListed({ weights }), "south", 1_100, options);
        expect(row.runner.manifestDigest).toEqual("quill@2");
        expect(expireReports(table, 2_501, options)).toEqual(["i-1"]);
        expect(row.runner.manifestDigest).toEqual("quill@1");
    });

    // Guards against requests to weights that an engine loaded while its agent was away.
    it("uses weights that only the list names if the last report had verified them, and no others", () => {
        const table = createBackendServerTable();
        applyListed(table, createListed({ weights }), "south", 0, options);
        const row = table.get("i-1")!;
        expect(row.runner.unverified).toEqual(true);
        applyAgentReport(row, report, 1_000);
        expect(expireReports(table, 2_501, options)).toEqual(["i-1"]);
        expect([row.runner.unverified, row.runner.phase]).toEqual([false, "serving"]);
        applyListed(table, createListed({ weights: { ...weights, version: 2 } }), "south", 2_600, options);
        expect([row.runner.unverified, row.runner.manifestDigest]).toEqual([true, "quill@2"]);
    });

    it("uses no weights until an agent has reported them as verified", () => {
        const table = createBackendServerTable();
        applyListed(table, createListed({ weights }), "south", 0, options);
        const row = table.get("i-1")!;
        applyAgentReport(row, { ...report, verified: false }, 1_000);
        expect(row.runner.unverified).toEqual(true);
        applyAgentReport(row, { ...report, verified: true }, 1_100);
        expect(row.runner.unverified).toEqual(false);
        applyAgentReport(row, { ...report, orderSequence: 2, verified: false }, 1_200);
        expect(row.runner.unverified).toEqual(true);
    });

    // Guards against a report that is dropped since an answer of a loading engine has stated its load after it.
    it("applies the phase and the weights of a report that is older than the load that an answer stated", () => {
        const table = createBackendServerTable();
        applyListed(table, createListed({ weights }), "south", 0, options);
        const row = table.get("i-1")!;
        applyLoadReport(row.runner, { ...report, phase: row.runner.phase, age: 0 }, 1_000);
        applyAgentReport(row, { ...report, manifestDigest: "quill@2", phase: "activating", age: 20 }, 1_010);
        expect([row.runner.phase, row.runner.manifestDigest]).toEqual(["activating", "quill@2"]);
    });

    it("keeps a backend server draining when a report says otherwise", () => {
        const table = createBackendServerTable();
        applyListed(table, createListed({ state: "draining" }), "south", 0, options);
        const row = table.get("i-1")!;
        applyAgentReport(row, {
            startedAt: 1,
            orderSequence: 1,
            manifestDigest: "quill@1",
            verified: undefined,
            phase: "serving",
            draining: false,
            running: 0,
            queued: 0,
            capacity: 4,
            cachedPrefixes: [],
            age: 0,
        }, 10);
        expect(row.runner.draining).toEqual(true);
    });
});

describe("places of a gateway", () => {
    const capacityOptions = { queuedPerServer: 1, loadHalfLife: 1_000 };
    const measure = (load: number, outstanding: number, gateways: number, reportedAt = 0, isFollowed = false) => {
        const table = createBackendServerTable();
        applyListed(table, createListed(), "south", 0, options);
        const { runner } = table.get("i-1")!;
        Object.assign(runner, { reportedLoad: load, outstanding, reportedAt });
        const runners = [{ runner, isFollowed }];
        const demand = { arrivalRate: 1, serviceTime: 1_000 };
        return computePlaceShare({ runners, gateways, demand, draw: 1, now: 0, options: capacityOptions }).places;
    };

    it("are its requests in progress plus its share of the free places", () => {
        expect(measure(0, 0, 1)).toEqual(5);
        expect(measure(0, 2, 1)).toEqual(5);
        expect(measure(1, 0, 3)).toEqual(1);
        expect(measure(5, 0, 3)).toEqual(0);
    });

    it("follow the last report of an agent whatever its age, since agents report each change", () => {
        expect(measure(5, 0, 1, -1_000, true)).toEqual(0);
    });

    it("do not stay at 0 because of an old load that an answer stated", () => {
        expect(measure(5, 0, 1, -100_000)).toEqual(5);
    });
});
