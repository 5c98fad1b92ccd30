import { create } from "@bufbuild/protobuf";
import { expect } from "earl";
import { describe, it } from "node:test";
import { type FollowResponse, FollowResponseSchema } from "../../../src/generated/goldcrestpoint_pb.js";
import { relayServiceDefinition } from "../../../src/node/grpc/index.js";
import {
    createFollower,
    createRelayHandler,
    createStateStore,
    type FollowCall,
    type Follower,
    type HeartbeatResponse,
    type StateStore,
} from "../../../src/node/relay/index.js";
import { createInstanceTable } from "../../../src/runtime/placement/index.js";
import { createManualClock } from "../../../src/utils/index.js";
import { createEntries, type LoopbackServer, startLoopbackServer, waitFor } from "../daemonSupport.js";

type Script = (call: FollowCall, heartbeat: bigint) => void;

function startScriptedRelay(script: Script): Promise<LoopbackServer> {
    const follow = (call: FollowCall): void => {
        call.on("error", () => undefined);
        call.on("end", () => call.end());
        call.on("data", ({ heartbeat }: { heartbeat: bigint; }) => script(call, heartbeat));
    };
    return startLoopbackServer({ definition: relayServiceDefinition, implementation: { follow } });
}

function startFollower(address: string, store: StateStore = createStateStore()) {
    const clock = createManualClock();
    clock.advance(100_000);
    const answers: HeartbeatResponse[] = [];
    const ends: string[] = [];
    const follower: Follower = createFollower({
        self: "agent-1",
        incarnation: "first",
        target: { instance: "entry-1", address },
        store,
        clock,
        startedAt: 0,
        readContent: () => ({ copies: [], draining: false }),
        onHeartbeatResponse: answer => answers.push(answer),
        onInstances: () => undefined,
        onEnd: reason => ends.push(reason),
    });
    return { clock, store, answers, ends, follower, [Symbol.dispose]: () => follower[Symbol.dispose]() };
}

function createRelayed(first: number, last: number): FollowResponse["records"] {
    return createEntries(first, last).map(({ offset, previousOffset, record }) => ({
        $typeName: "goldcrestpoint.v1.RelayedRecord",
        offset: BigInt(offset),
        previousOffset: BigInt(previousOffset),
        record: JSON.stringify(record),
    }));
}

function createState(last: number): string {
    const store = createStateStore();
    store.applyEntries(createEntries(1, last));
    return JSON.stringify(store.takeSnapshot());
}

