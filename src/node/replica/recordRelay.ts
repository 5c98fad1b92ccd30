import { create } from "@bufbuild/protobuf";
import type { ServerDuplexStream } from "@grpc/grpc-js";
import {
    type FollowRecordsRequest,
    type RecordBatch,
    RecordBatchSchema,
    RelayedKeyedRecordSchema,
} from "../../generated/goldcrestpoint_pb.js";
import {
    datedTopics,
    type KnownRecord,
    mayWriteBatch,
    type ReplicaPosition,
    type ReplicaTopic,
    selectUnknown,
} from "../../runtime/replica/index.js";
import type { Clock, KeyedRecord, KeyedTopic, Milliseconds } from "../../types/index.js";
import type { RecordStore } from "./recordStore.js";
import type { StallMonitor } from "./stallMonitor.js";
import { createValueCompressor, largeValueBytes } from "./valueCompression.js";

/** Options of {@link createRecordRelay}. */
export interface RecordRelayOptions {
    /**
     * Delay before a change is relayed. A follower that reads the log itself reports its position within this time, so
     * that it is not sent records that it already has.
     */
    readonly relayDelay: Milliseconds;
    /**
     * Longest time without a message to a process. A heartbeat tells it how current the relay's records of the list of
     * backend servers are, or of its first topic if there is no list.
     */
    readonly relayHeartbeat: Milliseconds;
    /**
     * Delay before large records are relayed to followers that also read their topic from the log. Several relays would
     * otherwise send a configuration of many routes while a slow link still carries the follower's own read of it.
     */
    readonly largeRecordDelay: Milliseconds;
    /** Bytes of large batches that the connections of all followers together may not have taken yet. Default: 16 MiB. */
    readonly maximumUnsentBytes?: number | undefined;
}

/** Dependencies of {@link createRecordRelay}. */
export interface RecordRelayInput {
    readonly store: RecordStore;
    readonly clock: Clock;
    readonly stalls: StallMonitor;
    readonly options: RecordRelayOptions;
}

/** Relays keyed records to other processes. */
export interface RecordRelay extends Disposable {
    /** Handler for the gRPC server. */
    readonly followRecords: (call: ServerDuplexStream<FollowRecordsRequest, RecordBatch>) => void;
    /** Counts the processes that follow this one. */
    readonly countFollowers: () => number;
    /** Counts the bytes of records in messages that the connections of followers have not taken yet. */
    readonly countUnsentBytes: () => number;
}

const defaultMaximumUnsentBytes = 16_777_216;

/** Position of a follower in one topic. */
interface FollowerPosition {
    /** Position that the follower has reported, or has reached with the records that were sent to it. */
    known: ReplicaPosition;
    /** Monotonic time of the newest message about the topic; `-Infinity` before the first. */
    sentAt: Milliseconds;
    /** True if the follower also reads the topic from the log. */
    readonly readsLog: boolean;
}

interface Follower {
    readonly call: ServerDuplexStream<FollowRecordsRequest, RecordBatch>;
    readonly positions: Map<KeyedTopic, FollowerPosition>;
    acceptsCompressed: boolean;
    /** True from the time at which the stream's write buffer is full until it has drained. */
    blocked: boolean;
    /** Bytes of records in messages that its connection has not taken yet. */
    unsentBytes: number;
    /** Monotonic time of the newest message, or of the start of the stream before the first. */
    writtenAt: Milliseconds;
}

/** Advances a position. A report may cross with a batch that is already sent, so a position never moves back. */
function advancePosition(known: ReplicaPosition, next: ReplicaPosition): ReplicaPosition {
    if (next.era !== known.era) {
        return next.era > known.era ? next : known;
    }
    return { ...next, nextOffset: Math.max(known.nextOffset, next.nextOffset) };
}

/**
 * Age up to which the records of a dated topic are sent to a new follower although it knows them, since it may have read
 * them at its start, without their date.
 */
const recentAge: Milliseconds = 60_000;

/** Counts the bytes of keys and values. */
function measureRecords(records: readonly Pick<KeyedRecord, "key" | "value">[]): number {
    return records.reduce((sum, { key, value }) => sum + key.length + (value?.byteLength ?? 0), 0);
}

