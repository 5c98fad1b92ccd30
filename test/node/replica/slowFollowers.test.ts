import { create } from "@bufbuild/protobuf";
import type { ServerDuplexStream } from "@grpc/grpc-js";
import { expect } from "earl";
import { EventEmitter, once } from "node:events";
import { type AddressInfo, connect, createServer, type Socket } from "node:net";
import { describe, it } from "node:test";
import { pino } from "pino";
import {
    type FollowRecordsRequest,
    FollowRecordsRequestSchema,
    type RecordBatch,
} from "../../../src/generated/goldcrestpoint_pb.js";
import { createReplicaClient, replicaServiceDefinition } from "../../../src/node/grpc/clients.js";
import { startRpcServer } from "../../../src/node/grpc/index.js";
import {
    createRecordRelay,
    createRecordStore,
    createStallMonitor,
    type RecordRelay,
} from "../../../src/node/replica/index.js";
import { createDisposalStack, createSystemClock, sleep } from "../../../src/utils/index.js";
import { expectOk } from "../support.js";

const logger = pino({ level: "silent" });
const entries = 400;
const entryBytes = 2_500;
const listBytes = entries * entryBytes;
const maximumUnsentBytes = 2.5 * listBytes;

/** Relay of a list of backend servers with 1 MB of entries, which change together. */
function startRelay() {
    const clock = createSystemClock();
    const store = createRecordStore(["backend-servers"], clock, logger);
    const options = { relayDelay: 1, relayHeartbeat: 20, largeRecordDelay: 0, maximumUnsentBytes };
    const relay = createRecordRelay({ store, clock, stalls: createStallMonitor({ clock, logger }), options });
    let written = 0;
    const change = (): void => {
        const { nextOffset } = store.topic("backend-servers");
        const value = Buffer.alloc(entryBytes, written++);
        const keys = Array.from({ length: entries }, (...[, index]) => `i-${index}`);
        const records = keys.map((key, index) => ({ key, value, offset: nextOffset + index }));
        const page = { records, nextOffset: nextOffset + entries };
        store.receive({ topic: "backend-servers", page, complete: false, age: 0, source: "log", peer: "log" });
    };
    change();
    return { store, relay, change, [Symbol.dispose]: () => relay[Symbol.dispose]() };
}

const firstPosition = create(FollowRecordsRequestSchema, {
    positions: [{ topic: "backend-servers", nextOffset: 0n, era: 0n, readsLog: false }],
    acceptsCompressed: true,
});

/** Follower whose connection takes messages only when `takeAll` is called. */
function connectFollower(relay: RecordRelay) {
    const batches: RecordBatch[] = [];
    const pending: (() => void)[] = [];
    const call = Object.assign(new EventEmitter(), {
        write: (batch: RecordBatch, onTaken: () => void) => {
            batches.push(batch);
            pending.push(onTaken);
            return true;
        },
        end: () => undefined,
    });
    relay.followRecords(call as unknown as ServerDuplexStream<FollowRecordsRequest, RecordBatch>);
    call.emit("data", firstPosition);
    return {
        takeAll: () => pending.splice(0).forEach(onTaken => onTaken()),
        cancel: () => call.emit("cancelled"),
        countMessages: () => batches.length,
        countRecords: () => batches.reduce((sum, { records }) => sum + records.length, 0),
    };
}

/** Starts a link to a server that can stop carrying what the server sends. */
async function startPausableLink(port: number) {
    const sockets: Socket[] = [];
    let isPaused = false;
    const listener = createServer(client => {
        const server = connect(port, "127.0.0.1");
        sockets.push(client, server);
        client.on("error", () => undefined).pipe(server);
        server.on("error", () => undefined).pipe(client);
    });
    listener.listen(0, "127.0.0.1");
    await once(listener, "listening");
    return {
        address: `127.0.0.1:${(listener.address() as AddressInfo).port}`,
        setPaused: (paused: boolean) => {
            isPaused = paused;
            sockets.forEach(socket => isPaused ? socket.unpipe().pause() : undefined);
            for (let index = 0; !isPaused && index < sockets.length; index += 2) {
                sockets[index]!.pipe(sockets[index + 1]!);
                sockets[index + 1]!.pipe(sockets[index]!);
            }
        },
        [Symbol.dispose]: () => {
            listener.close();
            sockets.forEach(socket => socket.destroy());
        },
    };
}

