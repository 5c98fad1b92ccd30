import { create } from "@bufbuild/protobuf";
import type { ServerDuplexStream } from "@grpc/grpc-js";
import { expect } from "earl";
import { EventEmitter } from "node:events";
import { describe, it } from "node:test";
import { deflateRawSync } from "node:zlib";
import { pino } from "pino";
import {
    type FollowRecordsRequest,
    FollowRecordsRequestSchema,
    type RecordBatch,
} from "../../../src/generated/goldcrestpoint_pb.js";
import { createRecordRelay, createRecordStore, createStallMonitor } from "../../../src/node/replica/index.js";
import { createValueDecompressor } from "../../../src/node/replica/valueCompression.js";
import { createManualClock, sleep } from "../../../src/utils/index.js";

const logger = pino({ level: "silent" });
const route = { name: "route", host: "members.example", kind: "streaming", timeout_ms: 6_000, target_latency_ms: 402 };
/** About as large as the configuration of a deployment with 1,640 routes. */
const configuration = Buffer.from(JSON.stringify(Array.from({ length: 1_640 }, (...[, index]) => ({
    ...route,
    path_prefix: `/${index}/`,
}))));

/** Relay with one follower, which is connected before the configuration changes; time passes by hand. */
function startRelay(acceptsCompressed: boolean, readsLog: boolean) {
    const clock = createManualClock();
    clock.advance(10_000);
    const stalls = createStallMonitor({ clock, logger });
    const store = createRecordStore(["operator"], clock, logger);
    const receive = (offset: number, value: Buffer): void =>
        store.receive({
            topic: "operator",
            page: { records: [{ key: "config", value, offset }], nextOffset: offset + 1 },
            complete: offset === 0,
            age: 0,
            source: "log",
            peer: "log",
        });
    receive(0, Buffer.from("{}"));
    const options = { relayDelay: 0, relayHeartbeat: 5, largeRecordDelay: 600 };
    const relay = createRecordRelay({ store, clock, stalls, options });
    const batches: RecordBatch[] = [];
    const call = Object.assign(new EventEmitter(), {
        write: (batch: RecordBatch) => batches.push(batch) > 0,
        end: () => undefined,
    });
    relay.followRecords(call as unknown as ServerDuplexStream<FollowRecordsRequest, RecordBatch>);
    const reportPosition = (nextOffset: number): void => {
        const positions = [{ topic: "operator", nextOffset: BigInt(nextOffset), era: 0n, readsLog }];
        call.emit("data", create(FollowRecordsRequestSchema, { positions, acceptsCompressed }));
    };
    reportPosition(1);
    receive(1, configuration);
    return {
        clock,
        reportPosition,
        /** Values that were relayed after some rounds of the relay's timer. */
        readRelayed: async () => {
            await sleep(40);
            return batches.flatMap(({ records }) => records).filter(({ key }) => key === "config");
        },
        [Symbol.dispose]: () => relay[Symbol.dispose](),
    };
}

describe("large record of the log", () => {
    // Guards against links that carry a configuration once for each relay while followers read it from the log.
    it("is not relayed to a follower that reads it from the log within the delay", async () => {
        using relay = startRelay(true, true);
        relay.clock.advance(599);
        expect((await relay.readRelayed()).length).toEqual(0);
        relay.reportPosition(2);
        relay.clock.advance(10_000);
        expect((await relay.readRelayed()).length).toEqual(0);
    });

    // Guards against a follower that does not get a configuration when its own read fails.
    it("is relayed after the delay to one that has not read it", async () => {
        using relay = startRelay(true, true);
        relay.clock.advance(600);
        expect((await relay.readRelayed()).length).toEqual(1);
    });

    const encodings = [
        {
            name: "compressed if the follower accepts that",
            acceptsCompressed: true,
            maximum: configuration.length / 10,
        },
        { name: "as it is to an older build", acceptsCompressed: false, maximum: configuration.length },
    ];
    for (const { acceptsCompressed, maximum, name } of encodings) {
        it(`is relayed at once to a follower that does not read the topic, ${name}`, async () => {
            using relay = startRelay(acceptsCompressed, false);
            const [record] = await relay.readRelayed();
            const { compressed, value } = record!;
            expect(value.length).toBeLessThanOrEqual(maximum);
            const content = compressed ? createValueDecompressor()("config", value) : value;
            expect(Buffer.compare(content, configuration)).toEqual(0);
        });
    }
});

describe("decompression of relayed values", () => {
    // Guards against a process that runs out of memory because of one damaged record.
    it("fails for values that are damaged or too large", () => {
        const decompress = createValueDecompressor();
        expect(() => decompress("config", Buffer.from("no deflate stream"))).toThrow();
        expect(() => decompress("config", deflateRawSync(Buffer.alloc(17_000_000)))).toThrow();
    });

    // Guards against followers that keep each large value that was ever relayed to them, and its compressed form.
    it("keeps no more than the newest values", () => {
        const decompress = createValueDecompressor();
        const read = (key: string): Uint8Array => decompress(key, deflateRawSync(Buffer.alloc(1_000_000, key)));
        const config = read("config");
        expect(read("config") === config).toEqual(true);
        ["a", "b", "c", "d", "e"].forEach(read);
        expect(read("config") === config).toEqual(false);
        expect(Buffer.compare(read("config"), config)).toEqual(0);
    });
});
