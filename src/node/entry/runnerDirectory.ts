import { create } from "@bufbuild/protobuf";
import type { ClientReadableStream } from "@grpc/grpc-js";
import { type LoadReport, WatchLoadRequestSchema } from "../../generated/goldcrestpoint_pb.js";
import {
    applyLoadReport,
    type RunnerLoadReport,
    type RunnerSubset,
    selectSubset,
    type SubsetCandidate,
    updateSubset,
} from "../../runtime/routing/index.js";
import type { DeploymentName, InstanceId, Milliseconds, PlacementRow } from "../../types/index.js";
import { type AgentClient, createAgentClient } from "../grpc/index.js";
import type { EntryContext } from "./context.js";

/** Runners whose load reports this entry instance follows, and connections to their agents. */
export interface RunnerDirectory extends Disposable {
    /**
     * Finds the runners of a deployment.
     *
     * @param deployment - name of the deployment
     * @returns the subset that this entry instance follows; undefined if no placement is known
     */
    findSubset(deployment: DeploymentName): RunnerSubset | undefined;
    /**
     * Returns the client of an agent, and creates it if there is none.
     *
     * @param instance - the agent's instance
     * @returns the client; undefined if the instance is neither listed nor connected
     */
    connect(instance: InstanceId): AgentClient | undefined;
    /** Updates subsets, load report streams and connections to the current placements and instance list. */
    refresh(): void;
}

interface AgentConnection {
    readonly address: string;
    readonly client: AgentClient;
    stream: ClientReadableStream<LoadReport> | undefined;
    retryAt: Milliseconds;
}

/** Delay before a stream of load reports that ended is opened again. */
const streamReconnectDelay: Milliseconds = 500;

/**
 * Creates the directory of the runners that an entry instance follows.
 *
 * @param context - the entry instance
 * @returns the directory; `refresh` has to be called regularly
 */
export function createRunnerDirectory(context: EntryContext): RunnerDirectory {
    const { clock, instances, settings, store } = context;
    const subsets = new Map<DeploymentName, RunnerSubset>();
    const connections = new Map<InstanceId, AgentConnection>();

    function connect(instance: InstanceId): AgentConnection | undefined {
        const address = instances.get(instance)?.address;
        const existing = connections.get(instance);
        if (existing !== undefined && (address === undefined || existing.address === address)) {
            return existing;
        }
        if (existing !== undefined) {
            close(instance, existing);
        }
        if (address === undefined) {
            return undefined;
        }
        const connection = { address, client: createAgentClient(address), stream: undefined, retryAt: 0 };
        connections.set(instance, connection);
        return connection;
    }

    function close(instance: InstanceId, connection: AgentConnection): void {
        connection.stream?.cancel();
        connection.client.close();
        connections.delete(instance);
    }

    function watchLoad(instance: InstanceId): void {
        const connection = connect(instance);
        if (connection === undefined || connection.stream !== undefined || clock.monotonic() < connection.retryAt) {
            return;
        }
        const stream = connection.client.watchLoad(create(WatchLoadRequestSchema, { instance: context.self }));
        connection.stream = stream;
        stream.on("data", (report: LoadReport) => applyReport(instance, report));
        const end = (): void => {
            if (connection.stream === stream) {
                connection.stream = undefined;
                connection.retryAt = clock.monotonic() + streamReconnectDelay;
            }
        };
        stream.on("error", end);
        stream.on("end", end);
    }

    function applyReport(instance: InstanceId, report: LoadReport): void {
        for (const subset of subsets.values()) {
            const runner = subset.runners.find(candidate => candidate.instance === instance);
            if (runner !== undefined) {
                applyLoadReport(runner, convertReport(subset.deployment, report), clock.monotonic());
            }
        }
    }

    function refreshSubset(placement: PlacementRow): readonly InstanceId[] {
        const { deployment } = placement;
        const subset = subsets.get(deployment) ?? { deployment, runners: [] };
        subsets.set(deployment, subset);
        updateSubset(
            subset,
            selectSubset({
                entry: context.self,
                deployment,
                zone: settings.instance.zone,
                region: settings.instance.region,
                candidates: listCandidates(context, placement),
                size: settings.routing.subsetSize,
            }),
        );
        return subset.runners.map(({ instance }) => instance);
    }

    function refresh(): void {
        const followed = new Set<InstanceId>();
        for (const placement of store.state.placements.rows()) {
            for (const instance of refreshSubset(placement)) {
                followed.add(instance);
                watchLoad(instance);
            }
        }
        for (const [instance, connection] of connections) {
            if (followed.has(instance)) {
                continue;
            }
            connection.stream?.cancel();
            connection.stream = undefined;
            const state = instances.get(instance)?.state;
            if (state === undefined || state === "gone") {
                close(instance, connection);
            }
        }
    }

    return {
        findSubset: deployment => subsets.get(deployment),
        connect: instance => connect(instance)?.client,
        refresh,
        [Symbol.dispose]: () => {
            for (const [instance, connection] of [...connections]) {
                close(instance, connection);
            }
        },
    };
}

function listCandidates(context: EntryContext, placement: PlacementRow): SubsetCandidate[] {
    const candidates: SubsetCandidate[] = [];
    for (const copy of placement.copies) {
        const row = context.instances.get(copy.instance);
        if (copy.state === "assigned" && row?.state === "live") {
            candidates.push({ instance: copy.instance, zone: row.zone, region: row.region });
        }
    }
    return candidates;
}

function convertReport(deployment: DeploymentName, report: LoadReport): RunnerLoadReport {
    const copy = report.copies.find(status => status.deployment === deployment);
    return {
        manifestDigest: copy === undefined || copy.manifestDigest === "" ? undefined : copy.manifestDigest,
        phase: copy?.phase === "serving" ? "serving" : "waiting",
        draining: report.draining,
        running: report.running,
        queued: report.queued,
        capacity: report.capacity,
        cachedPrefixes: report.cachedPrefixes,
        age: Number(report.ageMilliseconds),
    };
}
