import { findFreePorts } from "../../src/standIn/index.js";
import type { AvailabilityZone, InstanceId, Region } from "../../src/types/index.js";
import { createDisposalStack } from "../../src/utils/index.js";
import { type ProcessSettings, type ProgramProcess, startProgram } from "./programProcess.js";
import { sendJsonRequest, waitUntil } from "./requests.js";

/** Availability zone and its region. */
export interface ClusterZone {
    readonly zone: AvailabilityZone;
    readonly region: Region;
}

/** Pool of backend servers of the same kind. */
export interface ClusterPool {
    readonly pool: string;
    readonly kind: "model" | "service";
    /** Number of backend servers in each availability zone, in the order of the zones. */
    readonly runners: readonly number[];
}

/** Options of {@link startCluster}. */
export interface ClusterOptions {
    readonly zones: readonly ClusterZone[];
    /** Number of entry instances, which are spread over the availability zones in turn. */
    readonly entries: number;
    readonly pools: readonly ClusterPool[];
    /** Weight sets that the origin offers, each as MODEL:ADAPTER:VERSION. */
    readonly weightSets: readonly string[];
    /** Environment variables for all processes. They override the short timeouts of the cluster. */
    readonly settings?: ProcessSettings;
}

/** Backend server and its agent. */
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

/** All processes of a small installation of the system, running on the loopback interface. */
export interface Cluster extends AsyncDisposable {
    readonly platformUrl: string;
    readonly platform: ProgramProcess;
    readonly entries: readonly ClusterEntry[];
    readonly runners: readonly ClusterRunner[];
    /** Environment variables that connect operator commands to this cluster. */
    readonly operatorSettings: ProcessSettings;
    /**
     * Starts a new agent process for a runner. The old process must have ended.
     *
     * @param runner - the runner
     */
    restartAgent(runner: ClusterRunner): void;
    /**
     * Starts a new backend server process for a runner. The old process must have ended.
     *
     * @param runner - the runner
     */
    restartBackend(runner: ClusterRunner): void;
    /**
     * Starts a new process for an entry instance. The old process must have ended.
     *
     * @param entry - the entry instance
     */
    restartEntry(entry: ClusterEntry): void;
}

/** Timeouts that let the system react to failures within seconds; the production defaults are longer. */
const shortTimeoutSettings: ProcessSettings = {
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
/** Far above the usual few seconds, so that the start does not fail on a busy machine. In milliseconds. */
const startTimeLimitMilliseconds = 60_000;

/**
 * Starts stand-ins, agents and entry instances as processes on the loopback interface and waits until they respond.
 *
 * @param options - topology, weights and settings
 * @returns the cluster; disposing of it ends all its processes
 */
export async function startCluster(options: ClusterOptions): Promise<Cluster> {
    await using resources = createDisposalStack();
    const settings = { ...shortTimeoutSettings, ...options.settings };
    const platformPort = (await findFreePorts(1))[0]!;
    const platformUrl = `http://127.0.0.1:${platformPort}`;
    const clientSettings = {
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
    await waitUntil("the platform responds", startTimeLimitMilliseconds, () => isAnswering(`${platformUrl}/instances`));

    const entries = await planEntries(options);
    const runners = await planRunners(options);
    const startEntryProcess = (entry: Omit<ClusterEntry, "process">) =>
        startProgram(entry.instance, ["entry"], { ...clientSettings, ...createEntryEnvironment(entry) });
    const startBackendProcess = (runner: PlannedRunner) =>
        startProgram(`${runner.instance} backend`, ["stand-in", runner.kind === "model" ? "engine" : "service"], {
            ...settings,
            ...createBackendEnvironment(runner),
        });
    const startAgentProcess = (runner: PlannedRunner) =>
        startProgram(runner.instance, ["agent"], { ...clientSettings, ...createAgentEnvironment(runner) });

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

    const ownedResources = resources.move();
    return {
        platformUrl,
        platform,
        entries: startedEntries,
        runners: startedRunners,
        operatorSettings: {
            ...clientSettings,
            GOLDCRESTPOINT_OPERATOR_ENTRY_URLS: entries.map(({ url }) => url).join(","),
        },
        restartAgent: runner => {
            runner.agent = startAgentProcess(runner);
        },
        restartBackend: runner => {
            runner.backend = startBackendProcess(runner);
        },
        restartEntry: entry => {
            entry.process = startEntryProcess(entry);
        },
        [Symbol.asyncDispose]: () => ownedResources[Symbol.asyncDispose](),
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

async function isAnswering(url: string): Promise<boolean> {
    const { status } = await sendJsonRequest("GET", url);
    return status === 200;
}

async function waitForHealth(program: ProgramProcess, url: string): Promise<void> {
    await waitUntil(`${program.name} responds`, startTimeLimitMilliseconds, () => {
        if (program.exitCode !== undefined) {
            throw new Error(
                `${program.name} exited with code ${program.exitCode}: ${program.lines.slice(-3).join(" ")}`,
            );
        }
        return isAnswering(`${url}/health`);
    });
}
