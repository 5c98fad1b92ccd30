import { findFreePorts } from "../../src/standIn/index.js";
import type { AvailabilityZone, InstanceId, Region } from "../../src/types/index.js";
import { createDisposalStack } from "../../src/utils/index.js";
import { type ProcessSettings, type ProgramProcess, startProgram } from "./programProcess.js";
import { sendJsonRequest, waitUntil } from "./requests.js";

/** Availability zone with its region. */
export interface ClusterZone {
    readonly zone: AvailabilityZone;
    readonly region: Region;
}

/** Pool of like backend servers. */
export interface ClusterPool {
    readonly pool: string;
    readonly kind: "model" | "service";
    /** Backend servers in each availability zone, in the order of the zones. */
    readonly runners: readonly number[];
}

/** Options of {@link startCluster}. */
export interface ClusterOptions {
    readonly zones: readonly ClusterZone[];
    readonly entries: number;
    readonly pools: readonly ClusterPool[];
    /** Weight sets of the origin, each as MODEL:ADAPTER:VERSION. */
    readonly weightSets: readonly string[];
    /** Settings of all processes, as environment variables. */
    readonly settings?: ProcessSettings;
}

/** Backend server with its agent. */
export interface ClusterRunner extends ClusterZone {
    readonly instance: InstanceId;
    readonly pool: string;
    readonly kind: "model" | "service";
    readonly backendUrl: string;
    readonly agentUrl: string;
    readonly grpcAddress: string;
    agent: ProgramProcess;
    backend: ProgramProcess;
}

/** Entry instance. */
export interface ClusterEntry extends ClusterZone {
    readonly instance: InstanceId;
    readonly url: string;
    readonly grpcAddress: string;
    process: ProgramProcess;
}

/** Running processes of a small deployment of the whole system on loopback. */
export interface Cluster extends AsyncDisposable {
    readonly platformUrl: string;
    readonly platform: ProgramProcess;
    readonly entries: readonly ClusterEntry[];
    readonly runners: readonly ClusterRunner[];
    /** Environment variables with which operator commands reach this cluster. */
    readonly operatorSettings: ProcessSettings;
    /**
     * Starts the agent of a runner again.
     *
     * @param runner - the runner
     */
    restartAgent(runner: ClusterRunner): void;
    /**
     * Starts the backend server of a runner again.
     *
     * @param runner - the runner
     */
    restartBackend(runner: ClusterRunner): void;
    /**
     * Starts the process of an entry instance again.
     *
     * @param entry - the entry instance
     */
    restartEntry(entry: ClusterEntry): void;
}

/** Times that let failures take effect within seconds; production defaults are longer. */
const quickSettings: ProcessSettings = {
    GOLDCRESTPOINT_HOLD_HOLD_SECONDS: "4",
    GOLDCRESTPOINT_HOLD_MARGIN_SECONDS: "1",
    GOLDCRESTPOINT_PLACEMENT_UNREACHABLE_AFTER_MILLISECONDS: "2500",
    GOLDCRESTPOINT_PLACEMENT_RANK_DELAY_MILLISECONDS: "500",
    GOLDCRESTPOINT_RELAY_HEARTBEAT_MILLISECONDS: "300",
    GOLDCRESTPOINT_RELAY_SILENT_AFTER_MILLISECONDS: "1500",
    GOLDCRESTPOINT_RELAY_DIRECT_READ_JITTER_MILLISECONDS: "500",
    GOLDCRESTPOINT_PLATFORM_INSTANCE_LIST_INTERVAL_MILLISECONDS: "1000",
    GOLDCRESTPOINT_BACKEND_SERVER_ORDER_TIME_LIMIT_MILLISECONDS: "500",
    GOLDCRESTPOINT_STAND_IN_PLATFORM_INSTANCE_LIST_LAG_MILLISECONDS: "500",
};
/** Far above the usual few seconds, so that a busy machine does not fail the start. */
const startTimeLimit = 60_000;

