import { create } from "@bufbuild/protobuf";
import type { ServerDuplexStream } from "@grpc/grpc-js";
import { expect } from "earl";
import { describe, it } from "node:test";
import { deflateRawSync } from "node:zlib";
import { pino } from "pino";
import {
    type FollowRecordsRequest,
    type RecordBatch,
    RecordBatchSchema,
} from "../../../src/generated/goldcrestpoint_pb.js";
import { replicaServiceDefinition, startRpcServer } from "../../../src/node/grpc/index.js";
import { createRecordStore, createRelayFollowers, createStallMonitor } from "../../../src/node/replica/index.js";
import { createDisposalStack, createManualClock, sleep } from "../../../src/utils/index.js";
import { expectOk } from "../support.js";

const logger = pino({ level: "silent" });
const topic = "backend-servers";

describe("process that follows a relay of an earlier version", () => {
    // Guards against a small message that takes a hundred times its size in memory when it is decompressed.
    it("decompresses no more than it may keep, and receives the other records", async () => {
        await using stack = createDisposalStack();
        const value = deflateRawSync(Buffer.alloc(262_000, " "));
        const odd = Array.from({ length: 300 }, (...[, index]) => ({ key: `odd-${index}`, value, compressed: true }));
        const followRecords = (call: ServerDuplexStream<FollowRecordsRequest, RecordBatch>): void => {
            const records = [...odd, { key: "i-1", value: Buffer.from("{}") }];
            call.once("data", () => call.write(create(RecordBatchSchema, { topic, nextOffset: 1n, records })));
            call.on("end", () => call.end()).on("error", () => undefined);
        };
        const implementation = { followRecords, exchangeCrashEvidence: () => undefined };
        const server = stack.use(expectOk(
            await startRpcServer("127.0.0.1:0", [{ definition: replicaServiceDefinition, implementation }], 100),
        ));
        const clock = createManualClock();
        let checkedBytes = 0;
        const checks = {
            [topic]: (...[, content]: readonly [string, Uint8Array]) => {
                checkedBytes += content.byteLength;
                return content.byteLength > 0;
            },
        };
        const store = createRecordStore([topic], clock, logger, { checks });
        stack.use(createRelayFollowers({
            self: "follower",
            store,
            clock,
            stalls: createStallMonitor({ clock, logger }),
            random: { next: () => 0.5 },
            logger,
            listAddresses: () => [`127.0.0.1:${server.port}`],
            options: { parents: 1, silentAfter: 60_000, reconnectAfter: 100, positionInterval: 10 },
        }));
        const { records } = store.topic(topic);
        for (let waited = 0; waited < 5_000 && records.size === 0; waited += 10) {
            await sleep(10);
        }
        expect([...records.keys()]).toEqual(["i-1"]);
        expect(checkedBytes).toBeLessThan(10_000);
    });
});
