import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import { createWriteStream, mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { connect, createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { renderTemplate, type Values } from "./template.js";

/** Ports that are the same on all machines of a deployment. */
export interface Ports {
    readonly front: number;
    readonly ready: number;
    readonly control: number;
    readonly internal: number;
    readonly metrics: number;
    readonly app: number;
}

/** Bounds of a small deployment, as the platform states them. */
export const bounds = {
    drain_ms: 2_000,
    grace_s: 8,
    settle_window_ms: 3_000,
    config_deadline_ms: 2_000,
    retry_budget_ratio: 0.2,
    budget_window_s: 10,
    budget_slack: 104,
    version_ms: 8_000,
};

/** Process of the project on a machine of its own, which has a loopback address. */
export interface Machine {
    readonly name: string;
    readonly ip: string;
    /** File with everything that the process has written. */
    readonly log: string;
    readonly child: () => ChildProcess;
    /** Whether the process runs. */
    readonly isRunning: () => boolean;
    signal(name: NodeJS.Signals): void;
    /** Starts the process again with the settings that are in effect. */
    start(): void;
    readonly exited: () => Promise<unknown>;
}

/** Machines that are started by a case. */
export interface Machines extends AsyncDisposable {
    readonly ports: Ports;
    readonly folder: string;
    startFront(name: string, ip: string): Machine;
    startSide(name: string, ip: string, service: string): Machine;
}

/** Settings that all machines have in common. */
export interface Installation {
    readonly storeAddress: string;
    readonly zone: string;
    readonly region: string;
    /** Addresses of the front machines. */
    readonly seeds: readonly string[];
}

async function isFree(host: string, port: number): Promise<boolean> {
    const server = createServer();
    try {
        server.listen(port, host);
        await once(server, "listening");
        return true;
    }
    catch {
        return false;
    }
    finally {
        server.close();
    }
}

/** Finds ports that are free at each of the addresses. */
async function findPorts(hosts: readonly string[], count: number): Promise<number[]> {
    const found: number[] = [];
    for (let tries = 0; found.length < count && tries < 2_000; tries++) {
        const port = 20_000 + Math.floor(Math.random() * 12_000);
        const free = await Promise.all(hosts.map(host => isFree(host, port)));
        if (!found.includes(port) && free.every(Boolean)) {
            found.push(port);
        }
    }
    return found;
}

/** Tells whether something listens at an address. */
export function isListening(host: string, port: number): Promise<boolean> {
    return new Promise(resolve => {
        const socket = connect({ host, port });
        const finish = (result: boolean): void => {
            socket.destroy();
            resolve(result);
        };
        socket.once("connect", () => finish(true));
        socket.once("error", () => finish(false));
        setTimeout(() => finish(false), 500);
    });
}

/**
 * Prepares machines on loopback addresses. Programs run with the commands of the deploy file, and with settings that are
 * rendered from its template.
 */
export async function prepareMachines(
    installation: () => Installation,
    hosts: readonly string[],
): Promise<Machines> {
    const folder = mkdtempSync(join(tmpdir(), "review-3-"));
    const [front = 0, ready = 0, control = 0, internal = 0, metrics = 0, app = 0] = await findPorts(hosts, 6);
    const ports: Ports = { front, ready, control, internal, metrics, app };
    const template = readFileSync("platform/settings.ini", "utf8");
    const machines: Machine[] = [];

    function describe(name: string, ip: string): Values {
        const { region, seeds, storeAddress, zone } = installation();
        return {
            node_name: name,
            ip,
            zone,
            region,
            internal_port_range: [ports.internal, ports.metrics],
            seeds: seeds.map(seed => `${seed}:${ports.control}`),
            zones: { [zone]: region },
            bounds,
            platform: { address: storeAddress, record_bytes: 262_144 },
        };
    }

    function startMachine(name: string, ip: string, values: Values, run: readonly string[]): Machine {
        const settings = join(folder, `${name}.ini`);
        writeFileSync(settings, renderTemplate(template, { ...describe(name, ip), ...values }));
        const log = join(folder, `${name}.log`);
        const output = createWriteStream(log, { flags: "a" });
        let child: ChildProcess;
        let exited: Promise<unknown> = Promise.resolve();
        const start = (): void => {
            child = spawn("node", run, {
                env: { PATH: process.env["PATH"], HOME: process.env["HOME"], GOLDCRESTPOINT_CONFIG: settings },
                stdio: ["ignore", "pipe", "pipe"],
            });
            child.stdout!.pipe(output, { end: false });
            child.stderr!.pipe(output, { end: false });
            exited = once(child, "exit");
        };
        // A case that ends at its time limit or by an exception disposes of nothing.
        process.once("exit", () => child.kill("SIGKILL"));
        start();
        const machine: Machine = {
            name,
            ip,
            log,
            child: () => child,
            isRunning: () => child.exitCode === null && child.signalCode === null, // eslint-disable-line no-restricted-syntax
            signal: signal => void child.kill(signal),
            start,
            exited: () => exited,
        };
        machines.push(machine);
        return machine;
    }

    return {
        ports,
        folder,
        startFront: (name, ip) =>
            startMachine(name, ip, {
                listen: { front: `${ip}:${front}`, ready: `${ip}:${ready}`, control: `${ip}:${control}` },
                limits: { memory_mb: 350, link_mbps: 1_000 },
            }, ["--max-old-space-size=180", "target/main.mjs", "gateway"]),
        startSide: (name, ip, service) =>
            startMachine(name, ip, {
                listen: {},
                limits: { memory_mb: 218, link_mbps: 1_000 },
                app: `${ip}:${app}`,
                service,
            }, ["--max-old-space-size=98", "target/main.mjs", "agent"]),
        [Symbol.asyncDispose]: async () => {
            for (const machine of machines) {
                machine.signal("SIGCONT");
                machine.signal("SIGKILL");
            }
            await Promise.all(machines.filter(machine => machine.isRunning()).map(machine => machine.exited()));
            if (process.env["KEEP_LOGS"] === undefined) {
                rmSync(folder, { recursive: true, force: true });
            }
        },
    };
}