/** Converts an age to whole milliseconds, as messages state it. */
function toWholeMilliseconds(duration: Milliseconds): bigint {
    return BigInt(Math.max(0, Math.round(duration)));
}

/**
 * Creates the relay that sends the records of a process to its followers.
 *
 * @param input - records, clock and intervals
 * @returns the relay; disposing of it ends the streams
 */
export function createRecordRelay({ clock, options, stalls, store }: RecordRelayInput): RecordRelay {
    const followers = new Set<Follower>();
    const compress = createValueCompressor();
    /** Monotonic time at which this process learned of each large value. */
    const learnedAt = new WeakMap<Uint8Array, Milliseconds>();
    const hasList = store.topics.includes("backend-servers");
    const maximumUnsentBytes = options.maximumUnsentBytes ?? defaultMaximumUnsentBytes;
    /** True if a batch waits until followers have received earlier ones. */
    let isWaiting = false;
    let changeTimer: NodeJS.Timeout | undefined;

    function selectRecent({ records }: ReplicaTopic): readonly KnownRecord[] {
        return [...records.values()].filter(({ writtenAfter }) =>
            writtenAfter !== undefined && stalls.measureSince(writtenAfter) <= recentAge
        );
    }

    function isLarge({ value }: KeyedRecord): boolean {
        return value !== undefined && value.byteLength >= largeValueBytes;
    }

    /** Tells whether a record is held back, since the follower is expected to read it from the log. */
    function isHeldBack(record: KeyedRecord, { readsLog, sentAt }: FollowerPosition): boolean {
        if (!readsLog || sentAt === -Infinity || !isLarge(record)) {
            return false;
        }
        return clock.monotonic() < (learnedAt.get(record.value!) ?? -Infinity) + options.largeRecordDelay;
    }

    function encodeValue(record: KeyedRecord, acceptsCompressed: boolean) {
        const { value } = record;
        if (value === undefined) {
            return {};
        }
        return acceptsCompressed && isLarge(record) ? { value: compress(value), compressed: true } : { value };
    }

    function countUnsentBytes(): number {
        return [...followers].reduce((sum, { unsentBytes }) => sum + unsentBytes, 0);
    }

    /** Tells whether records have to wait until followers have received what was written to them. */
    function mustWait(records: readonly KeyedRecord[], follower: Follower): boolean {
        const unsent = { follower: follower.unsentBytes, total: countUnsentBytes() };
        const waits = records.length > 0 && !mayWriteBatch(measureRecords(records), unsent, maximumUnsentBytes);
        if (waits) {
            isWaiting = true;
            keepAlive(follower);
        }
        return waits;
    }

    /**
     * Writes a message that names no topic to a follower that waits for the others. It would otherwise take the relay for
     * silent and connect to another one, where it waits again.
     */
    function keepAlive(follower: Follower): void {
        if (follower.unsentBytes === 0 && clock.monotonic() - follower.writtenAt >= options.relayHeartbeat) {
            writeBatch(follower, create(RecordBatchSchema, {}));
        }
    }

    function createBatch(
        topic: KeyedTopic,
        position: FollowerPosition,
        isHeartbeat: boolean,
        follower: Follower,
    ): RecordBatch | undefined {
        const known = store.topic(topic);
        if (known.currentAt === undefined) {
            return undefined;
        }
        const { carriedChanges, era, nextOffset } = position.known;
        const isBehind = era !== known.era || known.nextOffset > nextOffset || carriedChanges !== known.carriedChanges;
        const { complete, records: unknown } = isBehind ?
            selectUnknown(known, position.known) :
            { complete: false, records: [] };
        const isFirst = position.sentAt === -Infinity;
        const recent = isFirst && datedTopics.has(topic) && era === known.era ? selectRecent(known) : [];
        const records = [...recent.filter(record => !unknown.includes(record)), ...unknown];
        if (records.length === 0 && !isHeartbeat) {
            return undefined;
        }
        if (records.some(record => isHeldBack(record, position)) || mustWait(records, follower)) {
            return undefined;
        }
        return create(RecordBatchSchema, {
            topic,
            era: BigInt(known.era),
            nextOffset: BigInt(known.nextOffset),
            complete,
            ageMilliseconds: toWholeMilliseconds(stalls.measureSince(known.currentAt)),
            reader: store.findReader(topic) ?? "",
            records: records.map(record => {
                const { era: recordEra, key, offset, order, value, writtenAfter } = record;
                return create(RelayedKeyedRecordSchema, {
                    key,
                    era: BigInt(recordEra),
                    order: [...order ?? []],
                    offset: BigInt(offset),
                    dropped: value === undefined,
                    ...encodeValue(record, follower.acceptsCompressed),
                    ...(writtenAfter === undefined || !datedTopics.has(topic) ?
                        {} :
                        { maximumAgeMilliseconds: toWholeMilliseconds(stalls.measureSince(writtenAfter)) }),
                });
            }),
        });
    }

    function sendUpdates(follower: Follower): void {
        const now = clock.monotonic();
        const heartbeatTopic = hasList ? "backend-servers" : [...follower.positions.keys()][0];
        for (const [topic, position] of follower.positions) {
            if (follower.blocked) {
                return;
            }
            // The first message about a topic is sent even without records, as it tells the follower that there are no
            // newer ones.
            const isHeartbeat = position.sentAt === -Infinity ||
                (topic === heartbeatTopic && now - position.sentAt >= options.relayHeartbeat);
            const batch = createBatch(topic, position, isHeartbeat, follower);
            if (batch === undefined) {
                continue;
            }
            position.known = advancePosition(position.known, {
                era: Number(batch.era),
                nextOffset: Number(batch.nextOffset),
                carriedChanges: store.topic(topic).carriedChanges,
            });
            position.sentAt = now;
            if (!writeBatch(follower, batch)) {
                follower.blocked = true;
                follower.call.once("drain", () => {
                    follower.blocked = false;
                });
            }
        }
    }

    function sendAllUpdates(): void {
        isWaiting = false;
        followers.forEach(sendUpdates);
    }

    function scheduleUpdates(): void {
        changeTimer ??= setTimeout(() => {
            changeTimer = undefined;
            sendAllUpdates();
        }, options.relayDelay);
    }

    /** Writes a batch; returns false if the stream's write buffer is full. */
    function writeBatch(follower: Follower, batch: RecordBatch): boolean {
        const bytes = measureRecords(batch.records);
        follower.writtenAt = clock.monotonic();
        follower.unsentBytes += bytes;
        return follower.call.write(batch, () => {
            follower.unsentBytes -= bytes;
            if (isWaiting) {
                scheduleUpdates();
            }
        });
    }

    function applyPositions(follower: Follower, request: FollowRecordsRequest): void {
        follower.acceptsCompressed = request.acceptsCompressed;
        for (const { era, nextOffset, readsLog, topic } of request.positions) {
            const known = store.topics.find(name => name === topic);
            if (known === undefined) {
                continue;
            }
            const position = follower.positions.get(known);
            const reported = {
                era: Number(era),
                nextOffset: Number(nextOffset),
                carriedChanges: position?.known.carriedChanges,
            };
            if (position === undefined) {
                follower.positions.set(known, { known: reported, sentAt: -Infinity, readsLog });
            }
            else {
                position.known = advancePosition(position.known, reported);
            }
        }
    }

    const timer = setInterval(sendAllUpdates, options.relayHeartbeat);
    store.onChange((...[, records]) => {
        const now = clock.monotonic();
        records.filter(isLarge).forEach(({ value }) => learnedAt.set(value!, now));
        scheduleUpdates();
    });

    return {
        countFollowers: () => followers.size,
        countUnsentBytes,
        followRecords: call => {
            const follower: Follower = {
                call,
                positions: new Map(),
                acceptsCompressed: false,
                blocked: false,
                unsentBytes: 0,
                writtenAt: clock.monotonic(),
            };
            followers.add(follower);
            const removeFollower = (): void => void followers.delete(follower);
            call.on("data", (request: FollowRecordsRequest) => {
                const isFirst = follower.positions.size === 0;
                applyPositions(follower, request);
                if (isFirst) {
                    sendUpdates(follower);
                }
            });
            call.on("end", () => {
                removeFollower();
                call.end();
            });
            call.on("error", removeFollower);
            call.on("cancelled", removeFollower);
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