describe("follower of a relay", () => {
    interface Fault {
        readonly name: string;
        readonly message: Partial<FollowResponse>;
        /** Offset that the follower has applied before. */
        readonly known?: number;
        readonly applied: number;
        readonly answered: boolean;
        readonly ends: boolean;
    }
    const faults: readonly Fault[] = [
        {
            name: "the next records",
            message: { records: createRelayed(1, 3), appliedOffset: 3n },
            applied: 3,
            answered: true,
            ends: false,
        },
        {
            name: "known records",
            message: { records: createRelayed(1, 3), appliedOffset: 3n },
            known: 5,
            applied: 5,
            answered: true,
            ends: false,
        },
        {
            name: "records with a gap",
            message: { records: createRelayed(2, 3), appliedOffset: 3n },
            applied: 0,
            answered: false,
            ends: true,
        },
        {
            name: "a snapshot that is nested too deeply",
            message: {
                snapshot: `{"appliedOffset":4,"configurations":[],"placements":[],"marks":[],"unresolved":${
                    "[".repeat(100_000) + "]".repeat(100_000)
                },"digest":""}`,
                appliedOffset: 4n,
            },
            applied: 0,
            answered: false,
            ends: true,
        },
        {
            name: "a snapshot of another structure",
            message: { snapshot: "null", appliedOffset: 4n },
            applied: 0,
            answered: false,
            ends: true,
        },
        {
            name: "a snapshot",
            message: { snapshot: createState(4), appliedOffset: 4n },
            applied: 4,
            answered: true,
            ends: false,
        },
        {
            name: "an old snapshot",
            message: { snapshot: createState(4), appliedOffset: 4n },
            known: 5,
            applied: 5,
            answered: true,
            ends: false,
        },
        {
            name: "a snapshot with a wrong digest",
            message: { snapshot: createState(4).replaceAll("scribe", "other"), appliedOffset: 4n },
            applied: 0,
            answered: false,
            ends: true,
        },
        {
            name: "a truncated snapshot",
            message: { snapshot: createState(4).slice(0, -9), appliedOffset: 4n },
            applied: 0,
            answered: false,
            ends: true,
        },
        {
            name: "a record that is not valid JSON",
            message: { records: createRelayed(1, 1).map(record => ({ ...record, record: "{" })), appliedOffset: 1n },
            applied: 0,
            answered: false,
            ends: true,
        },
        {
            name: "instances that are not valid JSON",
            message: { instances: "[{" },
            applied: 0,
            answered: false,
            ends: true,
        },
        {
            name: "an offset without its records",
            message: { appliedOffset: 3n },
            applied: 0,
            answered: false,
            ends: true,
        },
    ];
    for (const { name, message, known = 0, applied, answered, ends } of faults) {
        // Guards against a process that crashes on an invalid message, and against a stream that stays open although
        // the relay's state was rejected.
        it(`${ends ? "closes the stream after" : "accepts"} ${name}`, async () => {
            await using relay = await startScriptedRelay((call, heartbeat) => {
                call.write(create(FollowResponseSchema, { instance: "entry-1", heartbeat, ...message } as never));
            });
            const store = createStateStore();
            store.applyEntries(createEntries(1, known));
            using following = startFollower(relay.address, store);
            await waitFor(() => following.answers.length + following.ends.length > 0);
            expect(store.state.appliedOffset).toEqual(applied);
            expect([following.answers.length > 0, following.ends.length > 0]).toEqual([answered, ends]);
            expect(store.ready).toEqual(answered);
        });
    }

    const breaks: readonly [name: string, script: Script][] = [
        ["before the first message", call => call.emit("error", new Error("broken"))],
        ["after a response", (call, heartbeat) => {
            call.write(create(FollowResponseSchema, { instance: "entry-1", heartbeat }));
            call.emit("error", new Error("broken"));
        }],
        ["gracefully", call => call.end()],
    ];
    for (const [name, script] of breaks) {
        // Guards against a stream that ends without a report, so that it is not reopened, or with two reports.
        it(`reports once that the relay ended the stream ${name}`, async () => {
            await using relay = await startScriptedRelay(script);
            using following = startFollower(relay.address);
            await waitFor(() => following.ends.length > 0);
            following.follower.sendHeartbeat();
            following.follower[Symbol.dispose]();
            expect(following.ends.length).toEqual(1);
        });
    }

    // Guards against old state that looks fresh because the response was buffered while the process was paused.
    it("measures freshness from the time at which the heartbeat was sent", async () => {
        let answer: (() => void) | undefined;
        await using relay = await startScriptedRelay((call, heartbeat) => {
            answer = () =>
                call.write(create(FollowResponseSchema, {
                    instance: "entry-1",
                    heartbeat,
                    logAgeMilliseconds: 500n,
                    logReachable: true,
                }));
        });
        using following = startFollower(relay.address);
        await waitFor(() => answer !== undefined);
        following.clock.advance(60_000);
        answer!();
        await waitFor(() => following.answers.length > 0);
        expect(following.store.logKnownAt).toEqual(99_500);
        expect(following.answers[0]?.sentAt).toEqual(100_000);
        answer!();
        answer!();
        following.follower.sendHeartbeat();
        await waitFor(() => following.ends.length > 0 || following.answers.length > 0);
        // A repeated response counts once.
        expect(following.answers.length).toEqual(1);
    });

    // Guards against followers that never catch up with a relay that started after the log's oldest records expired,
    // and against an age that omits the relay's own age of the log.
    it("follows a real relay with its records, its snapshot and its age", async () => {
        const clock = createManualClock();
        clock.advance(50_000);
        const source = createStateStore();
        source.applyEntries(createEntries(1, 2));
        source.recordLogKnown(49_000);
        const heard: string[] = [];
        const relay = createRelayHandler({
            self: "entry-1",
            store: source,
            instances: createInstanceTable(),
            clock,
            startedAt: 0,
            holdDuration: 20_000,
            onHeartbeat: request => heard.push(request.instance),
        });
        await using server = await startLoopbackServer({
            definition: relayServiceDefinition,
            implementation: { follow: (call: FollowCall) => relay.follow(call) },
        });
        using following = startFollower(server.address);
        await waitFor(() => following.answers.length === 1);
        expect(following.store.logKnownAt).toEqual(99_000);
        expect(following.answers[0]).toEqual({
            instance: "entry-1",
            sentAt: 100_000,
            appliedOffset: 2,
            logReachable: true,
            uptime: 50_000,
        });
        source.applyEntries(createEntries(3, 5));
        await waitFor(() => following.store.state.appliedOffset === 5);
        source.adoptSnapshot(JSON.parse(createState(9)) as never);
        await waitFor(() => following.store.state.appliedOffset === 9);
        clock.advance(9_000);
        following.follower.sendHeartbeat();
        await waitFor(() => following.answers.length === 2);
        expect(following.answers[1]?.logReachable).toEqual(false);
        expect([heard, following.ends]).toEqual([["agent-1", "agent-1"], []]);
        relay.close();
        await waitFor(() => relay.followerCount === 0);
    });
});