/**
 * Starts stand-ins, agents and entry instances as processes on loopback and waits until they answer.
 *
 * @param options - topology, weights and settings
 * @returns the cluster; disposing of it ends every process that it started
 */
export async function startCluster(options: ClusterOptions): Promise<Cluster> {
    await using resources = createDisposalStack();
    const settings = { ...quickSettings, ...options.settings };
    const platformPort = (await findFreePorts(1))[0]!;
    const platformUrl = `http://127.0.0.1:${platformPort}`;
    const common = {
        ...settings,
        GOLDCRESTPOINT_PLATFORM_LOG_URL: platformUrl,
        GOLDCRESTPOINT_PLATFORM_INSTANCE_LIST_URL: platformUrl,
        GOLDCRESTPOINT_PLATFORM_WEIGHT_STORE_URL: platformUrl,
        GOLDCRESTPOINT_PLATFORM_ORIGIN_URL: platformUrl,
    };
    const platform = resources.use(startProgram("platform", ["stand-in", "platform"], {
        ...settings,
        GOLDCRESTPOINT_STAND_IN_PLATFORM_HTTP_ADDRESS: `127.0.0.1:${platformPort}`,
        GOLDCRESTPOINT_STAND_IN_PLATFORM_WEIGHT_SETS: options.weightSets.join(","),
    }));
    await waitUntil("the platform answers", startTimeLimit, () => answers(`${platformUrl}/instances`));

    const entries = await planEntries(options);
    const runners = await planRunners(options);
    const startEntryProcess = (entry: Omit<ClusterEntry, "process">) =>
        startProgram(entry.instance, ["entry"], { ...common, ...createEntryEnvironment(entry) });
    const startBackendProcess = (runner: PlannedRunner) =>
        startProgram(`${runner.instance} backend`, ["stand-in", runner.kind === "model" ? "engine" : "service"], {
            ...settings,
            ...createBackendEnvironment(runner),
        });
    const startAgentProcess = (runner: PlannedRunner) =>
        startProgram(runner.instance, ["agent"], { ...common, ...createAgentEnvironment(runner) });

    for (const { instance, zone, region, grpcAddress } of entries) {
        await register(platformUrl, { instance, role: "entry", pool: "entry", zone, region, address: grpcAddress });
    }
    for (const { instance, pool, zone, region, grpcAddress } of runners) {
        await register(platformUrl, { instance, role: "backend-server", pool, zone, region, address: grpcAddress });
    }
    const startedEntries = entries.map(entry => ({ ...entry, process: startEntryProcess(entry) }));
    const startedRunners = runners.map(runner => ({
        ...runner,
        backend: startBackendProcess(runner),
        agent: startAgentProcess(runner),
    }));
    resources.defer(async () => {
        await Promise.all([
            ...startedEntries.map(({ process }) => process[Symbol.asyncDispose]()),
            ...startedRunners.flatMap(({ agent, backend }) => [
                agent[Symbol.asyncDispose](),
                backend[Symbol.asyncDispose](),
            ]),
        ]);
    });
    await Promise.all([
        ...startedEntries.map(({ process, url }) => waitForHealth(process, url)),
        ...startedRunners.map(({ agent, agentUrl }) => waitForHealth(agent, agentUrl)),
        ...startedRunners.map(({ backend, backendUrl }) => waitForHealth(backend, backendUrl)),
    ]);

    const owned = resources.move();
    return {
        platformUrl,
        platform,
        entries: startedEntries,
        runners: startedRunners,
        operatorSettings: { ...common, GOLDCRESTPOINT_OPERATOR_ENTRY_URLS: entries.map(({ url }) => url).join(",") },
        restartAgent: runner => {
            runner.agent = startAgentProcess(runner);
        },
        restartBackend: runner => {
            runner.backend = startBackendProcess(runner);
        },
        restartEntry: entry => {
            entry.process = startEntryProcess(entry);
        },
        [Symbol.asyncDispose]: () => owned[Symbol.asyncDispose](),
    };
}

