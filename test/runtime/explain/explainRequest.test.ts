import { expect } from "earl";
import { describe, it } from "node:test";
import { explainRequest, type LogLine, parseLogLine } from "../../../src/runtime/explain/index.js";

const begin = Date.parse("2026-12-04T10:00:00.000Z");

interface Written {
    readonly at: number;
    readonly instance: string;
    readonly msg: string;
    readonly fields?: Readonly<Record<string, unknown>>;
    /** How far the clock of the process is ahead, in milliseconds. */
    readonly ahead?: number;
}

/** Creates lines as a log collector writes them: with a common time in seconds and the name of the process. */
function collect(written: readonly Written[], withTime = true): LogLine[] {
    return written.map(({ ahead = 0, at, fields, instance, msg }, position) => {
        const time = new Date(begin + at + ahead).toISOString();
        const json = JSON.stringify({ level: "info", time, program: "gateway", instance, ...fields, msg });
        return parseLogLine(withTime ? `  ${(at / 1_000).toFixed(4)} ${instance} ${json}` : json, position)!;
    });
}

const requestId = "5d1c";

describe("line of a log", () => {
    it("is read with and without a common time before it", () => {
        const json = `{"time":"2026-12-04T10:00:00.000Z","instance":"front-1","msg":"stopped","peer":"a"}`;
        expect(parseLogLine(json, 3)).toEqual(expect.subset({ writtenAt: begin, commonTime: undefined, position: 3 }));
        expect(parseLogLine(` -11.5 front-1 ${json}`, 0)?.commonTime).toEqual(-11_500);
    });

    it("has the time of its decision if it was written later", () => {
        const json = `{"time":"2026-12-04T10:00:02.000Z","decidedAt":"2026-12-04T10:00:00.500Z",` +
            `"instance":"front-1","msg":"routing decision"}`;
        expect(parseLogLine(`2.1 front-1 ${json}`, 0)).toEqual(
            expect.subset({ writtenAt: begin + 500, commonTime: 600 }),
        );
    });

    it("is ignored if it is truncated or from another program", () => {
        for (const text of ["", "from second 4", `{"time":"2026-12-04T10:00:0`, "[1]", `{"msg":"no time"}`]) {
            expect(parseLogLine(text, 0)).toEqual(undefined);
        }
    });
});

