import { create } from "@bufbuild/protobuf";
import type { ClientDuplexStream } from "@grpc/grpc-js";
import type { Logger } from "pino";
import {
    type FollowRecordsRequest,
    FollowRecordsRequestSchema,
    type RecordBatch,
    TopicPositionSchema,
} from "../../generated/goldcrestpoint_pb.js";
import { chooseRelay, datedTopics, type RelayFailure, topicLimits } from "../../runtime/replica/index.js";
import type { Clock, KeyedTopic, Milliseconds, RandomSource } from "../../types/index.js";
import { createReplicaClient, type ReplicaClient } from "../grpc/index.js";
import type { RecordStore } from "./recordStore.js";
import type { StallMonitor } from "./stallMonitor.js";
import { createValueDecompressor, isTooLargeToDecompress } from "./valueCompression.js";

/** Options of {@link createRelayFollowers}. */
export interface RelayFollowerOptions {
    /** Number of relays that are followed at the same time. */
    readonly parents: number;
    /** Time without a message after which a stream is closed; relays send heartbeats more often. */
    readonly silentAfter: Milliseconds;
    /** Mean delay before a relay whose stream ended is tried again. */
    readonly reconnectAfter: Milliseconds;
    /** Delay between a read of the log and the report of the new position; several reads share one report. */
    readonly positionInterval: Milliseconds;
}

/** Dependencies of {@link createRelayFollowers}. */
export interface RelayFollowerInput {
    readonly self: string;
    readonly store: RecordStore;
    readonly clock: Clock;
    /** Checked whenever streams are; see {@link streamCheckInterval}. */
    readonly stalls: StallMonitor;
    readonly random: RandomSource;
    readonly logger: Logger;
    /** `host:port` of the relays to choose from, most preferred first. */
    readonly listAddresses: () => readonly string[];
    /** Topics that this process also reads from the log as soon as they change. Default: none. */
    readonly logTopics?: ReadonlySet<KeyedTopic>;
    /** Called with the number of connected relays whenever the streams are checked. Default: nothing is called. */
    readonly onCheck?: ((connected: number) => void) | undefined;
    readonly options: RelayFollowerOptions;
}

/** Streams from the relays that a process follows. */
export interface RelayFollowers extends Disposable {
    /** Counts the relays that have sent a message on their open stream. */
    readonly countConnected: () => number;
}

interface Stream {
    readonly address: string;
    readonly client: ReplicaClient;
    /** Calls by the topics that each of them follows; see {@link splitTopics}. */
    readonly calls: ReadonlyMap<readonly KeyedTopic[], ClientDuplexStream<FollowRecordsRequest, RecordBatch>>;
    /** Monotonic time of the newest message; the start of the stream before the first. */
    heardAt: Milliseconds;
    readonly startedAt: Milliseconds;
    /** True once the relay has sent a message. */
    connected: boolean;
    /** Topics about which the relay has sent a message. */
    readonly topics: Set<KeyedTopic>;
}

/** Interval at which closed streams are replaced. */
const streamCheckInterval: Milliseconds = 200;

/**
 * Groups topics by the call that follows them. Messages of one call arrive in their order, so the operator's records, one
 * of which can be as large as the configuration, have a call of their own beside that of the list of backend servers.
 */
function splitTopics(topics: readonly KeyedTopic[]): readonly (readonly KeyedTopic[])[] {
    return topics.includes("operator") && topics.includes("backend-servers") ?
        [topics.filter(topic => topic !== "operator"), ["operator"]] :
        [topics];
}

/**
 * Follows relays and merges the records that they send.
 *
 * @param input - store, relays to choose from and options
 * @returns the streams; disposing of them closes the connections
 */
