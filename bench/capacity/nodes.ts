import { readFile } from "node:fs/promises";
import {
    type ProcessSettings,
    type ProgramProcess,
    sendJsonRequest,
    startProgram,
    waitUntil,
} from "../../demo/cluster/index.js";
import { findFreePorts } from "../../src/standIn/index.js";

/** Daemon that the benchmark started. */
export interface MeasuredNode extends AsyncDisposable {
    readonly process: ProgramProcess;
    readonly url: string;
    readonly grpcPort: number;
}

/** Memory of a process in bytes, as `/proc` reports it. */
export interface MemoryFigures {
    readonly resident: number;
    /** Part of the resident memory that is mapped from files: the executable and its libraries. */
    readonly residentFile: number;
    /** Resident memory with each shared page divided by the number of processes that share it. */
    readonly proportional: number;
}

const startTimeLimitMilliseconds = 120_000;
const kibibyte = 1_024;

/**
 * Starts the platform stand-in.
 *
 * @param settings - environment variables
 * @returns the platform once it answers; its `grpcPort` is the port of its HTTP server
 */
export async function startPlatform(settings: ProcessSettings = {}): Promise<MeasuredNode> {
    const [port] = await findFreePorts(1);
    const process = startProgram("platform", ["stand-in", "platform"], {
        GOLDCRESTPOINT_STAND_IN_PLATFORM_HTTP_ADDRESS: `127.0.0.1:${port}`,
        GOLDCRESTPOINT_STAND_IN_PLATFORM_INSTANCE_LIST_LAG_MILLISECONDS: "0",
        GOLDCRESTPOINT_STAND_IN_PLATFORM_APPENDS_PER_SECOND: "1000",
        ...settings,
    });
    const url = `http://127.0.0.1:${port}`;
    await waitForAnswer("platform", `${url}/instances`);
    return { process, url, grpcPort: port!, [Symbol.asyncDispose]: () => process[Symbol.asyncDispose]() };
}

/**
 * Starts an entry instance or an agent.
 *
 * @param role - program to start
 * @param instance - identifier
 * @param platformUrl - address of the platform, or of a forwarder to it
 * @param settings - further environment variables
 * @returns the node once it answers
 */
export async function startNode(
    role: "entry" | "agent",
    instance: string,
    platformUrl: string,
    settings: ProcessSettings = {},
): Promise<MeasuredNode> {
    const [grpcPort, httpPort] = await findFreePorts(2);
    const process = startProgram(instance, [role], {
        GOLDCRESTPOINT_PLATFORM_LOG_URL: platformUrl,
        GOLDCRESTPOINT_PLATFORM_INSTANCE_LIST_URL: platformUrl,
        GOLDCRESTPOINT_PLATFORM_WEIGHT_STORE_URL: platformUrl,
        GOLDCRESTPOINT_PLATFORM_ORIGIN_URL: platformUrl,
        GOLDCRESTPOINT_INSTANCE_ID: instance,
        GOLDCRESTPOINT_INSTANCE_GRPC_ADDRESS: `127.0.0.1:${grpcPort}`,
        GOLDCRESTPOINT_INSTANCE_HTTP_ADDRESS: `127.0.0.1:${httpPort}`,
        GOLDCRESTPOINT_INSTANCE_POOL: role === "entry" ? "entry" : "measured",
        GOLDCRESTPOINT_LOG_LEVEL: "warn",
        ...settings,
    });
    const url = `http://127.0.0.1:${httpPort}`;
    await waitForAnswer(instance, `${url}/health`);
    return { process, url, grpcPort: grpcPort!, [Symbol.asyncDispose]: () => process[Symbol.asyncDispose]() };
}

async function waitForAnswer(name: string, url: string): Promise<void> {
    await waitUntil(
        `${name} answers`,
        startTimeLimitMilliseconds,
        async () => (await sendJsonRequest("GET", url)).status === 200,
    );
}

/**
 * Registers an instance with the platform.
 *
 * @param platformUrl - the platform
 * @param instance - identifier
 * @param role - role in the instance list
 * @param port - port at which others reach it
 * @param zone - availability zone
 */
export async function registerInstance(
    platformUrl: string,
    instance: string,
    role: "entry" | "backend-server",
    port: number,
    zone = "zone-a",
): Promise<void> {
    const pool = role === "entry" ? "entry" : "measured";
    const row = { instance, role, pool, zone, region: "region-a", address: `127.0.0.1:${port}` };
    const { status } = await sendJsonRequest("POST", `${platformUrl}/instances`, row);
    if (status !== 204) {
        throw new Error(`instance ${instance} was not registered: status ${status}`);
    }
}

/**
 * Appends a record to the stand-in's log.
 *
 * @param platformUrl - the platform
 * @param record - the record
 * @returns its offset
 */
export async function appendRecord(platformUrl: string, record: object): Promise<number> {
    const { body, status } = await sendJsonRequest("POST", `${platformUrl}/log/records`, record);
    if (status !== 201) {
        throw new Error(`record was not appended: status ${status}`);
    }
    return (body as { readonly offset: number; }).offset;
}

/**
 * Reads one metric of a daemon.
 *
 * @param node - the daemon
 * @param name - name without the prefix `goldcrestpoint_`
 * @returns the value; NaN if it is missing
 */
export async function readMetric(node: MeasuredNode, name: string): Promise<number> {
    const { body } = await sendJsonRequest("GET", `${node.url}/metrics`);
    return Number(new RegExp(`^goldcrestpoint_${name} (.+)$`, "m").exec(String(body))?.[1] ?? Number.NaN);
}

/**
 * Reads the memory of a process that the benchmark started.
 *
 * @param pid - process id
 * @returns its memory in bytes
 */
export async function readMemory(pid: number): Promise<MemoryFigures> {
    const [status, rollup] = await Promise.all([
        readFile(`/proc/${pid}/status`, "utf8"),
        readFile(`/proc/${pid}/smaps_rollup`, "utf8"),
    ]);
    const read = (text: string, name: string): number =>
        Number(new RegExp(`^${name}:\\s+(\\d+) kB`, "m").exec(text)?.[1] ?? Number.NaN) * kibibyte;
    return {
        resident: read(status, "VmRSS"),
        residentFile: read(status, "RssFile"),
        proportional: read(rollup, "Pss"),
    };
}