type PlannedRunner = Omit<ClusterRunner, "agent" | "backend">;

async function planEntries(options: ClusterOptions): Promise<Omit<ClusterEntry, "process">[]> {
    const ports = await findFreePorts(options.entries * 2);
    return [...Array(options.entries).keys()].map(index => ({
        ...options.zones[index % options.zones.length]!,
        instance: `entry-${index}`,
        grpcAddress: `127.0.0.1:${ports[index * 2]!}`,
        url: `http://127.0.0.1:${ports[index * 2 + 1]!}`,
    }));
}

async function planRunners(options: ClusterOptions): Promise<PlannedRunner[]> {
    const planned: PlannedRunner[] = [];
    for (const { pool, kind, runners } of options.pools) {
        for (const [zoneIndex, count] of runners.entries()) {
            const { zone, region } = options.zones[zoneIndex]!;
            for (let index = 0; index < count; index++) {
                const [grpcPort, httpPort, backendPort] = await findFreePorts(3);
                planned.push({
                    zone,
                    region,
                    pool,
                    kind,
                    instance: `${pool}-${zone}-${index}`,
                    grpcAddress: `127.0.0.1:${grpcPort}`,
                    agentUrl: `http://127.0.0.1:${httpPort}`,
                    backendUrl: `http://127.0.0.1:${backendPort}`,
                });
            }
        }
    }
    return planned;
}

function createInstanceEnvironment(
    instance: ClusterZone & { instance: string; grpcAddress: string; },
): ProcessSettings {
    return {
        GOLDCRESTPOINT_INSTANCE_ID: instance.instance,
        GOLDCRESTPOINT_INSTANCE_ZONE: instance.zone,
        GOLDCRESTPOINT_INSTANCE_REGION: instance.region,
        GOLDCRESTPOINT_INSTANCE_GRPC_ADDRESS: instance.grpcAddress,
    };
}

function createEntryEnvironment(entry: Omit<ClusterEntry, "process">): ProcessSettings {
    return {
        ...createInstanceEnvironment(entry),
        GOLDCRESTPOINT_INSTANCE_HTTP_ADDRESS: entry.url.slice("http://".length),
    };
}

function createAgentEnvironment(runner: PlannedRunner): ProcessSettings {
    return {
        ...createInstanceEnvironment(runner),
        GOLDCRESTPOINT_INSTANCE_POOL: runner.pool,
        GOLDCRESTPOINT_INSTANCE_HTTP_ADDRESS: runner.agentUrl.slice("http://".length),
        GOLDCRESTPOINT_BACKEND_SERVER_URL: runner.backendUrl,
        GOLDCRESTPOINT_BACKEND_SERVER_KIND: runner.kind,
    };
}

function createBackendEnvironment(runner: PlannedRunner): ProcessSettings {
    const address = runner.backendUrl.slice("http://".length);
    return runner.kind === "model" ?
        { GOLDCRESTPOINT_STAND_IN_ENGINE_HTTP_ADDRESS: address } :
        { GOLDCRESTPOINT_STAND_IN_SERVICE_HTTP_ADDRESS: address };
}

async function register(platformUrl: string, row: Readonly<Record<string, string>>): Promise<void> {
    await sendJsonRequest("POST", `${platformUrl}/instances`, row);
}

async function answers(url: string): Promise<boolean> {
    const { status } = await sendJsonRequest("GET", url);
    return status === 200;
}

async function waitForHealth(program: ProgramProcess, url: string): Promise<void> {
    await waitUntil(`${program.name} answers`, startTimeLimit, () => {
        if (program.exitCode !== undefined) {
            throw new Error(`${program.name} ended with ${program.exitCode}: ${program.lines.slice(-3).join(" ")}`);
        }
        return answers(`${url}/health`);
    });
}
