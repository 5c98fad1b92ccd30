import { expect } from "earl";
import { describe, it } from "node:test";
import { pino } from "pino";
import { replicaServiceDefinition, startRpcServer } from "../../../src/node/grpc/index.js";
import {
    createRecordRelay,
    createRecordStore,
    createRelayFollowers,
    createStallMonitor,
} from "../../../src/node/replica/index.js";
import { findFreePorts } from "../../../src/standIn/index.js";
import { type Clock, type KeyedRecord, type KeyedTopic, type Milliseconds } from "../../../src/types/index.js";
import { createDisposalStack, createManualClock, sleep } from "../../../src/utils/index.js";
import { expectOk } from "../support.js";

const logger = pino({ level: "silent" });

function createClock(elapsed: Milliseconds): Clock {
    const clock = createManualClock();
    clock.advance(elapsed);
    return clock;
}

interface RelayOptions {
    /** Default: operator. */
    readonly topic?: KeyedTopic;
    /** Time for which the follower does not run while a second record is sent to it. Default: no second one is sent. */
    readonly stall?: Milliseconds;
    /** Time until the first batch is received. Default: 0. */
    readonly opening?: Milliseconds;
    /** Whether the follower has read the record from the log at its start, without its date. Default: false. */
    readonly isKnown?: boolean;
}

/**
 * Relays records over a connection to a process with another clock, which shows 5,000 when the connection is opened.
 *
 * @param writtenAfter - time after which the records were written, on the clock of the relay, which shows 50,000
 * @param options - topic, and what happens at the follower
 * @returns the last record that the follower receives, and the time at which its topic was current
 */
async function relayRecord(
    writtenAfter: Milliseconds | undefined,
    { isKnown = false, opening = 0, stall = 0, topic = "operator" }: RelayOptions = {},
): Promise<{ readonly record: KeyedRecord; readonly currentAt: Milliseconds | undefined; }> {
    await using stack = createDisposalStack();
    const [port] = await findFreePorts(1);
    const address = `127.0.0.1:${port}`;
    const clock = createClock(50_000);
    const relayStalls = createStallMonitor({ clock, logger });
    const store = createRecordStore([topic], clock, logger);
    const page = { records: [{ key: "a", value: Buffer.from("{}"), offset: 0, writtenAfter }], nextOffset: 1 };
    store.receive({ topic, page, complete: true, age: 0, source: "log", peer: "log" });
    const relay = stack.use(
        createRecordRelay({
            store,
            clock,
            stalls: relayStalls,
            options: { relayDelay: 1, relayHeartbeat: 50, largeRecordDelay: 0 },
        }),
    );
    const { followRecords } = relay;
    const exchangeCrashEvidence = () => {
        throw new Error("not part of the test");
    };
    stack.use(expectOk(
        await startRpcServer(address, [{
            definition: replicaServiceDefinition,
            implementation: { followRecords, exchangeCrashEvidence },
        }]),
    ));
    const followerClock = createManualClock();
    followerClock.advance(5_000);
    const stalls = createStallMonitor({ clock: followerClock, logger });
    const followerStore = createRecordStore([topic], followerClock, logger);
    if (isKnown) {
        const read = { records: [{ key: "a", value: Buffer.from("{}"), offset: 0 }], nextOffset: 1 };
        followerStore.receive({ topic, page: read, complete: true, age: 0, source: "log", peer: "log" });
    }
    const received: KeyedRecord[] = [];
    followerStore.onChange((...[, records]) => received.push(...records));
    followerStore.onDated((...[, records]) => received.push(...records));
    const options = { parents: 1, silentAfter: 2_000, reconnectAfter: 100, positionInterval: 10 };
    stack.use(createRelayFollowers({
        self: "follower",
        store: followerStore,
        clock: followerClock,
        stalls,
        random: { next: () => 0.5 },
        logger,
        listAddresses: () => [address],
        options,
    }));
    const isReceived = async (count: number): Promise<void> => {
        while (received.length < count) {
            await sleep(5);
        }
    };
    followerClock.advance(opening);
    await isReceived(1);
    if (stall > 0) {
        const second = { records: [{ key: "b", value: Buffer.from("{}"), offset: 1, writtenAfter }], nextOffset: 2 };
        store.receive({ topic, page: second, complete: false, age: 0, source: "log", peer: "log" });
        followerClock.advance(stall);
        await isReceived(2);
    }
    return { record: received.at(-1)!, currentAt: followerStore.topic(topic).currentAt };
}

describe("record that is relayed to a process with another clock", () => {
    // Guards against a follower that takes a record as new that its relay has read after an outage.
    it("keeps the time after which it was written", async () => {
        expect((await relayRecord(43_000)).record.writtenAfter).toEqual(-2_000);
    });

    it("has no such time if the relay read it at its own start", async () => {
        expect((await relayRecord(undefined)).record.writtenAfter).toEqual(undefined);
    });

    it("was written after the begin of a stall of the follower during which it was sent", async () => {
        const { currentAt, record } = await relayRecord(49_900, { stall: 4_000 });
        expect([record.writtenAfter, currentAt]).toEqual([5_000, 5_000]);
    });

    // Guards against a process that must assume that a version is old, although it was declared just before its start.
    it("gets that time from the relay if the process has read it at its own start", async () => {
        const { record } = await relayRecord(49_000, { isKnown: true, opening: 250 });
        expect(record.writtenAfter).toEqual(4_000);
    });

    // Guards against gateways that delay the removal of backend servers, because a pause seems to be an outage.
    it("was current when it was received after a stall, if its topic is not dated", async () => {
        const { currentAt } = await relayRecord(undefined, { stall: 4_000, topic: "backend-servers" });
        expect(currentAt).toEqual(9_000);
    });
});
