import { create } from "@bufbuild/protobuf";
import { status } from "@grpc/grpc-js";
import { expect } from "earl";
import { EventEmitter } from "node:events";
import { describe, it } from "node:test";
import {
    type AvailabilityRequest,
    AvailabilityRequestSchema,
    AvailabilityResponseSchema,
} from "../../../../src/generated/goldcrestpoint_pb.js";
import { createExchangeStream, type StreamedAnswer } from "../../../../src/node/agent/transfer/exchangeStream.js";
import type { AgentClient } from "../../../../src/node/grpc/index.js";

const request = create(AvailabilityRequestSchema, {});

class StreamStandIn extends EventEmitter {
    readonly written: AvailabilityRequest[] = [];
    canceled = false;
    write(message: AvailabilityRequest): void {
        this.written.push(message);
    }
    cancel(): void {
        this.canceled = true;
    }
    answer(sentBytes: number): void {
        this.emit("data", create(AvailabilityResponseSchema, { sentBytes: BigInt(sentBytes) }));
    }
}

function startExchanges() {
    const streams: StreamStandIn[] = [];
    const streamAvailability = (): StreamStandIn => {
        const stream = new StreamStandIn();
        streams.push(stream);
        return stream;
    };
    const exchanges = createExchangeStream("agent", { streamAvailability } as unknown as AgentClient);
    return {
        streams,
        exchange: (timeLimit = 1_000) => exchanges.exchange(request, timeLimit),
        [Symbol.dispose]: () => exchanges[Symbol.dispose](),
    };
}

function describeAnswer(answer: StreamedAnswer): string {
    return answer === "unsupported" ? answer : answer.isErr ? answer.error.code : String(answer.value.sentBytes);
}

describe("exchanges over a stream", () => {
    // Guards against a late answer that counts as that of the next request, whose bitfield and time are newer.
    it("keep late answers apart from those of later requests", async () => {
        using started = startExchanges();
        const late = await started.exchange(1);
        const next = started.exchange();
        started.streams[0]!.answer(1);
        started.streams[0]!.answer(2);
        expect([late, await next].map(describeAnswer)).toEqual(["PEER_UNREACHABLE", "2"]);
        expect(started.streams.length).toEqual(1);
    });

    // Guards against requests that collect on a dead connection.
    it("open a new stream when two answers are missing", async () => {
        using started = startExchanges();
        await started.exchange(1);
        await started.exchange(1);
        const next = started.exchange();
        started.streams[0]!.answer(1);
        started.streams[1]!.answer(2);
        expect(describeAnswer(await next)).toEqual("2");
        expect(started.streams.map(({ canceled, written }) => [canceled, written.length])).toEqual([[true, 2], [
            false,
            1,
        ]]);
    });

    const ends: readonly (readonly [string, (stream: StreamStandIn) => void, string])[] = [
        ["an older agent", stream => stream.emit("error", { code: status.UNIMPLEMENTED }), "unsupported"],
        ["a dead agent", stream => stream.emit("error", { code: status.UNAVAILABLE, message: "" }), "PEER_UNREACHABLE"],
        ["an agent that stops", stream => stream.emit("end"), "PEER_UNREACHABLE"],
    ];
    for (const [name, end, expected] of ends) {
        // Guards against a request that waits for its time limit although its stream has ended.
        it(`fail at once with ${name}`, async () => {
            using started = startExchanges();
            const answer = started.exchange();
            end(started.streams[0]!);
            expect(describeAnswer(await answer)).toEqual(expected);
        });
    }
});
