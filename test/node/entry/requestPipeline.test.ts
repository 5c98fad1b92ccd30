import { create } from "@bufbuild/protobuf";
import { status } from "@grpc/grpc-js";
import { expect } from "earl";
import { describe, it } from "node:test";
import { ExecuteFrameSchema, type Refusal as RefusalMessage } from "../../../src/generated/goldcrestpoint_pb.js";
import type { ExecuteCall } from "../../../src/node/agent/frames.js";
import type { EntryContext } from "../../../src/node/entry/context.js";
import { createEntryMetrics } from "../../../src/node/entry/entryMetrics.js";
import { type CallerRequest, createRequestPipeline } from "../../../src/node/entry/requestPipeline.js";
import type { RunnerDirectory } from "../../../src/node/entry/runnerDirectory.js";
import { createSuspicionSharing } from "../../../src/node/entry/suspicionSharing.js";
import { agentServiceDefinition, createAgentClient } from "../../../src/node/grpc/index.js";
import { createStateStore } from "../../../src/node/relay/index.js";
import { resolveEntrySettings } from "../../../src/node/settings/index.js";
import { createAdmissionTable } from "../../../src/runtime/admission/index.js";
import { createInstanceTable } from "../../../src/runtime/placement/index.js";
import { createRetryBudget, createSuspectTable, readStanding } from "../../../src/runtime/retry/index.js";
import { applyLoadReport, type RunnerSubset, updateSubset } from "../../../src/runtime/routing/index.js";
import type { RefusalReason, RequestRow } from "../../../src/types/index.js";
import { createDisposalStack, createManualClock, createSeededRandom } from "../../../src/utils/index.js";
import { createRequest } from "../../runtime/admission/requests.js";
import { createEntries, silentLogger, startLoopbackServer, waitFor } from "../daemonSupport.js";
import { expectOk } from "../support.js";

/** A number stands for an answer with that status. */
type Reply = number | "answer" | "break" | "hold" | Partial<RefusalMessage>;

/** Starts an entry instance with loopback agents that all serve one weight set; each call gets the next reply. */
async function startEntry(
    replies: readonly Reply[],
    owners: readonly string[] = [],
    changes: Partial<EntryContext> = {},
) {
    const resources = createDisposalStack();
    const clock = createManualClock();
    const settings = expectOk(resolveEntrySettings({ file: undefined, environment: {}, flags: {} }));
    const store = createStateStore();
    store.applyEntries(createEntries(1, 1, { owners }));
    const context = {
        self: "entry-1",
        settings,
        clock,
        random: createSeededRandom(1),
        logger: silentLogger,
        decisions: { record: () => undefined },
        metrics: createEntryMetrics(clock),
        store,
        instances: createInstanceTable(),
        admission: createAdmissionTable(settings.admission),
        retryBudget: createRetryBudget(0, settings.retry),
        suspects: createSuspectTable(settings.retry),
        ...changes,
    } as unknown as EntryContext;
    clock.advance(10_000);
    const calls: { readonly instance: string; readonly call: ExecuteCall; }[] = [];
    const remaining = [...replies];
    const clients = new Map<string, ReturnType<typeof createAgentClient>>();
    const subset: RunnerSubset = { deployment: "scribe", runners: [] };
    const instances = ["agent-1", "agent-2", "agent-3"];
    updateSubset(subset, instances.map(instance => ({ instance, zone: "", region: "" })));
    for (const runner of subset.runners) {
        const { instance } = runner;
        const execute = (call: ExecuteCall): void => {
            calls.push({ instance, call });
            sendReply(call, remaining.shift() ?? "answer");
        };
        const server = await startLoopbackServer({ definition: agentServiceDefinition, implementation: { execute } });
        resources.use(server);
        const client = createAgentClient(server.address);
        resources.defer(() => client.close());
        clients.set(instance, client);
        const load = { running: 0, queued: 0, capacity: 8, cachedPrefixes: [], age: 0, draining: false };
        applyLoadReport(runner, { ...load, phase: "serving", manifestDigest: "set" }, clock.monotonic());
    }
    const sharing = resources.use(createSuspicionSharing(context));
    const directory = { findSubset: () => subset, connect: (instance: string) => clients.get(instance) };
    const pipeline = createRequestPipeline(context, directory as unknown as RunnerDirectory, sharing);
    return {
        context,
        calls,
        pipeline,
        send: async (row: Partial<RequestRow> = {}, signal = new AbortController().signal, hasGeneratedKey = false) => {
            let result = "none";
            const request: CallerRequest = {
                row: createRequest({ deadline: 600_000, ...row }),
                method: "POST",
                hasGeneratedKey,
                path: "/links",
                contentType: "text/plain",
                body: Buffer.from("body"),
                stream: false,
                signal,
            };
            await pipeline.handle(request, {
                begun: false,
                beginAttempt: () => ({ start: () => undefined, data: () => undefined }),
                complete: () => {
                    result = "complete";
                },
                refuse: ({ ran, reason }) => {
                    result = `${ran}: ${reason}`;
                },
            });
            return result;
        },
        [Symbol.asyncDispose]: () => resources[Symbol.asyncDispose](),
    };
}

