import type { ProcessSettings } from "../../demo/cluster/index.js";
import { waitUntil } from "../../demo/cluster/index.js";
import { sleep } from "../../src/utils/index.js";
import { budgets } from "./designSize.js";
import { createConfigurationRecord } from "./followers.js";
import { type CapacityFigure, computeQuantile } from "./measurement.js";
import { appendRecord, type MeasuredNode, readMetric, registerInstance, startNode, startPlatform } from "./nodes.js";

const entryCount = 12;
const agentCount = 44;
const concurrentStarts = 6;
const changeCount = 15;
const zones = ["zone-a", "zone-b", "zone-c"];
const followedRelays = [1, 3, 5];

/**
 * Measures the time from the append of a configuration until each of 56 processes has applied it.
 *
 * @returns figures for each number of followed relays
 */
export async function measureInForce(): Promise<CapacityFigure[]> {
    const figures: CapacityFigure[] = [];
    for (const parents of followedRelays) {
        figures.push(...await measureWithParents(parents));
    }
    return figures;
}

async function measureWithParents(parents: number): Promise<CapacityFigure[]> {
    await using platform = await startPlatform();
    await using nodes = await startFleet(platform, { GOLDCRESTPOINT_RELAY_PARENTS: String(parents) });
    const allDelays: number[] = [];
    const slowestDelays: number[] = [];
    let base = 0;
    let unfinished = 0;
    for (let change = 0; change < changeCount; change++) {
        const appendedAt = Date.now() / 1_000;
        base = await appendRecord(platform.url, createConfigurationRecord("in-force", base));
        unfinished += await waitUntilApplied(nodes.list, base) ? 0 : 1;
        const changedAt = await Promise.all(nodes.list.map(node => readMetric(node, "state_changed_seconds")));
        const delays = changedAt.map(time => time - appendedAt);
        allDelays.push(...delays);
        slowestDelays.push(Math.max(...delays));
    }
    const name = `in force on ${nodes.list.length} processes, ${parents} followed relays`;
    return [
        { name: `${name}, p50 of a process`, value: computeQuantile(allDelays, 0.5), unit: "s" },
        { name: `${name}, p95 of a process`, value: computeQuantile(allDelays, 0.95), unit: "s" },
        {
            name: `${name}, slowest process`,
            value: Math.max(...slowestDelays),
            unit: "s",
            budget: budgets.inForceSeconds,
        },
        { name: `${name}, changes not everywhere within 30 s`, value: unfinished, unit: "changes", budget: 0 },
    ];
}

async function waitUntilApplied(nodes: readonly MeasuredNode[], offset: number): Promise<boolean> {
    try {
        await waitUntil("the record is applied", 30_000, async () => {
            await sleep(500);
            const offsets = await Promise.all(nodes.map(node => readMetric(node, "applied_offset")));
            return offsets.every(applied => applied >= offset);
        });
        return true;
    }
    catch {
        return false;
    }
}

async function startFleet(
    platform: MeasuredNode,
    settings: ProcessSettings,
): Promise<AsyncDisposable & { readonly list: readonly MeasuredNode[]; }> {
    const plan = [...Array(entryCount + agentCount).keys()].map(index => ({
        role: index < entryCount ? "entry" as const : "agent" as const,
        instance: `node-${index}`,
        zone: zones[index % zones.length]!,
    }));
    const list: MeasuredNode[] = [];
    for (let first = 0; first < plan.length; first += concurrentStarts) {
        list.push(
            ...await Promise.all(
                plan.slice(first, first + concurrentStarts).map(async ({ instance, role, zone }) => {
                    const zoneSettings = { ...settings, GOLDCRESTPOINT_INSTANCE_ZONE: zone };
                    const node = await startNode(role, instance, platform.url, zoneSettings);
                    const listedRole = role === "entry" ? "entry" : "backend-server";
                    await registerInstance(platform.url, instance, listedRole, node.grpcPort, zone);
                    return node;
                }),
            ),
        );
    }
    const offset = await appendRecord(platform.url, createConfigurationRecord("first", 0));
    await waitUntilApplied(list, offset);
    await sleep(5_000);
    return { list, [Symbol.asyncDispose]: async () => void await Promise.all(list.map(stop)) };
}

function stop(node: MeasuredNode): PromiseLike<void> {
    return node[Symbol.asyncDispose]();
}
