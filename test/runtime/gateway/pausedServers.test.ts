import { expect } from "earl";
import { describe, it } from "node:test";
import {
    createAdmissionTable,
    offerRequest,
    refuseQueuedUntil,
    refuseUntil,
    resolveAdmissionOptions,
} from "../../../src/runtime/admission/index.js";
import {
    applyListed,
    applyNotice,
    createBackendServerTable,
    recordPause,
    type ServerNoticeTable,
} from "../../../src/runtime/gateway/index.js";
import { createRequest } from "../admission/requests.js";
import { createListed } from "./configuration.js";

const options = { returnTime: 2_000, outageAfter: 1_600, reportExpiry: 1_500 };

describe("pause of a backend server", () => {
    it("lasts as long as the longest pause that several refusals ask for", () => {
        const table: ServerNoticeTable = new Map();
        const isNew = [recordPause(table, "i-1/1", 2_000, 0), recordPause(table, "i-1/1", 500, 100)];
        expect(isNew).toEqual([true, false]);
        expect(table.get("i-1/1")!.pausedUntil).toEqual(2_000);
    });

    // Guards against a pause that ends with a change of the entry, and one that still applies after a restart.
    it("survives changes of the entry and ends with the lifetime", () => {
        const notices: ServerNoticeTable = new Map();
        const table = createBackendServerTable();
        applyListed(table, createListed(), "south", 0, options);
        recordPause(notices, "i-1/1", 2_000, 0);
        const row = table.get("i-1")!;
        applyNotice(row, notices.get("i-1/1"));
        applyListed(table, createListed({ slots: 9 }), "south", 10, options);
        expect([row.runner.pausedUntil, row.runner.trial]).toEqual([2_000, "due"]);
        applyListed(table, createListed({ startedAt: 2 }), "south", 20, options);
        expect([row.runner.pausedUntil, row.runner.trial]).toEqual([-Infinity, "none"]);
    });
});

describe("refusal while every backend server is paused", () => {
    const admission = resolveAdmissionOptions({
        maximumInProgress: 1,
        maximumRetryAfterSeconds: 2,
        retryAfterStepSeconds: 0.05,
    });

    // Guards against callers who retry before a backend server accepts requests, or all at the same time.
    it("spreads the retry times over the time after the end of the pause", () => {
        const table = createAdmissionTable(admission);
        const times = Array.from({ length: 20 }, () => refuseUntil(table, createRequest(), 30_000, 1_000))
            .map(({ retryAfterSeconds }) => retryAfterSeconds);
        expect(times.every(time => time >= 29 && time <= 31)).toEqual(true);
        expect(new Set(times).size > 5).toEqual(true);
    });

    it("is sent to all queued requests", () => {
        const table = createAdmissionTable(admission);
        const queued = [1, 2, 3].map(() => createRequest({ deadline: 60_000 }));
        queued.forEach(request => offerRequest(table, request, 0));
        const { refuse } = refuseQueuedUntil(table, 5_000, 0);
        expect(refuse.map(({ refusal }) => [refusal.ran, refusal.reason])).toEqual(
            Array.from({ length: 2 }, () => ["no", "turned-away"]),
        );
        expect(table.queued.size).toEqual(0);
    });
});
