import { startStoreStandIn, type StoreStandIn } from "../../test/platform/standIn/storeStandIn.js";
import { findFreePorts } from "../../src/standIn/http/freePorts.js";
import { record, sleep, waitUntil } from "./case.js";
import { describeMachine, type MachinePorts, type Program, startProgram } from "./programs.js";
import type { Fields } from "./template.js";

/** Gateway on a machine of its own. */
export interface Gateway extends Program {
    readonly ip: string;
    readonly front: { readonly host: string; readonly port: number; };
    isReady(): Promise<boolean>;
}

/** Store and gateways of a small deployment. */
export interface System {
    readonly store: StoreStandIn;
    readonly ports: MachinePorts;
    startGateway(number: number): Gateway;
    /** Starts an agent beside the engine at `app`. */
    startAgent(number: number, ip: string, fields: Fields): Program;
    /** Lists a backend server, whose entry is written again at each check-in until the returned function is called. */
    listServer(id: string, entry: Fields | (() => Fields)): () => void;
    configure(configuration: Fields): void;
}

const heartbeat = 1_200;

const standardRoute = {
    host: "members.example",
    timeout_ms: 8_000,
    target_latency_ms: 2_000,
    priority: 1,
    max_attempts: 2,
    public: false,
};

/** Configuration with one route of each kind to the service `archive`. */
export const standardConfiguration = {
    version: 1,
    routes: [
        { ...standardRoute, name: "safe", path_prefix: "/safe/", kind: "safe", service: "archive" },
        { ...standardRoute, name: "unsafe", path_prefix: "/unsafe/", kind: "unsafe", service: "archive" },
        {
            ...standardRoute,
            name: "stream",
            path_prefix: "/stream/",
            kind: "streaming",
            service: "archive",
            resumable: true,
            gap_target_ms: 400,
        },
    ],
    services: [{ name: "archive", health_path: "/health", max_connections: 110 }],
    limits: {
        max_header_bytes: 16_384,
        max_body_bytes: 4_194_304,
        header_timeout_ms: 3_000,
        idle_timeout_ms: 15_000,
    },
    tenants: [{ name: "family", api_keys: ["key-1"] }],
};

/** Starts the store of a deployment; its gateways have the addresses 127.0.0.11 and up. */
export async function startSystem(): Promise<System> {
    const [front, ready, control, internal, metrics] = await findFreePorts(5) as [number, number, number, number, number];
    const ports: MachinePorts = { front, ready, control, internal, metrics };
    const store = await startStoreStandIn();
    store.write("keyed.op", "config", standardConfiguration);
    const seeds = [11, 12, 13].map(number => `127.0.0.${number}:${control}`);
    const shared = { seeds, platform: { address: store.address } };
    return {
        store,
        ports,
        startGateway: number => {
            const ip = `127.0.0.${10 + number}`;
            const name = `front-${String(number).padStart(2, "0")}`;
            const program = startProgram("gateway", describeMachine("gateway", name, ip, ports, shared));
            const readyUrl = `http://${ip}:${ready}/api/ready`;
            return {
                ...program,
                isRunning: program.isRunning,
                ip,
                front: { host: ip, port: front },
                isReady: () => fetch(readyUrl).then(({ status }) => status === 200, () => false),
            };
        },
        startAgent: (number, ip, fields) =>
            startProgram("agent", describeMachine("agent", `side-${number}`, ip, ports, { ...shared, ...fields })),
        listServer: (id, entry) => {
            let sequence = 0;
            const beat = (): void => {
                sequence++;
                store.write("keyed.servers", id, {
                    service: "archive",
                    zone: "zone-a",
                    version: "v1",
                    slots: 6,
                    state: "ready",
                    cold_remaining_ms: 0,
                    born: 1_700_000_000_000,
                    sequence,
                    ...(typeof entry === "function" ? entry() : entry),
                });
            };
            beat();
            const timer = setInterval(beat, heartbeat);
            return () => clearInterval(timer);
        },
        configure: configuration => store.write("keyed.op", "config", configuration),
    };
}

/** Waits until gateways are ready and have settled. */
export async function awaitSettled(gateways: readonly Gateway[]): Promise<void> {
    for (const gateway of gateways) {
        await waitUntil(`${gateway.name} is ready`, () => gateway.isReady());
    }
    // settle_window_ms after the start of the processes
    await sleep(3_500);
    record("the gateways are ready and have settled");
}