export function createRelayFollowers(input: RelayFollowerInput): RelayFollowers {
    const { clock, logger, options, random, stalls, store } = input;
    const streams = new Map<string, Stream>();
    const failures = new Map<string, RelayFailure>();
    const decompress = createValueDecompressor();
    const topicGroups = splitTopics(store.topics);
    /** Topics that were read from the log since the last report of the position. */
    const changedTopics = new Set<KeyedTopic>();
    let disconnectedSince: Milliseconds | undefined = clock.monotonic();
    let positionTimer: NodeJS.Timeout | undefined;

    function countConnected(): number {
        return [...streams.values()].filter(({ connected }) => connected).length;
    }

    /** Closes the remaining streams once enough relays have sent a message; the next choice starts from the first one. */
    function closeSurplusStreams(): void {
        const connected = [...streams.values()].filter(stream => stream.connected);
        if (connected.length >= options.parents) {
            const kept = new Set(connected.slice(0, options.parents));
            [...streams.values()].filter(stream => !kept.has(stream)).forEach(stream =>
                closeStream(stream, "not needed")
            );
            failures.clear();
        }
    }

    function createPositionsRequest(topics: readonly KeyedTopic[]): FollowRecordsRequest {
        return create(FollowRecordsRequestSchema, {
            instance: input.self,
            acceptsCompressed: true,
            positions: topics.map(topic =>
                create(TopicPositionSchema, {
                    topic,
                    nextOffset: BigInt(store.topic(topic).nextOffset),
                    era: BigInt(store.topic(topic).era),
                    readsLog: input.logTopics?.has(topic) ?? false,
                })
            ),
        });
    }

    function closeStream(stream: Stream, reason: string): void {
        if (streams.get(stream.address) !== stream) {
            return;
        }
        streams.delete(stream.address);
        const now = clock.monotonic();
        failures.set(stream.address, {
            failedAt: now,
            retryAt: now + options.reconnectAfter * (0.5 + random.next()),
        });
        stream.calls.forEach(call => call.cancel());
        stream.client.close();
        if (stream.connected) {
            logger.warn({ peer: stream.address, reason }, "relay lost");
        }
    }

    /**
     * Computes the time after which a relay has sent a batch. The first one about a topic answers the request that opened
     * the stream, and what waited during a stall must not count as new. Undated topics are only checked for being current,
     * which the next message confirms.
     */
    function computeSentAfter(stream: Stream, topic: KeyedTopic, now: Milliseconds): Milliseconds {
        if (!datedTopics.has(topic)) {
            return now;
        }
        return stream.topics.has(topic) ? stalls.computeSentAfter() : stream.startedAt;
    }

    /**
     * Decompresses the values of a batch, up to the limit of its topic; others are empty. Relays of earlier versions send
     * values that cannot be read, which may be many times as large when they are decompressed.
     *
     * @returns the values; undefined if one is damaged
     */
    function readValues({ records }: RecordBatch, topic: KeyedTopic): readonly Uint8Array[] | undefined {
        const { bytes, valueBytes } = topicLimits[topic];
        let left = bytes;
        try {
            return records.map(({ compressed, key, value }) => {
                const content = compressed ?
                    decompressWithin(`${topic} ${key}`, value, Math.max(1, Math.min(left, valueBytes))) :
                    value;
                left -= content.byteLength;
                return content;
            });
        }
        catch {
            return undefined;
        }
    }

    /** Decompresses a value; empty if it is larger than the limit. */
    function decompressWithin(key: string, compressed: Uint8Array, maximumBytes: number): Uint8Array {
        try {
            return decompress(key, compressed, maximumBytes);
        }
        catch (error) {
            if (isTooLargeToDecompress(error)) {
                return new Uint8Array(0);
            }
            throw error;
        }
    }

    function receive(stream: Stream, batch: RecordBatch): void {
        stream.heardAt = clock.monotonic();
        if (!stream.connected) {
            stream.connected = true;
            failures.delete(stream.address);
            logger.info({ peer: stream.address }, "relay followed");
        }
        const topic = store.topics.find(name => name === batch.topic);
        if (topic === undefined) {
            return;
        }
        const values = readValues(batch, topic);
        if (values === undefined) {
            // The relay sends all records again when the stream is opened the next time.
            closeStream(stream, `a record of ${topic} could not be decompressed`);
            return;
        }
        const now = clock.monotonic();
        const sentAfter = computeSentAfter(stream, topic, now);
        stream.topics.add(topic);
        store.receive({
            topic,
            source: "relay",
            peer: stream.address,
            reader: batch.reader,
            complete: batch.complete,
            age: now - sentAfter + Number(batch.ageMilliseconds),
            page: {
                era: Number(batch.era),
                nextOffset: Number(batch.nextOffset),
                records: batch.records.map(({ dropped, era, key, maximumAgeMilliseconds, offset, order }, index) => ({
                    key,
                    era: Number(era),
                    order: order.length === 0 ? undefined : order,
                    offset: Number(offset),
                    value: dropped ? undefined : values[index],
                    writtenAfter: maximumAgeMilliseconds === undefined ?
                        undefined :
                        sentAfter - Number(maximumAgeMilliseconds),
                })),
            },
        });
    }

    function follow(address: string): void {
        const client = createReplicaClient(address);
        const calls = new Map(topicGroups.map(topics => [topics, client.followRecords()]));
        const startedAt = clock.monotonic();
        const stream: Stream = {
            address,
            client,
            calls,
            startedAt,
            heardAt: startedAt,
            connected: false,
            topics: new Set(),
        };
        streams.set(address, stream);
        for (const [topics, call] of calls) {
            call.on("data", (batch: RecordBatch) => receive(stream, batch));
            call.on("error", error => closeStream(stream, error.message));
            call.on("end", () => closeStream(stream, "the relay ended the stream"));
            call.write(createPositionsRequest(topics));
        }
    }

    function sendPositions(): void {
        positionTimer = undefined;
        for (const topics of topicGroups.filter(group => group.some(topic => changedTopics.has(topic)))) {
            const positions = createPositionsRequest(topics);
            for (const { calls, connected } of streams.values()) {
                if (connected) {
                    calls.get(topics)!.write(positions);
                }
            }
        }
        changedTopics.clear();
    }

    function tick(): void {
        stalls.check();
        const now = clock.monotonic();
        for (const stream of [...streams.values()]) {
            if (now - stream.heardAt > options.silentAfter) {
                closeStream(stream, "no message");
            }
        }
        closeSurplusStreams();
        const addresses = input.listAddresses();
        for (const stream of [...streams.values()]) {
            if (!addresses.includes(stream.address)) {
                closeStream(stream, "no longer listed");
            }
        }
        for (const address of [...failures.keys()].filter(known => !addresses.includes(known))) {
            failures.delete(address);
        }
        const connected = countConnected();
        disconnectedSince = connected > 0 ? undefined : disconnectedSince ?? now;
        input.onCheck?.(connected);
        const choose = (): string | undefined =>
            chooseRelay({
                addresses,
                open: new Set(streams.keys()),
                connected,
                failures,
                disconnectedSince,
                now,
                options,
            });
        for (let address = choose(); address !== undefined; address = choose()) {
            follow(address);
        }
    }

    // Sends the position to the relays after records were read from the log, so that they skip these records. A relay
    // needs no position after its own records, since it knows what it sent.
    store.onChange((topic, ...[, { source }]) => {
        if (source === "log") {
            changedTopics.add(topic);
            positionTimer ??= setTimeout(sendPositions, options.positionInterval);
        }
    });
    const timer = setInterval(tick, streamCheckInterval);
    tick();
    return {
        countConnected,
        [Symbol.dispose]: () => {
            clearInterval(timer);
            clearTimeout(positionTimer);
            for (const stream of [...streams.values()]) {
                closeStream(stream, "the process ends");
            }
        },
    };
}