function sendReply(call: ExecuteCall, reply: Reply): void {
    const { requestId } = call.request;
    if (reply === "break") {
        call.emit("error", { code: status.INTERNAL, details: "broken" });
        return;
    }
    if (reply === "hold") {
        return;
    }
    if (reply === "answer" || typeof reply === "number") {
        const value = { status: reply === "answer" ? 200 : reply };
        call.write(create(ExecuteFrameSchema, { requestId, content: { case: "start", value } }));
        call.write(create(ExecuteFrameSchema, { requestId, sequence: 1, content: { case: "end", value: {} } }));
    }
    else {
        call.write(create(ExecuteFrameSchema, { requestId, content: { case: "refusal", value: reply as never } }));
    }
    call.end();
}

const refuseWith = (ran: "no" | "unknown", reason: RefusalReason) => ({ ran, reason });
const crash = (crashId: string, fingerprintsInProgress: string[]) => ({
    ...refuseWith("unknown", "backend-server-crashed"),
    backendServerCrashed: true,
    crashId,
    fingerprintsInProgress,
});
const key = { idempotent: false, idempotencyKey: "01000000-0000-7000-8000-000000000000" };

describe("request pipeline", () => {
    for (const status of [0, 103, 600]) {
        // Guards against operators who learn from no line which status an agent has forwarded.
        it(`logs agent and status of an answer whose status is invalid: ${status}`, async () => {
            const lines: unknown[] = [];
            const warn = (fields: unknown, message: string) => lines.push([message, fields]);
            const logger = { ...silentLogger, warn } as unknown as EntryContext["logger"];
            await using entry = await startEntry([status], [], { logger });
            await entry.send({ requestId: "r1" });
            const peer = entry.calls[0]!.instance;
            const detail = `status ${status} is no status of a complete answer`;
            expect(lines).toEqual([["invalid status", { requestId: "r1", peer, detail }]]);
        });
    }

    const cases: readonly [
        name: string,
        replies: Reply[],
        row: Partial<RequestRow>,
        result: string,
        attempts: number,
    ][] = [
        ["an answer", ["answer"], {}, "complete", 1],
        ["a refusal as not run", [refuseWith("no", "draining")], {}, "complete", 2],
        ["two refusals as not run", [refuseWith("no", "draining"), refuseWith("no", "queue-full")], {}, "complete", 3],
        ["a broken stream", ["break"], {}, "complete", 2],
        ["a broken stream of a non-idempotent request", ["break"], key, "unknown: connection-lost", 1],
        ["a refusal of a non-idempotent request", [refuseWith("no", "draining")], key, "complete", 2],
        ["a final refusal", [refuseWith("no", "key-invalid")], {}, "no: key-invalid", 1],
        [
            "a broken stream, and another one while the request runs alone",
            ["break", "break"],
            {},
            "unknown: crashes-backend-servers",
            2,
        ],
        [
            "refusals after a broken stream",
            ["break", refuseWith("no", "draining"), refuseWith("no", "draining")],
            {},
            "unknown: draining",
            3,
        ],
    ];
    for (const [name, replies, row, result, attempts] of cases) {
        // Guards against a retry of a non-idempotent request that may have run, a retry on the same runner or with
        // another weight set, and a refusal as not run after an attempt that may have run.
        it(`ends "${result}" after ${attempts} attempts for ${name}`, async () => {
            await using entry = await startEntry(replies, ["agent-2"]);
            expect(await entry.send(row)).toEqual(result);
            expect(entry.calls.length).toEqual(attempts);
            const asked = entry.calls.map(({ instance }) => instance);
            expect(new Set(asked).size).toEqual(row.idempotent === false ? 1 : attempts);
            const digest = row.idempotent === false ? "" : "set";
            expect(entry.calls.every(({ call }) => call.request.manifestDigest === digest)).toEqual(true);
            expect(entry.pipeline.open).toEqual(0);
        });
    }

    // Guards against "unknown" for a request that cannot have been sent before, and "no" for one that may have run.
    for (const [hasGeneratedKey, expected] of [[true, "no"], [false, "unknown"]] as const) {
        it(`says ${expected} for ${hasGeneratedKey ? "its own" : "a caller's"} key older than its owner`, async () => {
            await using entry = await startEntry([refuseWith("unknown", "key-predates-owner")], ["agent-2"]);
            const result = await entry.send(key, undefined, hasGeneratedKey);
            expect(result).toEqual(`${expected}: key-predates-owner`);
        });
    }

    // Guards against a request that crashes more backend servers than the bound, and against the refusal of requests
    // that were only in progress at the same time.
    it("runs a request alone after a crash, and refuses it after a crash while it ran alone", async () => {
        await using entry = await startEntry([crash("c1", ["f", "g"]), crash("c2", ["f"])]);
        expect(await entry.send({ fingerprint: "f" })).toEqual("unknown: crashes-backend-servers");
        expect(entry.calls.map(({ call }) => call.request.alone)).toEqual([false, true]);
        expect(await entry.send({ fingerprint: "f" })).toEqual("no: crashes-backend-servers");
        expect(await entry.send({ fingerprint: "g" })).toEqual("complete");
        expect(entry.calls.map(({ call }) => call.request.alone)).toEqual([false, true, true]);
        expect(readStanding(entry.context.suspects, "g", entry.context.clock.monotonic())).toEqual("clear");
    });

    // Guards against one crash that counts once for each request that it interrupted.
    it("counts a crash that interrupted several requests once", async () => {
        await using entry = await startEntry([crash("c1", ["f", "g"]), "answer", crash("c1", ["f", "g"]), "answer"]);
        await entry.send({ fingerprint: "f" });
        await entry.send({ fingerprint: "g" });
        expect(entry.context.suspects.rows.get("g")?.crashes).toEqual(1);
    });

    // Guards against requests that stay in the queue or on a runner after their caller has disconnected.
    it("ends requests whose caller disconnects before admission, in the queue or in progress", async () => {
        const settings = expectOk(resolveEntrySettings({ file: undefined, environment: {}, flags: {} }));
        const admission = createAdmissionTable({ ...settings.admission, maximumInProgress: 1, maximumAccountShare: 1 });
        await using entry = await startEntry(["hold"], [], { admission });
        const callers = [new AbortController(), new AbortController()];
        const first = entry.send({}, callers[0]!.signal);
        await waitFor(() => entry.calls.length === 1);
        const second = entry.send({}, callers[1]!.signal);
        const third = entry.send({}, AbortSignal.abort());
        callers[1]!.abort();
        expect(await Promise.all([second, third])).toEqual(["no: canceled", "no: canceled"]);
        callers[0]!.abort();
        expect(await first).toEqual("unknown: canceled");
        expect([entry.calls.length, entry.pipeline.open, admission.queued.size]).toEqual([1, 0, 0]);
    });
});
