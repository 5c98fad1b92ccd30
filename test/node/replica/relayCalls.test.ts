import { create } from "@bufbuild/protobuf";
import type { ServerDuplexStream } from "@grpc/grpc-js";
import { expect } from "earl";
import { describe, it } from "node:test";
import { pino } from "pino";
import {
    type FollowRecordsRequest,
    type RecordBatch,
    RecordBatchSchema,
} from "../../../src/generated/goldcrestpoint_pb.js";
import { replicaServiceDefinition, startRpcServer } from "../../../src/node/grpc/index.js";
import { createRecordStore, createRelayFollowers, createStallMonitor } from "../../../src/node/replica/index.js";
import { findFreePorts } from "../../../src/standIn/index.js";
import type { KeyedTopic } from "../../../src/types/index.js";
import { createDisposalStack, createManualClock, sleep } from "../../../src/utils/index.js";
import { expectOk } from "../support.js";

const logger = pino({ level: "silent" });
const configurationBytes = 1_000_000;

describe("process that follows a relay", () => {
    const cases: readonly { readonly topics: readonly KeyedTopic[]; readonly calls: readonly string[]; }[] = [
        {
            topics: ["backend-servers", "operator", "instances"],
            calls: ["backend-servers,instances", "operator"],
        },
        {
            topics: ["backend-servers", "instances", "weight-sources"],
            calls: ["backend-servers,instances,weight-sources"],
        },
        { topics: ["operator"], calls: ["operator"] },
    ];
    for (const { calls, topics } of cases) {
        // Guards against a change of the list of backend servers that waits until a large configuration has arrived.
        it(`receives each topic by the call for it: ${topics.join()}`, async () => {
            await using stack = createDisposalStack();
            const [port] = await findFreePorts(1);
            const address = `127.0.0.1:${port}`;
            const requested: string[] = [];
            const followRecords = (call: ServerDuplexStream<FollowRecordsRequest, RecordBatch>): void => {
                call.once("data", ({ positions }: FollowRecordsRequest) => {
                    requested.push(positions.map(({ topic }) => topic).join());
                    for (const { topic } of positions) {
                        const value = Buffer.alloc(topic === "operator" ? configurationBytes : 1, "x");
                        const records = [{ key: topic, value }];
                        call.write(create(RecordBatchSchema, { topic, nextOffset: 1n, records }));
                    }
                });
                call.on("end", () => call.end());
                call.on("error", () => {});
            };
            const implementation = { followRecords, exchangeCrashEvidence: () => {} };
            stack.use(expectOk(
                await startRpcServer(address, [{ definition: replicaServiceDefinition, implementation }], 100),
            ));
            const clock = createManualClock();
            const store = createRecordStore(topics, clock, logger);
            const received: string[] = [];
            store.onChange(topic => received.push(topic));
            stack.use(createRelayFollowers({
                self: "follower",
                store,
                clock,
                stalls: createStallMonitor({ clock, logger }),
                random: { next: () => 0.5 },
                logger,
                listAddresses: () => [address],
                options: { parents: 1, silentAfter: 60_000, reconnectAfter: 100, positionInterval: 10 },
            }));
            while (received.length < topics.length) {
                await sleep(5);
            }
            expect(requested.sort()).toEqual([...calls]);
            expect(received.sort()).toEqual([...topics].sort());
        });
    }
});
