import { create } from "@bufbuild/protobuf";
import { randomUUID } from "node:crypto";
import { CopyStatusSchema, FollowRequestSchema } from "../../src/generated/goldcrestpoint_pb.js";
import { createRelayClient } from "../../src/node/grpc/index.js";
import { findFreePorts } from "../../src/standIn/index.js";
import { sleep } from "../../src/utils/index.js";
import { type CountingForwarder, startCountingForwarder } from "./countingForwarder.js";
import { type CapacityFigure, fitLine } from "./measurement.js";
import { appendRecord, type MeasuredNode, registerInstance, startNode, startPlatform } from "./nodes.js";
import { sampleUsage } from "./sampling.js";

const followerCount = 30;
const heartbeatRates = [1, 5, 20];
const recordFollowers = [0, 10, 30];
const appendsPerSecond = 50;
const sampleMilliseconds = 6_000;
/** Lets a process that has just started compile its code, since that takes processor time that is not used later. */
const warmUpMilliseconds = 8_000;

/** Streams of simulated agents, which run in this process. */
interface SimulatedFollowers extends Disposable {
    /** Sets the rate of the heartbeats on every stream; 0 stops them. */
    setRate(heartbeatsPerSecond: number): void;
}

function openFollowers(address: string, count: number): SimulatedFollowers {
    let timer: NodeJS.Timeout | undefined;
    let heartbeat = 0n;
    const rows = [...Array(count).keys()].map(index => {
        const client = createRelayClient(address);
        const stream = client.follow();
        stream.on("data", () => undefined);
        stream.on("error", () => undefined);
        return { client, stream, instance: `agent-${index}` };
    });

    function sendHeartbeats(): void {
        heartbeat += 1n;
        for (const { stream, instance } of rows) {
            stream.write(create(FollowRequestSchema, {
                instance,
                incarnation: "0190aaaa-bbbb-7ccc-8ddd-eeeeeeeeeeee",
                appliedOffset: 0n,
                copies: [create(CopyStatusSchema, {
                    deployment: "goldcrest-llm",
                    epoch: 12_345n,
                    version: "7",
                    manifestDigest: "d".repeat(64),
                    phase: "serving",
                    chunksComplete: 640,
                    chunksTotal: 640,
                })],
                heartbeat,
                uptimeMilliseconds: 1_000_000n,
            }));
        }
    }

    return {
        setRate: rate => {
            clearInterval(timer);
            timer = rate === 0 ? undefined : setInterval(sendHeartbeats, 1_000 / rate);
        },
        [Symbol.dispose]: () => {
            clearInterval(timer);
            rows.forEach(({ client, stream }) => {
                stream.cancel();
                client.close();
            });
        },
    };
}

/**
 * Measures an entry instance as a relay, with heartbeats at several rates and with records to several followers.
 *
 * @returns bytes and processor time for each heartbeat and for each record that is relayed
 */
export async function measureFollowers(): Promise<CapacityFigure[]> {
    await using platform = await startPlatform();
    await using entry = await startNode("entry", "entry-0", platform.url);
    await registerInstance(platform.url, "entry-0", "entry", entry.grpcPort);
    const [port] = await findFreePorts(1);
    await using forwarder = await startCountingForwarder(port!, entry.grpcPort);
    return [
        ...await measureHeartbeats(entry, forwarder),
        ...await measureRecords(platform, entry, forwarder),
    ];
}

async function measureHeartbeats(entry: MeasuredNode, forwarder: CountingForwarder): Promise<CapacityFigure[]> {
    using followers = openFollowers(forwarder.address, followerCount);
    const cores: [number, number][] = [];
    const bytes: [number, number][] = [];
    await sleep(warmUpMilliseconds);
    for (const rate of heartbeatRates) {
        followers.setRate(rate);
        await sleep(2_000);
        const sample = await sampleUsage(entry, forwarder, sampleMilliseconds);
        cores.push([rate * followerCount, sample.cores]);
        bytes.push([rate * followerCount, sample.bytesPerSecond]);
    }
    return [
        ...cores.map(([rate, value]) => ({
            name: `entry instance, processor at ${rate} heartbeats/s of ${followerCount} followers`,
            value: value * 100,
            unit: "% of a core",
        })),
        { name: "relay, heartbeat with its answer", value: fitLine(bytes).slope, unit: "bytes" },
        { name: "relay, processor for each heartbeat", value: fitLine(cores).slope * 1_000_000, unit: "us" },
        {
            name: "entry instance, processor without heartbeats",
            value: fitLine(cores).intercept * 100,
            unit: "% of a core",
        },
    ];
}

async function measureRecords(
    platform: MeasuredNode,
    entry: MeasuredNode,
    forwarder: CountingForwarder,
): Promise<CapacityFigure[]> {
    const cores: [number, number][] = [];
    const bytes: [number, number][] = [];
    let appended = 0;
    let base = 0;
    let recordBytes = 0;
    for (const count of recordFollowers) {
        using followers = openFollowers(forwarder.address, count);
        followers.setRate(1);
        await sleep(2_500);
        followers.setRate(0);
        const before = appended;
        const startedAt = performance.now();
        const sampling = sampleUsage(entry, forwarder, sampleMilliseconds);
        for (let next = 0; next < appendsPerSecond * sampleMilliseconds / 1_000; next++) {
            const record = createConfigurationRecord("measured", base);
            recordBytes = JSON.stringify(record).length;
            base = await appendRecord(platform.url, record);
            appended += 1;
            await sleep(Math.max(0, startedAt + (next + 1) * 1_000 / appendsPerSecond - performance.now()));
        }
        const sample = await sampling;
        const rate = (appended - before) / (sampleMilliseconds / 1_000);
        cores.push([count, sample.cores / rate]);
        bytes.push([count, sample.bytesPerSecond / rate]);
    }
    return [
        { name: "configuration record, JSON", value: recordBytes, unit: "bytes" },
        { name: "relay, record to one follower", value: fitLine(bytes).slope, unit: "bytes" },
        { name: "relay, processor for each record and follower", value: fitLine(cores).slope * 1_000_000, unit: "us" },
        { name: "log reader, processor for each record", value: fitLine(cores).intercept * 1_000_000, unit: "us" },
    ];
}

/**
 * Creates a configuration record that declares a service without copies; it is relayed but has no other effect.
 *
 * @param deployment - name of the deployment
 * @param base - offset of the preceding record of the chain; 0 for none
 * @returns the record
 */
export function createConfigurationRecord(deployment: string, base: number): object {
    return {
        id: randomUUID(),
        kind: "configuration",
        deployment,
        base,
        writtenAt: new Date().toISOString(),
        writer: "capacity",
        declaration: { schemaVersion: 1, kind: "service", replicas: {}, pool: "none" },
    };
}
