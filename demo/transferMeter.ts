import { request } from "undici";
import type { InstanceId } from "../src/types/index.js";
import type { Cluster, ClusterRunner } from "./cluster/index.js";
import { sendJsonRequest } from "./cluster/index.js";

/** Bytes of weights since the start of the cluster. */
export interface TransferTotals {
    /** Bytes that the origin sent, as the platform counts them. */
    readonly originBytes: number;
    /** Bytes of each agent, received and sent together. */
    readonly linkBytes: ReadonlyMap<InstanceId, number>;
}

/** Transfers between two readings, in copies of the weight set. */
export interface TransferFigures {
    readonly originCopies: number;
    readonly meanLinkCopies: number;
    readonly maximumLinkCopies: number;
}

/** Reads the transfer figures of a cluster. */
export interface TransferMeter {
    /** @returns the totals at this moment */
    read(): Promise<TransferTotals>;
    /**
     * Keeps what an agent has counted, since its counters begin at zero after its restart.
     *
     * @param runner - runner whose agent is about to end
     */
    keep(runner: ClusterRunner): Promise<void>;
}

const linkMetrics = ["origin_received_bytes", "peer_received_bytes", "peer_sent_bytes"];

/**
 * Creates a meter.
 *
 * @param cluster - the cluster
 * @returns the meter
 */
export function createTransferMeter(cluster: Cluster): TransferMeter {
    const models = cluster.runners.filter(({ kind }) => kind === "model");
    const kept = new Map<InstanceId, number>();
    return {
        read: async () => {
            const statistics = await sendJsonRequest("GET", `${cluster.platformUrl}/control/statistics`);
            const links = await Promise.all(models.map(async runner =>
                [
                    runner.instance,
                    await readLinkBytes(runner) + (kept.get(runner.instance) ?? 0),
                ] as const
            ));
            return {
                originBytes: (statistics.body as { originBytes: number; }).originBytes,
                linkBytes: new Map(links),
            };
        },
        keep: async runner => {
            kept.set(runner.instance, (kept.get(runner.instance) ?? 0) + await readLinkBytes(runner));
        },
    };
}

/**
 * Expresses the transfers between two readings in copies. Links without any transfer do not count in the mean.
 *
 * @param before - first reading
 * @param after - second reading
 * @param copyBytes - size of the weight set
 * @returns the figures
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
    const answer = await request(`${agentUrl}/metrics`);
    const text = await answer.body.text();
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