describe("explanation of a request", () => {
    it("is undefined if no line names it", () => {
        expect(explainRequest(collect([{ at: 0, instance: "front-1", msg: "stopped" }]), requestId)).toEqual(undefined);
    });

    it("says why it was refused as overloaded", () => {
        const fields = {
            requestId,
            outcome: "refused",
            reason: "deadline-unreachable",
            queued: 13,
            open: 73,
            places: 60,
            retryAfterSeconds: 0.4,
        };
        const lines = collect([{ at: 10, instance: "front-1", msg: "admission decision", fields }]);
        expect(explainRequest(lines, requestId)?.causes).toEqual([
            "refused without having run (deadline-unreachable): 13 requests waited and 73 were open at the " +
            "gateway, which had 60 places at the service; the caller was told to retry after 0.4 s",
        ]);
    });

    it("says how many places its gateway had, and of which backend servers", () => {
        const share = { usable: 2, free: 0.4, gateways: 13, contenders: 4.5 };
        const leftOut = { draining: 0, ejected: 1, notServing: 0, paused: 0 };
        const fields = { requestId, outcome: "refused", reason: "deadline-passed", places: 0, ...share, ...leftOut };
        const [cause] = explainRequest(
            collect([{ at: 10, instance: "front-1", msg: "admission decision", fields }]),
            requestId,
        )!.causes;
        expect(cause ?? "").toInclude(
            "had 0 places at the service (2 usable backend servers with 0.4 free places, wanted by 4.5 of 13 gateways; " +
                "left out: 0 draining, 1 ejected, 0 not serving, 0 paused)",
        );
    });

    it("says that backend servers crashed under requests with the same fingerprint", () => {
        const fields = {
            requestId,
            outcome: "refused",
            reason: "crashes-backend-servers",
            fingerprint: "9a4a",
            usable: 3,
        };
        const lines = collect([{ at: 0, instance: "front-1", msg: "admission decision", fields }]);
        expect(explainRequest(lines, requestId)?.causes).toEqual([
            "refused without having run: backend servers crashed while they ran requests with its fingerprint 9a4a",
        ]);
    });

    it("names the part of the prompt under which backend servers crashed", () => {
        const fields = {
            requestId,
            outcome: "refused",
            fingerprint: "9a4a",
            promptPart: "part-3c1f",
            retryAfterSeconds: 0.5,
        };
        const causes = ["crashes-backend-servers", "may-crash-backend-servers"].flatMap(reason => {
            const line = { at: 0, instance: "front-1", msg: "admission decision", fields: { ...fields, reason } };
            return explainRequest(collect([line]), requestId)?.causes ?? [];
        });
        expect(causes).toEqual([
            "refused without having run: backend servers crashed while they ran requests with a part of its prompt, " +
            "part-3c1f",
            "refused: backend servers crashed while they ran requests with a part of its prompt, part-3c1f, and another " +
            "such request had no answer yet; the caller was told to retry after 0.5 s",
        ]);
    });

    it("names the configuration that had no route for it, and when it came into force", () => {
        const rejected = { requestId, status: 404, reason: "no-route", host: "a.example", path: "/b/", revision: 7 };
        const lines = collect([
            { at: -9_000, instance: "front-1", msg: "configuration in force", fields: { revision: 6 } },
            { at: -8_000, instance: "front-1", msg: "configuration in force", fields: { revision: 7 } },
            { at: -7_000, instance: "front-2", msg: "configuration in force", fields: { revision: 7 } },
            { at: 0, instance: "front-1", msg: "request rejected", fields: rejected },
            { at: 50, instance: "front-1", msg: "configuration in force", fields: { revision: 8 } },
        ]);
        const explanation = explainRequest(lines, requestId)!;
        expect(explanation.causes).toEqual(["answered 404: configuration 7 has no route for a.example/b/"]);
        expect(explanation.timeline.map(({ after, relation }) => [relation, after])).toEqual([
            ["configuration", -8_000],
            ["request", 0],
        ]);
    });

    it("shows what its gateway logged about a backend server that failed, and what that server's agent logged", () => {
        const failure = {
            requestId,
            peer: "i-9",
            outcome: "failed",
            choice: "give-up",
            reason: "the attempts are used up",
            failure: "connection-lost",
            detail: "other side closed",
        };
        const lines = collect([
            { at: -60_000, instance: "side-4", msg: "agent started", fields: { engine: "10.0.0.9:80" } },
            {
                at: -30_000,
                instance: "front-1",
                msg: "backend server changed",
                fields: { peer: "i-9", address: "10.0.0.9:80" },
            },
            {
                at: 0,
                instance: "front-1",
                msg: "routing decision",
                fields: { requestId, outcome: "chosen", choice: "i-9" },
            },
            { at: 20, instance: "side-4", msg: "engine not reachable", fields: { peer: "10.0.0.9:80" }, ahead: 2_000 },
            { at: 30, instance: "front-1", msg: "retry decision", fields: failure },
            { at: 35, instance: "front-1", msg: "backend server reported", fields: { peer: "i-9", phase: "lapsed" } },
            { at: 36, instance: "front-1", msg: "backend server reported", fields: { peer: "i-8", phase: "serving" } },
            { at: 37, instance: "front-1", msg: "retry decision", fields: { ...failure, requestId: "another" } },
        ]);
        const explanation = explainRequest(lines, requestId)!;
        expect(explanation.causes).toEqual([
            "backend server i-9 failed (connection-lost: other side closed); the request was not retried: " +
            "the attempts are used up",
        ]);
        expect(explanation.timeline.map(({ line, relation }) => `${relation}: ${line.message}`)).toEqual([
            "request: routing decision",
            "agent: engine not reachable",
            "request: retry decision",
            "backend-server: backend server reported",
        ]);
    });

    it("tells silent backend servers from those that failed", () => {
        const silent = { peer: "i-1", silence: 1_500, remaining: 2_400 };
        const lines = [
            { ...silent, choice: "hedge", reason: "the backend server is silent" },
            { peer: "i-2", choice: "wait", failure: "queue-full", detail: "not run", reason: "another is in flight" },
            { ...silent, choice: "wait", reason: "the retry budget is used up" },
        ].map(fields => ({ at: 0, instance: "front-1", msg: "retry decision", fields: { requestId, ...fields } }));
        const described = "backend server i-1 was silent for 1500 ms with 2400 ms left";
        expect(explainRequest(collect(lines), requestId)!.causes).toEqual([
            `${described}; the request was sent to another one beside it`,
            "backend server i-2 failed (queue-full: not run); another is in flight",
            `${described}; it was not sent to another one: the retry budget is used up`,
        ]);
    });

    it("names no cause for messages and reasons that are properties of every object", () => {
        const written: readonly Written[] = ["__proto__", "constructor", "toString"].flatMap(name => [
            { at: 0, instance: "front-1", msg: name, fields: { requestId } },
            { at: 0, instance: "front-1", msg: "request rejected", fields: { requestId, reason: name, status: 404 } },
        ]);
        expect(explainRequest(collect(written), requestId)!.causes).toEqual([
            "answered 404: __proto__ by configuration ?",
            "answered 404: constructor by configuration ?",
            "answered 404: toString by configuration ?",
        ]);
    });

    it("shows differences between clocks, and orders lines by their common time", () => {
        const fields = { requestId, outcome: "chosen", choice: "i-9" };
        const written: readonly Written[] = [
            { at: 0, instance: "front-1", msg: "routing decision", fields },
            { at: 10, instance: "front-2", msg: "routing decision", fields, ahead: -500 },
            { at: 20, instance: "front-1", msg: "routing decision", fields },
        ];
        const shared = explainRequest(collect(written), requestId)!;
        expect(shared.clocksCompared).toEqual(true);
        expect(shared.timeline.map(({ line, clockAhead }) => [line.instance, Math.round(clockAhead!)])).toEqual([
            ["front-1", 0],
            ["front-2", -500],
            ["front-1", 0],
        ]);
        const own = explainRequest(collect(written, false), requestId)!;
        expect(own.clocksCompared).toEqual(false);
        expect(own.timeline.map(({ clockAhead }) => clockAhead)).toEqual([undefined, undefined, undefined]);
    });
});
