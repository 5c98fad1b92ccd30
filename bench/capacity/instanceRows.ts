import { findFreePorts } from "../../src/standIn/index.js";
import { sleep } from "../../src/utils/index.js";
import { startCountingForwarder } from "./countingForwarder.js";
import { budgets, designSize } from "./designSize.js";
import { type CapacityFigure, fitLine } from "./measurement.js";
import { registerInstance, startNode, startPlatform } from "./nodes.js";
import { sampleUsage, type UsageSample } from "./sampling.js";

const sizes = [10, 100, 1_000, 3_200];
const concurrentRegistrations = 40;
/** Lets a process that has just started compile its code, since that takes processor time that is not used later. */
const settleMilliseconds = 8_000;
const sampleMilliseconds = 6_000;

/**
 * Measures an entry instance that reads the platform's instance list, with lists of several lengths.
 *
 * @returns figures of each sample, and figures at the design size from a line fitted to the samples
 */
export async function measureInstanceRows(): Promise<CapacityFigure[]> {
    await using platform = await startPlatform();
    const [port] = await findFreePorts(1);
    await using forwarder = await startCountingForwarder(port!, platform.grpcPort);
    await using entry = await startNode("entry", "entry-0", `http://${forwarder.address}`);
    await registerInstance(platform.url, "entry-0", "entry", entry.grpcPort);
    const samples: (readonly [number, UsageSample])[] = [];
    let registered = 0;
    for (const size of sizes) {
        while (registered < size) {
            const count = Math.min(concurrentRegistrations, size - registered);
            const first = registered;
            await Promise.all(
                [...Array(count).keys()].map(index =>
                    registerInstance(platform.url, `runner-${first + index}`, "backend-server", 1)
                ),
            );
            registered += count;
        }
        await sleep(settleMilliseconds);
        samples.push([size, await sampleUsage(entry, forwarder, sampleMilliseconds)]);
    }
    return [...samples.flatMap(([size, sample]) => listSampleFigures(size, sample)), ...listFittedFigures(samples)];
}

function listSampleFigures(rows: number, { bytesPerSecond, cores, resident }: UsageSample): CapacityFigure[] {
    const name = `entry instance with ${rows} instance rows`;
    return [
        { name: `${name}, list and log reads`, value: bytesPerSecond, unit: "bytes/s" },
        { name: `${name}, processor`, value: cores * 100, unit: "% of a core" },
        { name: `${name}, resident`, value: resident, unit: "bytes" },
    ];
}

function listFittedFigures(samples: readonly (readonly [number, UsageSample])[]): CapacityFigure[] {
    const total = designSize.runners + designSize.entries;
    const bytes = fitLine(samples.map(([size, { bytesPerSecond }]) => [size, bytesPerSecond]));
    const cores = fitLine(samples.map(([size, sample]) => [size, sample.cores * 100]));
    return [
        { name: "instance list, bytes/s for each row", value: bytes.slope, unit: "bytes/s" },
        { name: "instance list, processor for each row", value: cores.slope * 10_000, unit: "us/s" },
        { name: "entry instance, processor without rows", value: cores.intercept, unit: "% of a core" },
        {
            name: `calculated: instance list at ${total} rows`,
            value: bytes.intercept + bytes.slope * total,
            unit: "bytes/s",
            budget: budgets.controlBytesPerSecond,
        },
        {
            name: `calculated: entry instance with ${total} rows, processor`,
            value: cores.intercept + cores.slope * total,
            unit: "% of a core",
            budget: budgets.controlCores * 100,
        },
    ];
}
