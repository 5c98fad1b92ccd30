import { create } from "@bufbuild/protobuf";
import type { ServerDuplexStream } from "@grpc/grpc-js";
import {
    type FollowRecordsRequest,
    type RecordBatch,
    RecordBatchSchema,
    RelayedKeyedRecordSchema,
} from "../../generated/goldcrestpoint_pb.js";
import { type ReplicaPosition, selectUnknown } from "../../runtime/replica/index.js";
import type { Clock, KeyedTopic, Milliseconds } from "../../types/index.js";
import type { RecordStore } from "./recordStore.js";

/** Options of {@link createRecordRelay}. */
export interface RecordRelayOptions {
    /**
     * Delay of a change before it is relayed. A follower that reads the log itself reports its position within this time,
     * so that it is not sent what it has.
     */
    readonly relayDelay: Milliseconds;
    /** Longest time without a message, by which followers learn how current the knowledge of their first topic is. */
    readonly relayHeartbeat: Milliseconds;
}

/** Dependencies of {@link createRecordRelay}. */
export interface RecordRelayInput {
    readonly store: RecordStore;
    readonly clock: Clock;
    readonly options: RecordRelayOptions;
}

/** Relay of keyed records to other processes. */
export interface RecordRelay extends Disposable {
    /** Handler for the gRPC server. */
    readonly followRecords: (call: ServerDuplexStream<FollowRecordsRequest, RecordBatch>) => void;
    /** Processes that follow this one. */
    readonly countFollowers: () => number;
}

/** Position of a follower in one topic. */
interface FollowerPosition {
    known: ReplicaPosition;
    sentAt: Milliseconds;
}

interface Follower {
    readonly call: ServerDuplexStream<FollowRecordsRequest, RecordBatch>;
    readonly positions: Map<KeyedTopic, FollowerPosition>;
    /** True while the transport holds messages that the follower has not taken. */
    blocked: boolean;
}

/** Messages may cross, so a position never goes back. */
function advance(known: ReplicaPosition, next: ReplicaPosition): ReplicaPosition {
    if (next.era !== known.era) {
        return next.era > known.era ? next : known;
    }
    return { ...next, nextOffset: Math.max(known.nextOffset, next.nextOffset) };
}

/** Ages are relayed in whole milliseconds. */
function toWholeMilliseconds(duration: Milliseconds): bigint {
    return BigInt(Math.max(0, Math.round(duration)));
}

/**
 * Creates the relay of a process.
 *
 * @param input - records, clock and intervals
 * @returns the relay; disposing of it ends the streams
 */
export function createRecordRelay({ clock, options, store }: RecordRelayInput): RecordRelay {
    const followers = new Set<Follower>();

    function createBatch(
        topic: KeyedTopic,
        position: FollowerPosition,
        now: Milliseconds,
        isHeartbeat: boolean,
    ): RecordBatch | undefined {
        const known = store.topic(topic);
        if (known.currentAt === undefined) {
            return undefined;
        }
        const { carriedChanges, era, nextOffset } = position.known;
        const isBehind = era !== known.era || known.nextOffset > nextOffset || carriedChanges !== known.carriedChanges;
        const { complete, records } = isBehind ?
            selectUnknown(known, position.known) :
            { complete: false, records: [] };
        if (records.length === 0 && !isHeartbeat) {
            return undefined;
        }
        return create(RecordBatchSchema, {
            topic,
            era: BigInt(known.era),
            nextOffset: BigInt(known.nextOffset),
            complete,
            ageMilliseconds: toWholeMilliseconds(now - known.currentAt),
            records: records.map(({ era: recordEra, key, offset, order, value }) =>
                create(RelayedKeyedRecordSchema, {
                    key,
                    era: BigInt(recordEra),
                    order: [...order ?? []],
                    offset: BigInt(offset),
                    dropped: value === undefined,
                    ...(value === undefined ? {} : { value }),
                })
            ),
        });
    }

    function sendNews(follower: Follower): void {
        const now = clock.monotonic();
        const [firstTopic] = follower.positions.keys();
        for (const [topic, position] of follower.positions) {
            if (follower.blocked) {
                return;
            }
            // The first message about a topic tells the follower that this process knows no more of it.
            const isHeartbeat = position.sentAt === -Infinity ||
                (topic === firstTopic && now - position.sentAt >= options.relayHeartbeat);
            const batch = createBatch(topic, position, now, isHeartbeat);
            if (batch === undefined) {
                continue;
            }
            position.known = advance(position.known, {
                era: Number(batch.era),
                nextOffset: Number(batch.nextOffset),
                carriedChanges: store.topic(topic).carriedChanges,
            });
            position.sentAt = now;
            if (!follower.call.write(batch)) {
                follower.blocked = true;
                follower.call.once("drain", () => {
                    follower.blocked = false;
                });
            }
        }
    }

    function applyPositions(follower: Follower, request: FollowRecordsRequest): void {
        for (const { era, nextOffset, topic } of request.positions) {
            const known = store.topics.find(name => name === topic);
            if (known === undefined) {
                continue;
            }
            const position = follower.positions.get(known);
            const stated = {
                era: Number(era),
                nextOffset: Number(nextOffset),
                carriedChanges: position?.known.carriedChanges,
            };
            if (position === undefined) {
                follower.positions.set(known, { known: stated, sentAt: -Infinity });
            }
            else {
                position.known = advance(position.known, stated);
            }
        }
    }

    const timer = setInterval(() => followers.forEach(sendNews), options.relayHeartbeat);
    let changeTimer: NodeJS.Timeout | undefined;
    store.onChange(() => {
        changeTimer ??= setTimeout(() => {
            changeTimer = undefined;
            followers.forEach(sendNews);
        }, options.relayDelay);
    });

    return {
        countFollowers: () => followers.size,
        followRecords: call => {
            const follower: Follower = { call, positions: new Map(), blocked: false };
            followers.add(follower);
            const forget = (): void => void followers.delete(follower);
            call.on("data", (request: FollowRecordsRequest) => {
                const isFirst = follower.positions.size === 0;
                applyPositions(follower, request);
                if (isFirst) {
                    sendNews(follower);
                }
            });
            call.on("end", () => {
                forget();
                call.end();
            });
            call.on("error", forget);
            call.on("cancelled", forget);
        },
        [Symbol.dispose]: () => {
            clearInterval(timer);
            clearTimeout(changeTimer);
            for (const { call } of followers) {
                call.end();
            }
            followers.clear();
        },
    };
}
