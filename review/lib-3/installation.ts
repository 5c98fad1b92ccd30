import { type ChildProcess, fork } from "node:child_process";
import { once } from "node:events";
import { createDisposalStack } from "../../src/utils/index.js";
import { type StoreStandIn, startStoreStandIn } from "../../test/platform/standIn/storeStandIn.js";
import { sendCall } from "./caller.js";
import { type Machine, type Machines, prepareMachines } from "./machines.js";
import { model, type ModelRunner, type ModelRunnerOptions, startModelRunner, startOrigin } from "./modelRunner.js";
import { type CaseRecord, waitUntil } from "./record.js";
import type { RunnerMessage, RunnerProcessOptions } from "./runnerProcess.js";

export const zone = "sando-hall";
export const region = "south-tt";
export const host = "jepu9.example";
export const apiKey = "jnbanfqasnmgkcuyj8pj";
export const service = "huvo11a";

/** Route of streams that may be resumed. */
export const streamRoute = {
    name: "r-stream",
    host,
    path_prefix: "/lepu270/",
    kind: "streaming",
    timeout_ms: 6_000,
    target_latency_ms: 502,
    gap_target_ms: 400,
    priority: 1,
    service,
    max_attempts: 2,
    public: false,
    resumable: true,
    sticky_sessions: true,
};

/** Creates the first configuration. */
export function createConfiguration(
    origin: string,
    { routes = [], services = [] }: Pick<ModelInstallationOptions, "routes" | "services"> = {},
): Record<string, unknown> {
    const { chunkBytes, chunks, layers, name, warmMilliseconds } = model;
    return {
        version: 1,
        routes: [streamRoute, ...routes],
        services: [
            {
                name: service,
                health_path: "/health",
                max_connections: 364,
                protocol: "h1",
                tls: false,
                engine: {
                    slots: 16,
                    kv_capacity_tokens: 317_000,
                    models: [{ name, pace: 1, load_s: 1, warm_s: warmMilliseconds / 1_000 }],
                    layers,
                    chunks,
                    chunk_bytes: chunkBytes,
                    mb: 149_000,
                },
            },
            { name: "gowu98c", max_connections: 48, protocol: "h1", tls: false, origin, zone },
            ...services,
        ],
        limits: {
            max_header_bytes: 16_384,
            max_body_bytes: 65_536,
            header_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        },
        tenants: [{ name: "bozi300", api_keys: [apiKey] }],
    };
}

/** Route of requests that may run more than once, to a service without an engine. */
export const safeRoute = {
    name: "r-safe",
    host,
    path_prefix: "/boye614/",
    kind: "safe",
    timeout_ms: 1_500,
    target_latency_ms: 195,
    priority: 2,
    service: "kafi81c",
    max_attempts: 2,
    public: false,
};

/** Starts a model runner in a process of its own, which writes its records to the store. */
export async function forkRunner(
    store: StoreStandIn,
    options: RunnerProcessOptions,
    onMessage: (message: RunnerMessage) => void,
): Promise<ChildProcess> {
    const child = fork("target/review-3/runner.mjs", [], { env: { ...process.env, RUNNER: JSON.stringify(options) } });
    const listed = new Promise<void>(resolve => {
        child.on("message", (message: RunnerMessage) => {
            if (message.kind === "write") {
                store.write(message.topic, message.key, message.content);
                resolve();
            }
            else if (message.kind === "drop") {
                store.drop(message.topic, message.key);
            }
            onMessage(message);
        });
    });
    await Promise.race([listed, once(child, "exit")]);
    return child;
}

/** Installation with model runners, and an agent beside each of them. */
export interface ModelInstallation extends AsyncDisposable {
    readonly store: StoreStandIn;
    readonly machines: Machines;
    readonly fronts: readonly Machine[];
    readonly sides: readonly Machine[];
    readonly runners: readonly ModelRunner[];
    /** Processes of the runners, if they have processes of their own. */
    readonly children: readonly ChildProcess[];
}

/** Options of {@link startModelInstallation}. */
export interface ModelInstallationOptions {
    readonly fronts: number;
    readonly runners: number;
    readonly runner: Pick<
        ModelRunnerOptions,
        | "downMilliseconds"
        | "eventMilliseconds"
        | "events"
        | "firstMilliseconds"
        | "onArrival"
        | "onBegin"
        | "onCrash"
        | "onEvent"
    >;
    /** Called with each message of the runners, which have processes of their own then. Default: they have none. */
    readonly onMessage?: (message: RunnerMessage) => void;
    /** Further routes and services. Default: none. */
    readonly routes?: readonly unknown[];
    readonly services?: readonly unknown[];
}

function listAddresses(first: number, count: number): string[] {
    return Array.from({ length: count }, (...[, index]) => `127.0.7.${first + index}`);
}

/** Starts front machines, side machines with their runners, the store and the origin, and waits until requests are served. */
export async function startModelInstallation(
    record: CaseRecord,
    options: ModelInstallationOptions,
): Promise<ModelInstallation> {
    await using stack = createDisposalStack();
    const frontAddresses = listAddresses(11, options.fronts);
    const sideAddresses = listAddresses(41, options.runners);
    const store = stack.use(await startStoreStandIn());
    const origin = stack.use(await startOrigin("127.0.7.2"));
    store.write("keyed.op", "config", createConfiguration(origin.address, options));
    const machines = stack.use(
        await prepareMachines(
            () => ({ storeAddress: store.address, zone, region, seeds: frontAddresses.slice(0, 3) }),
            [...frontAddresses, ...sideAddresses],
        ),
    );
    const runners: ModelRunner[] = [];
    const children: ChildProcess[] = [];
    stack.defer(() => children.forEach(child => child.kill("SIGKILL")));
    for (const ip of sideAddresses) {
        const described = { ...options.runner, ip, port: machines.ports.app, zone, service, slots: 16 };
        if (options.onMessage !== undefined) {
            children.push(await forkRunner(store, described, options.onMessage));
            continue;
        }
        runners.push(stack.use(await startModelRunner({ ...described, store })));
    }
    const fronts = frontAddresses.map((ip, index) => machines.startFront(`front-${zone}-${index + 1}`, ip));
    const sides = sideAddresses.map((ip, index) => machines.startSide(`side-${zone}-${index + 1}`, ip, service));
    for (const { ip, name } of fronts) {
        await waitUntil(`${name} serves`, async () => {
            const answer = await sendStream({ ip, port: machines.ports.front }, {});
            return answer.status === 200 && answer.complete;
        });
    }
    record.write(`${fronts.length} front and ${sides.length} side machines serve`);
    const owned = stack.move();
    return {
        store,
        machines,
        fronts,
        sides,
        runners,
        children,
        [Symbol.asyncDispose]: () => owned[Symbol.asyncDispose](),
    };
}

/** Sends a request on the route of streams. */
export function sendStream(
    { ip, port }: { readonly ip: string; readonly port: number; },
    headers: Readonly<Record<string, string>>,
    body = "read this page",
): ReturnType<typeof sendCall> {
    return sendCall({
        host: ip,
        port,
        path: `${streamRoute.path_prefix}2f`,
        body,
        deadline: 6_000,
        headers: {
            host,
            authorization: `Token ${apiKey}`,
            model: model.name,
            "token-usage": "1460,80",
            "prompt-prefix": "5c1e07a2:40,e4402b7d:250",
            ...headers,
        },
    });
}
