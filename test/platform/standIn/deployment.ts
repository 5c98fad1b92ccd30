import { createServer } from "node:net";
import { createCallerProtocol } from "../../../platform/callerProtocol.js";
import { createRecordDecoder } from "../../../platform/recordDecoder.js";
import { createStoreClient } from "../../../platform/storeClient.js";
import { startGateway } from "../../../src/node/gateway/index.js";
import { createLogger } from "../../../src/node/logging/index.js";
import { resolveGatewaySettings } from "../../../src/node/settings/index.js";
import { createDisposalStack, createSystemClock, type DisposalStack } from "../../../src/utils/index.js";
import { expectOk } from "../../node/support.js";
import { type RunnerStandIn, type RunnerStandInOptions, startRunnerStandIn } from "./runnerStandIn.js";
import { startStoreStandIn, type StoreStandIn } from "./storeStandIn.js";

/** Finds ports that are free at the moment. */
export async function findFreePorts(count: number): Promise<number[]> {
    const servers = await Promise.all(
        Array.from({ length: count }, () =>
            new Promise<ReturnType<typeof createServer>>(resolve => {
                const server = createServer().listen(0, "127.0.0.1", () => resolve(server));
            })),
    );
    const ports = servers.map(server => (server.address() as { readonly port: number; }).port);
    await Promise.all(servers.map(server => new Promise(resolve => server.close(resolve))));
    return ports;
}

/** Gateway before stand-ins of store and runners. */
export interface TestDeployment extends AsyncDisposable {
    readonly store: StoreStandIn;
    readonly stack: DisposalStack;
    readonly gatewayUrl: string;
    readonly readyUrl: string;
    /** `host:port` at which the gateway relays records. */
    readonly relayAddress: string;
    /** Lines that the gateway has logged. */
    readonly logLines: readonly string[];
    /** Starts a runner of the plain service and lists it. */
    addRunner(options: RunnerStandInOptions, entry?: Readonly<Record<string, unknown>>): Promise<RunnerStandIn>;
    /** Lists a runner that runs already, and waits until the gateway has read the list. */
    listRunner(id: string, address: string, entry?: Readonly<Record<string, unknown>>): Promise<void>;
    /** Writes the configuration with changed fields. */
    configure(changes?: Readonly<Record<string, unknown>>): void;
    /** Begins the shutdown of the gateway. */
    drain(): Promise<void>;
    /** Drains the gateway and releases what it holds, as its process does after the signal to shut down. */
    stop(): Promise<void>;
}

/** Time within which the gateway ends by itself after the signal to shut down. */
export const drainTimeLimitSeconds = 3;

const route = {
    name: "route",
    host: "members.example",
    kind: "safe",
    timeout_ms: 1_500,
    target_latency_ms: 1_000,
    priority: 1,
    service: "archive",
    max_attempts: 2,
    public: false,
};

/** Configuration as an operator writes it. */
export const operatorConfiguration = {
    version: 1,
    routes: [
        { ...route, name: "safe", path_prefix: "/safe/" },
        { ...route, name: "unsafe", path_prefix: "/unsafe/", kind: "unsafe", max_attempts: 1 },
        { ...route, name: "stream", path_prefix: "/stream/", kind: "streaming", resumable: true, gap_target_ms: 400 },
    ],
    services: [{ name: "archive", health_path: "/health", max_connections: 50, protocol: "h1", tls: false }],
    limits: { max_header_bytes: 16_384, max_body_bytes: 1_000, header_timeout_ms: 3_000, idle_timeout_ms: 15_000 },
    tenants: [{ name: "family", api_keys: ["key-1"] }],
};

/** Waits until a condition holds. */
export async function waitUntil(description: string, holds: () => boolean | Promise<boolean>): Promise<void> {
    const endsAt = Date.now() + 10_000;
    while (!await holds()) {
        if (Date.now() > endsAt) {
            throw new Error(`timed out: ${description}`);
        }
        await new Promise(resolve => setTimeout(resolve, 10));
    }
}

/**
 * Starts a store and a gateway that follows it.
 *
 * @param flags - settings that differ from those of the tests, by key
 * @returns the deployment, with a configuration and no runner
 */
export async function startDeployment(flags: Readonly<Record<string, string>> = {}): Promise<TestDeployment> {
    const stack = createDisposalStack();
    const store = stack.use(await startStoreStandIn());
    store.write("keyed.op", "config", operatorConfiguration);
    const [relayPort, callerPort, readyPort, metricsPort] = await findFreePorts(4);
    const settings = expectOk(resolveGatewaySettings({
        environment: {},
        flags: {
            "instance.id": "gateway-1",
            "instance.zone": "zone-a",
            "instance.region": "south",
            "instance.grpcAddress": `127.0.0.1:${relayPort}`,
            "instance.httpAddress": `127.0.0.1:${callerPort}`,
            "instance.drainTimeLimitSeconds": String(drainTimeLimitSeconds),
            "gateway.readyAddress": `127.0.0.1:${readyPort}`,
            "gateway.metricsAddress": `127.0.0.1:${metricsPort}`,
            "gateway.relayPort": String(relayPort),
            "gateway.acceptAfterShutdownMilliseconds": "200",
            "gateway.switchAfterMilliseconds": "400",
            "routing.reportExpiryMilliseconds": "600000",
            "admission.retryAfterStepSeconds": "0.05",
            ...flags,
        },
    }));
    const log = stack.use(createStoreClient({ address: store.address }));
    const logLines: string[] = [];
    const destination = { write: (line: string) => void logLines.push(line) };
    const gateway = stack.use(expectOk(
        await startGateway(settings, {
            log,
            decoder: createRecordDecoder(),
            protocol: createCallerProtocol(),
            clock: createSystemClock(),
            random: { next: Math.random },
            readyPath: "/api/ready",
        }, createLogger({ level: "info", program: "gateway", instance: "gateway-1", destination })),
    ));
    const readyUrl = `http://127.0.0.1:${readyPort}/api/ready`;

    async function listRunner(
        id: string,
        address: string,
        entry: Readonly<Record<string, unknown>> = {},
    ): Promise<void> {
        store.write("keyed.servers", id, {
            service: "archive",
            address,
            zone: "zone-a",
            version: "v1",
            slots: 4,
            state: "ready",
            cold_remaining_ms: 0,
            sequence: 1,
            born: 1,
            ...entry,
        });
        await waitUntil("the gateway is ready", async () => (await fetch(readyUrl)).status === 200);
        // The list is read at intervals.
        await new Promise(resolve => setTimeout(resolve, 600));
    }

    return {
        store,
        stack,
        readyUrl,
        relayAddress: `127.0.0.1:${relayPort}`,
        logLines,
        gatewayUrl: `http://127.0.0.1:${callerPort}`,
        listRunner,
        addRunner: async (options, entry) => {
            const runner = stack.use(await startRunnerStandIn(options));
            await listRunner(options.id, runner.address, entry);
            return runner;
        },
        configure: (changes = {}) => store.write("keyed.op", "config", { ...operatorConfiguration, ...changes }),
        drain: () => gateway.drain(),
        stop: async () => {
            await gateway.drain();
            await gateway[Symbol.asyncDispose]();
        },
        [Symbol.asyncDispose]: () => stack[Symbol.asyncDispose](),
    };
}
