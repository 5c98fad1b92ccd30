import { request } from "undici";
import type { InstanceId } from "../src/types/index.js";
import type { Cluster, ClusterRunner } from "./cluster/index.js";
import { sendJsonRequest } from "./cluster/index.js";

/** Bytes of weights transferred since the start of the cluster. */
export interface TransferTotals {
    /** Bytes sent by the origin, as counted by the platform. */
    readonly originBytes: number;
    /** Sum of the bytes received and sent, for each agent. */
    readonly linkBytes: ReadonlyMap<InstanceId, number>;
}

/** Transfers between two readings, in multiples of the size of the weight set. */
export interface TransferFigures {
    readonly originCopies: number;
    /** Mean over the links, which counts bytes in both directions. */
    readonly meanLinkCopies: number;
    readonly maximumLinkCopies: number;
}

/** Reads how much a cluster has transferred. */
export interface TransferMeter {
    /** @returns the current totals */
    read(): Promise<TransferTotals>;
    /**
     * Saves the byte counts of an agent before its process ends, because a restarted agent counts from zero again.
     *
     * @param runner - runner whose agent is about to be ended
     */
    keep(runner: ClusterRunner): Promise<void>;
}

const linkMetrics = ["origin_received_bytes", "peer_received_bytes", "peer_sent_bytes"];

/**
 * Creates a transfer meter.
 *
 * @param cluster - the cluster
 * @returns the meter
 */
export function createTransferMeter(cluster: Cluster): TransferMeter {
    const modelRunners = cluster.runners.filter(({ kind }) => kind === "model");
    const bytesBeforeRestart = new Map<InstanceId, number>();
    return {
        read: async () => {
            const statistics = await sendJsonRequest("GET", `${cluster.platformUrl}/control/statistics`);
            const links = await Promise.all(modelRunners.map(async runner =>
                [
                    runner.instance,
                    await readLinkBytes(runner) + (bytesBeforeRestart.get(runner.instance) ?? 0),
                ] as const
            ));
            return {
                originBytes: (statistics.body as { originBytes: number; }).originBytes,
                linkBytes: new Map(links),
            };
        },
        keep: async runner => {
            bytesBeforeRestart.set(
                runner.instance,
                (bytesBeforeRestart.get(runner.instance) ?? 0) + await readLinkBytes(runner),
            );
        },
    };
}

/**
 * Computes the transfers between two readings. Links without any transfer are left out of the mean.
 *
 * @param before - first reading
 * @param after - second reading
 * @param copyBytes - size of the weight set in bytes
 * @returns the transfers in multiples of that size
 */
export function compareTotals(before: TransferTotals, after: TransferTotals, copyBytes: number): TransferFigures {
    const copies = [...after.linkBytes]
        .map(([instance, bytes]) => (bytes - (before.linkBytes.get(instance) ?? 0)) / copyBytes)
        .filter(count => count > 0);
    return {
        originCopies: (after.originBytes - before.originBytes) / copyBytes,
        meanLinkCopies: copies.reduce((sum, count) => sum + count, 0) / Math.max(1, copies.length),
        maximumLinkCopies: Math.max(0, ...copies),
    };
}

async function readLinkBytes({ agentUrl, instance }: ClusterRunner): Promise<number> {
    const response = await request(`${agentUrl}/metrics`);
    const text = await response.body.text();
    return linkMetrics
        .map(name => {
            const found = new RegExp(`^goldcrestpoint_${name}(?:\\{[^}]*\\})? (\\S+)$`, "m").exec(text);
            if (found?.[1] === undefined) {
                throw new Error(`${instance}: /metrics has no goldcrestpoint_${name}`);
            }
            return Number(found[1]);
        })
        .reduce((sum, bytes) => sum + bytes, 0);
}
