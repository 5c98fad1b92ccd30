import { create } from "@bufbuild/protobuf";
import { randomUUID } from "node:crypto";
import {
    CopyStatusSchema,
    type LoadReport,
    LoadReportSchema,
    WatchLoadRequestSchema,
} from "../../src/generated/goldcrestpoint_pb.js";
import type { WatchLoadCall } from "../../src/node/agent/loadReports.js";
import { agentServiceDefinition, createAgentClient, startRpcServer } from "../../src/node/grpc/index.js";
import { findFreePorts } from "../../src/standIn/index.js";
import { sleep } from "../../src/utils/index.js";
import { startCountingForwarder } from "./countingForwarder.js";
import { type CapacityFigure, fitLine } from "./measurement.js";
import { appendRecord, registerInstance, startNode, startPlatform } from "./nodes.js";
import { sampleUsage } from "./sampling.js";

const runnerCount = 32;
const reportRates = [1, 5, 20];
const watcherCounts = [0, 8, 32];
const watchedHeartbeatsPerSecond = 10;
const sampleMilliseconds = 6_000;

/** Creates a load report whose prefixes are as long as those that entry instances compute. */
function createReport(instance: string, prefixes: number): LoadReport {
    return create(LoadReportSchema, {
        instance,
        incarnation: "0190aaaa-bbbb-7ccc-8ddd-eeeeeeeeeeee",
        copies: [create(CopyStatusSchema, {
            deployment: "measured",
            epoch: 12_345n,
            version: "7",
            manifestDigest: "d".repeat(64),
            phase: "serving",
            chunksComplete: 640,
            chunksTotal: 640,
        })],
        running: 3,
        queued: 1,
        capacity: 8,
        cachedPrefixes: [...Array(prefixes).keys()].map(index => String(index).padStart(16, "0")),
    });
}

/**
 * Measures load reports at the entry instance that receives them and at the agent that sends them.
 *
 * @returns bytes and processor time for each report
 */
export async function measureLoadReports(): Promise<CapacityFigure[]> {
    return [
        ...await measureReceiver(0),
        ...await measureReceiver(32),
        ...await measureSender(),
    ];
}

async function measureReceiver(prefixes: number): Promise<CapacityFigure[]> {
    await using platform = await startPlatform();
    const calls = new Set<WatchLoadCall>();
    const rpc = await startRpcServer("127.0.0.1:0", [{
        definition: agentServiceDefinition,
        implementation: {
            watchLoad: (call: WatchLoadCall) => {
                calls.add(call);
                call.on("cancelled", () => calls.delete(call));
            },
        },
    }]);
    if (rpc.isErr) {
        throw new Error(rpc.error.message);
    }
    await using server = rpc.value;
    const [port] = await findFreePorts(1);
    await using forwarder = await startCountingForwarder(port!, server.port);
    await using entry = await startNode("entry", "entry-0", platform.url);
    await registerInstance(platform.url, "entry-0", "entry", entry.grpcPort);
    const instances = [...Array(runnerCount).keys()].map(index => `runner-${index}`);
    for (const instance of instances) {
        await registerInstance(platform.url, instance, "backend-server", port!);
    }
    // A placement without a configuration is never changed by the proposer.
    await appendRecord(platform.url, createPlacementRecord(instances));
    const cores: [number, number][] = [];
    const bytes: [number, number][] = [];
    for (const rate of reportRates) {
        const report = createReport("runner-0", prefixes);
        const timer = setInterval(() => calls.forEach(call => call.write(report)), 1_000 / rate);
        await sleep(3_000);
        const sample = await sampleUsage(entry, forwarder, sampleMilliseconds);
        clearInterval(timer);
        cores.push([rate * calls.size, sample.cores]);
        bytes.push([rate * calls.size, sample.bytesPerSecond]);
    }
    calls.forEach(call => call.end());
    const name = `load report with ${prefixes} prefixes`;
    return [
        { name: `${name}, streams`, value: calls.size, unit: "streams" },
        { name: `${name}, on the wire`, value: fitLine(bytes).slope, unit: "bytes" },
        { name: `${name}, processor of the receiver`, value: fitLine(cores).slope * 1_000_000, unit: "us" },
    ];
}

function createPlacementRecord(instances: readonly string[]): object {
    return {
        id: randomUUID(),
        kind: "placement",
        deployment: "measured",
        base: 0,
        writtenAt: new Date().toISOString(),
        writer: "capacity",
        configurationOffset: 0,
        copies: instances.map(instance => ({ instance, zone: "zone-a", epoch: 0, state: "assigned", witnesses: [] })),
        owners: [],
    };
}

async function measureSender(): Promise<CapacityFigure[]> {
    await using platform = await startPlatform();
    await using agent = await startNode("agent", "agent-0", platform.url, {
        GOLDCRESTPOINT_RELAY_HEARTBEAT_MILLISECONDS: String(1_000 / watchedHeartbeatsPerSecond),
    });
    const [port] = await findFreePorts(1);
    await using forwarder = await startCountingForwarder(port!, agent.grpcPort);
    const cores: [number, number][] = [];
    for (const count of watcherCounts) {
        const clients = [...Array(count).keys()].map(index => {
            const client = createAgentClient(forwarder.address);
            const stream = client.watchLoad(create(WatchLoadRequestSchema, { instance: `entry-${index}` }));
            stream.on("data", () => undefined);
            stream.on("error", () => undefined);
            return { client, stream };
        });
        await sleep(2_000);
        const sample = await sampleUsage(agent, forwarder, sampleMilliseconds);
        cores.push([count * watchedHeartbeatsPerSecond, sample.cores]);
        clients.forEach(({ client, stream }) => {
            stream.cancel();
            client.close();
        });
    }
    return [
        { name: "load report, processor of the sender", value: fitLine(cores).slope * 1_000_000, unit: "us" },
        { name: "agent without watchers, processor", value: cores[0]![1] * 100, unit: "% of a core" },
    ];
}
