import { create } from "@bufbuild/protobuf";
import type { ServerDuplexStream } from "@grpc/grpc-js";
import { type FollowRequest, type FollowResponse, FollowResponseSchema } from "../../generated/goldcrestpoint_pb.js";
import type { Clock, InstanceId, InstanceRow, Milliseconds, Offset } from "../../types/index.js";
import type { Table } from "../../utils/index.js";
import { createRelayedRecord } from "./messages.js";
import type { StateStore } from "./stateStore.js";

/**
 * Fraction of the hold duration after which the log counts as unreachable. Holders learn of log records as late as
 * relays do, so the outage has to be confirmed well before the holds lapse.
 */
const unreachableHoldFraction = 0.5;

/** Messages that may be queued for one follower. */
const maximumBufferedMessages = 256;

/** Call of the `Follow` method. */
export type FollowCall = ServerDuplexStream<FollowRequest, FollowResponse>;

/** Options of {@link createRelayHandler}. */
export interface RelayHandlerOptions {
    readonly self: InstanceId;
    readonly store: StateStore;
    readonly instances: Table<InstanceId, InstanceRow>;
    readonly clock: Clock;
    readonly startedAt: Milliseconds;
    /** Time for which a hold lasts without renewal. */
    readonly holdDuration: Milliseconds;
    readonly onHeartbeat: (request: FollowRequest) => void;
}

/** Serves followers. */
export interface RelayHandler {
    follow(call: FollowCall): void;
    /**
     * Sends changed rows of the instance list to the followers that need them.
     *
     * @param rows - changed rows
     */
    publishInstances(rows: readonly InstanceRow[]): void;
    readonly followerCount: number;
    /** Ends all streams. */
    close(): void;
}

interface ConnectedFollower {
    readonly call: FollowCall;
    /** Undefined until the follower has sent its first message. */
    instance: InstanceId | undefined;
    /** Offset of the newest entry that the follower has, or that was sent to it. */
    sentOffset: Offset;
}

/**
 * Creates the handler of the `Follow` method.
 *
 * @param options - state to relay and callback for heartbeats
 * @returns the handler
 */
export function createRelayHandler(options: RelayHandlerOptions): RelayHandler {
    const { store, clock, instances } = options;
    const followers = new Set<ConnectedFollower>();

    function createMessage(heartbeat: bigint): FollowResponse {
        const now = clock.monotonic();
        const age = store.logKnownAt === undefined ? Number.MAX_SAFE_INTEGER : now - store.logKnownAt;
        return create(FollowResponseSchema, {
            instance: options.self,
            appliedOffset: BigInt(store.state.appliedOffset),
            logAgeMilliseconds: BigInt(Math.ceil(age)),
            logReachable: age < options.holdDuration * unreachableHoldFraction,
            uptimeMilliseconds: BigInt(Math.floor(now - options.startedAt)),
            heartbeat,
        });
    }

    function attachState(follower: ConnectedFollower, message: FollowResponse): void {
        const entries = store.entriesAfter(follower.sentOffset);
        if (entries === undefined) {
            message.snapshot = JSON.stringify(store.takeSnapshot());
        }
        else {
            message.records = entries.map(createRelayedRecord);
        }
        follower.sentOffset = Math.max(follower.sentOffset, store.state.appliedOffset);
    }

    /**
     * Selects rows for a follower: agents get their own pool and the entry instances; entry instances get every row.
     */
    function selectRows(instance: InstanceId, rows: Iterable<InstanceRow>): InstanceRow[] {
        const own = instances.get(instance);
        return [...rows].filter(row =>
            own === undefined || own.role === "entry" || row.role === "entry" || row.pool === own.pool
        );
    }

    function subscribe(follower: ConnectedFollower, request: FollowRequest, message: FollowResponse): void {
        follower.instance = request.instance;
        follower.sentOffset = Number(request.appliedOffset);
        message.instances = JSON.stringify(selectRows(request.instance, instances.rows()));
    }

    function receive(follower: ConnectedFollower, request: FollowRequest): void {
        const message = createMessage(request.heartbeat);
        if (follower.instance === undefined) {
            subscribe(follower, request, message);
        }
        options.onHeartbeat(request);
        attachState(follower, message);
        send(follower, message);
    }

    /**
     * Sends a message. A follower that reads too slowly is disconnected; it reconnects with its offset and then gets
     * everything that it lacks in one message.
     */
    function send(follower: ConnectedFollower, message: FollowResponse): void {
        if (follower.call.writableLength > maximumBufferedMessages) {
            remove(follower);
            follower.call.end();
            return;
        }
        follower.call.write(message);
    }

    function remove(follower: ConnectedFollower): void {
        followers.delete(follower);
    }

    store.onChange(() => {
        for (const follower of followers) {
            if (follower.instance !== undefined) {
                const message = createMessage(0n);
                attachState(follower, message);
                send(follower, message);
            }
        }
    });

    return {
        follow: call => {
            const follower: ConnectedFollower = { call, instance: undefined, sentOffset: 0 };
            followers.add(follower);
            call.on("data", (request: FollowRequest) => receive(follower, request));
            call.on("end", () => {
                remove(follower);
                call.end();
            });
            call.on("error", () => remove(follower));
            call.on("cancelled", () => remove(follower));
        },
        publishInstances: rows => {
            for (const follower of followers) {
                if (follower.instance === undefined) {
                    continue;
                }
                const selected = selectRows(follower.instance, rows);
                if (selected.length > 0) {
                    const message = createMessage(0n);
                    message.instances = JSON.stringify(selected);
                    send(follower, message);
                }
            }
        },
        get followerCount() {
            return followers.size;
        },
        close: () => {
            for (const follower of followers) {
                follower.call.end();
            }
        },
    };
}
