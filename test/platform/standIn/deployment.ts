import { createDisposalStack, type DisposalStack } from "../../../src/utils/index.js";
import { startTestGateway, type TestGateway } from "./gateway.js";
import { type RunnerStandIn, type RunnerStandInOptions, startRunnerStandIn } from "./runnerStandIn.js";
import { createServerRecord } from "./serverRecord.js";
import { startStoreStandIn, type StoreStandIn } from "./storeStandIn.js";

/** Gateway together with stand-ins for the store and the runners. */
export interface TestDeployment extends TestGateway {
    readonly store: StoreStandIn;
    /** Resources that are released when the deployment is disposed of. */
    readonly stack: DisposalStack;
    /** Starts another gateway and waits until it is ready. */
    addGateway(instance: string, flags?: Readonly<Record<string, string>>): Promise<TestGateway>;
    /** Starts a runner of the plain service and lists it; see `addRunnerRecord`. */
    addRunner(options: RunnerStandInOptions, entry?: Readonly<Record<string, unknown>>): Promise<RunnerStandIn>;
    /** Writes the record of a running runner to the store, and waits until the gateway has read it. */
    addRunnerRecord(id: string, address: string, entry?: Readonly<Record<string, unknown>>): Promise<void>;
    /** Writes the operator's configuration to the store, with some fields changed. */
    configure(changes?: Readonly<Record<string, unknown>>): void;
    /** Drains the gateway and releases its resources, as its process does after the signal to shut down. */
    stop(): Promise<void>;
}

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

/** Default configuration of the tests, in the operator's format. */
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

/** Waits until a condition is met; fails with its description after a time limit in milliseconds. */
export async function waitUntil(
    description: string,
    isMet: () => boolean | Promise<boolean>,
    timeLimit = 10_000,
): Promise<void> {
    const endsAt = Date.now() + timeLimit;
    while (!await isMet()) {
        if (Date.now() > endsAt) {
            throw new Error(`timed out: ${description}`);
        }
        await new Promise(resolve => setTimeout(resolve, 10));
    }
}

/**
 * Starts a stand-in for the store, and a gateway that follows it.
 *
 * @param flags - settings that differ from the defaults of the tests, by key
 * @returns the deployment, with a configuration and no runner
 */
export async function startDeployment(flags: Readonly<Record<string, string>> = {}): Promise<TestDeployment> {
    const stack = createDisposalStack();
    const store = stack.use(await startStoreStandIn());
    store.write("keyed.op", "config", operatorConfiguration);
    const gateway = stack.use(
        await startTestGateway({ instance: "gateway-1", storeAddress: store.address, flags }),
    );

    async function waitUntilReady({ readyUrl }: TestGateway): Promise<void> {
        await waitUntil("the gateway is ready", async () => (await fetch(readyUrl)).status === 200);
    }

    async function addRunnerRecord(
        id: string,
        address: string,
        entry: Readonly<Record<string, unknown>> = {},
    ): Promise<void> {
        store.write("keyed.servers", id, createServerRecord(address, entry));
        await waitUntilReady(gateway);
        // The gateway polls the records of the runners.
        await new Promise(resolve => setTimeout(resolve, 600));
    }

    return {
        ...gateway,
        store,
        stack,
        addRunnerRecord,
        addGateway: async (instance, added = flags) => {
            const addedGateway = stack.use(
                await startTestGateway({ instance, storeAddress: store.address, flags: added }),
            );
            await waitUntilReady(addedGateway);
            return addedGateway;
        },
        addRunner: async (options, entry) => {
            const runner = stack.use(await startRunnerStandIn(options));
            await addRunnerRecord(options.id, runner.address, entry);
            return runner;
        },
        configure: (changes = {}) => store.write("keyed.op", "config", { ...operatorConfiguration, ...changes }),
        stop: async () => {
            await gateway.drain();
            await gateway[Symbol.asyncDispose]();
        },
        [Symbol.asyncDispose]: () => stack[Symbol.asyncDispose](),
    };
}
