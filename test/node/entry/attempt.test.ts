import { create, type MessageInitShape } from "@bufbuild/protobuf";
import { status } from "@grpc/grpc-js";
import { expect } from "earl";
import { describe, it } from "node:test";
import { ExecuteFrameSchema } from "../../../src/generated/goldcrestpoint_pb.js";
import type { ExecuteCall } from "../../../src/node/agent/frames.js";
import { type AttemptOutcome, executeAttempt } from "../../../src/node/entry/attempt.js";
import { agentServiceDefinition, createAgentClient } from "../../../src/node/grpc/index.js";
import { createAttemptRequest, startLoopbackServer, waitFor } from "../daemonSupport.js";

type Frame = MessageInitShape<typeof ExecuteFrameSchema>;

const start: Frame = { requestId: "r1", sequence: 0, content: { case: "start", value: { status: 200 } } };
const data = (sequence: number): Frame => ({
    requestId: "r1",
    sequence,
    content: { case: "data", value: Buffer.from(`part ${sequence}`) },
});
const end = (sequence: number, frames: number): Frame => ({
    requestId: "r1",
    sequence,
    content: { case: "end", value: { frames } },
});
const refusal = (sequence: number, ran: string): Frame => ({
    requestId: "r1",
    sequence,
    content: { case: "refusal", value: { ran, reason: "draining" } },
});

/** Executes one attempt at an agent that sends the frames and then ends the stream, breaks it or keeps it open. */
async function runAttempt(frames: readonly Frame[], after: "end" | "break" | "hold") {
    const canceled: boolean[] = [];
    const execute = (call: ExecuteCall): void => {
        call.on("cancelled", () => canceled.push(true));
        frames.forEach(frame => call.write(create(ExecuteFrameSchema, frame)));
        if (after === "break") {
            call.emit("error", { code: status.INTERNAL, details: "broken" });
        }
        else if (after === "end") {
            call.end();
        }
    };
    await using server = await startLoopbackServer({ definition: agentServiceDefinition, implementation: { execute } });
    const client = createAgentClient(server.address);
    const received: string[] = [];
    const outcome = await executeAttempt({
        client,
        request: createAttemptRequest("r1"),
        signal: new AbortController().signal,
        timeLimit: 600_000,
        sink: {
            start: () => received.push("start"),
            data: content => {
                received.push(Buffer.from(content).toString());
                return undefined;
            },
        },
    });
    if (after === "hold") {
        await waitFor(() => canceled.length > 0);
    }
    client.close();
    return { outcome, received };
}

function describeOutcome(outcome: AttemptOutcome): string {
    if (outcome.kind === "complete") {
        return "complete";
    }
    const { refusal: { ran, reason }, connectionBroke } = outcome;
    return `${ran}: ${reason}${connectionBroke ? ", connection broke" : ""}`;
}

describe("attempt at an agent", () => {
    const mismatched = "unknown: answer-mismatched";
    const broken = "unknown: connection-lost, connection broke";
    const cases: readonly [name: string, frames: readonly Frame[], after: "end" | "break" | "hold", outcome: string][] =
        [
            ["a complete answer", [start, data(1), data(2), end(3, 2)], "end", "complete"],
            ["an answer without data", [start, end(1, 0)], "end", "complete"],
            ["a refusal", [refusal(0, "no")], "end", "no: draining"],
            [
                "a refusal after a part of the answer",
                [start, data(1), refusal(2, "unknown")],
                "end",
                "unknown: draining",
            ],
            ["a refusal with an unknown value of `ran`", [refusal(0, "maybe")], "end", "unknown: draining"],
            ["no frame", [], "end", broken],
            ["a break before the first frame", [], "break", broken],
            ["a break after the start", [start], "break", broken],
            ["a break after data", [start, data(1)], "break", broken],
            ["an end without an end frame", [start, data(1)], "end", broken],
            ["an end frame with too few frames", [start, data(1), end(2, 2)], "hold", mismatched],
            ["an end frame with too many frames", [start, data(1), end(2, 0)], "hold", mismatched],
            // Guards against an agent of an earlier build that forwards any status of its backend server.
            ...[0, 99, 103, 600, 999].map(value =>
                [
                    `a start with status ${value}`,
                    [{ ...start, content: { case: "start", value: { status: value } } }],
                    "hold",
                    mismatched,
                ] as [string, readonly Frame[], "hold", string]
            ),
            ["a missing frame", [start, data(2)], "hold", mismatched],
            ["a repeated frame", [start, data(1), data(1)], "hold", mismatched],
            ["frames out of order", [start, data(2), data(1)], "hold", mismatched],
            ["a frame of another request", [start, { ...data(1), requestId: "r2" }], "hold", mismatched],
            ["a start of another request", [{ ...start, requestId: "r2" }], "hold", mismatched],
            ["data before the start", [data(0)], "hold", mismatched],
            ["an end before the start", [end(0, 0)], "hold", mismatched],
            ["a second start", [start, { ...start, sequence: 1 }], "hold", mismatched],
            ["a frame without content", [{ requestId: "r1", sequence: 0 }], "hold", mismatched],
        ];
    for (const [name, frames, after, expected] of cases) {
        // Guards against an answer that counts as complete although it is partial or belongs to another request, and
        // against an agent that continues to send an answer that is discarded.
        it(`reports "${expected}" for ${name}`, async () => {
            const { outcome, received } = await runAttempt(frames, after);
            expect(describeOutcome(outcome)).toEqual(expected);
            expect(received.filter(part => part === "start").length <= 1).toEqual(true);
        });
    }

    // Guards against a request that is not retried although it was never sent. Only a refused connection proves that it
    // was not; a retry after any other error could run the request twice.
    it("reports a refused connection as not run, and no crash", async () => {
        const server = await startLoopbackServer({
            definition: agentServiceDefinition,
            implementation: { execute: (call: ExecuteCall) => call.end() },
        });
        await server[Symbol.asyncDispose]();
        const outcome = await executeAttemptAt(server.address, new AbortController().signal);
        expect(describeOutcome(outcome)).toEqual("no: connection-lost");
    });

    // Guards against a request that is sent although its caller has already disconnected.
    it("sends nothing for a caller that has disconnected", async () => {
        let calls = 0;
        await using server = await startLoopbackServer({
            definition: agentServiceDefinition,
            implementation: {
                execute: (call: ExecuteCall) => {
                    calls += 1;
                    call.end();
                },
            },
        });
        const outcome = await executeAttemptAt(server.address, AbortSignal.abort());
        expect([describeOutcome(outcome), calls]).toEqual(["no: canceled", 0]);
    });

    // Guards against a request that continues to run although its caller has disconnected.
    it("cancels the call when the caller disconnects", async () => {
        const caller = new AbortController();
        let canceled = 0;
        await using server = await startLoopbackServer({
            definition: agentServiceDefinition,
            implementation: {
                execute: (call: ExecuteCall) => {
                    call.on("cancelled", () => {
                        canceled += 1;
                    });
                    caller.abort();
                },
            },
        });
        const outcome = await executeAttemptAt(server.address, caller.signal);
        expect(describeOutcome(outcome)).toEqual("unknown: canceled");
        await waitFor(() => canceled === 1);
    });
});

async function executeAttemptAt(address: string, signal: AbortSignal): Promise<AttemptOutcome> {
    const client = createAgentClient(address);
    const sink = { start: () => undefined, data: () => undefined };
    const request = createAttemptRequest("r1");
    const outcome = await executeAttempt({ client, request, signal, timeLimit: 600_000, sink });
    client.close();
    return outcome;
}