describe("relay whose followers read slowly", () => {
    // Guards against a relay that holds all records once for each of the followers that connect together.
    it("writes large batches to a few of them at a time, and to all in the end", async () => {
        using relaying = startRelay();
        const { relay, store } = relaying;
        const followers = Array.from({ length: 20 }, () => connectFollower(relay));
        let largest = relay.countUnsentBytes();
        for (let round = 0; round < 40 && followers.some(({ countRecords }) => countRecords() < entries); round++) {
            largest = Math.max(largest, relay.countUnsentBytes());
            followers.forEach(({ takeAll }) => takeAll());
            await sleep(10);
        }
        expect(largest).toBeLessThan(maximumUnsentBytes);
        expect(followers.map(({ countRecords }) => countRecords())).toEqual(followers.map(() => entries));
        expect(store.topic("backend-servers").records.size).toEqual(entries);
    });

    // Guards against a follower that keeps the others from getting records after its end.
    it("gives the room of a follower that has ended to the others", async () => {
        using relaying = startRelay();
        const { relay } = relaying;
        const [first, second, third] = [connectFollower(relay), connectFollower(relay), connectFollower(relay)];
        expect([first, second, third].map(({ countRecords }) => countRecords())).toEqual([entries, entries, 0]);
        first.cancel();
        await sleep(60);
        expect(third.countRecords()).toEqual(entries);
    });

    // Guards against a follower that finds its relay silent, and waits at another one from the start.
    it("lets a follower that waits know that it is there", async () => {
        using relaying = startRelay();
        const { relay } = relaying;
        const followers = [connectFollower(relay), connectFollower(relay), connectFollower(relay)];
        await sleep(100);
        expect(followers[2]!.countRecords()).toEqual(0);
        expect(followers[2]!.countMessages()).toBeGreaterThan(1);
    });

    // Guards against messages that pile up for a machine that stands still while the list changes.
    it("holds one batch for a connection that is not read, and continues with the newest records", async () => {
        await using stack = createDisposalStack();
        const { change, relay, store } = startRelay();
        const server = stack.use(expectOk(
            await startRpcServer("127.0.0.1:0", [{
                definition: replicaServiceDefinition,
                implementation: { followRecords: relay.followRecords, exchangeCrashEvidence: () => undefined },
            }], 200),
        ));
        stack.use(relay);
        using link = await startPausableLink(server.port);
        const client = createReplicaClient(link.address);
        stack.defer(() => client.close());
        const call = client.followRecords();
        stack.defer(() => call.cancel());
        let reached = 0n;
        call.on("error", () => undefined).on("data", ({ nextOffset }: RecordBatch) => {
            reached = nextOffset;
        });
        call.write(firstPosition);
        const awaitNewest = async (): Promise<void> => {
            const { nextOffset } = store.topic("backend-servers");
            for (let waited = 0; waited < 5_000 && Number(reached) < nextOffset; waited += 20) {
                await sleep(20);
            }
            expect(Number(reached)).toEqual(nextOffset);
        };
        await awaitNewest();
        link.setPaused(true);
        let largest = 0;
        for (let changes = 0; changes < 30; changes++) {
            change();
            await sleep(30);
            largest = Math.max(largest, relay.countUnsentBytes());
        }
        expect(largest).toBeLessThan(1.5 * listBytes);
        expect(largest).toBeGreaterThan(0);
        link.setPaused(false);
        await awaitNewest();
    });
});
