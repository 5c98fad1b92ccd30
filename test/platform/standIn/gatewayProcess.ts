import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import { writeFileSync } from "node:fs";
import { join } from "node:path";
import { createInterface } from "node:readline";

/** Ports of all gateways, each of which has an address of its own. */
export interface GatewayPorts {
    readonly callers: number;
    readonly ready: number;
    readonly relay: number;
    readonly metrics: number;
}

/** Gateway in a process of its own. */
export interface GatewayProcess extends AsyncDisposable {
    readonly instance: string;
    readonly host: string;
    readonly port: number;
    /** Identifier of the process in the operating system. */
    readonly processId: number;
    /** Lines that the gateway has logged. */
    readonly logLines: readonly string[];
    /** Monotonic time of the first SIGTERM in milliseconds; undefined before it. */
    readonly stoppedAt: () => number | undefined;
    signal(signal: NodeJS.Signals): void;
    /** Resolves with the exit code when the process has ended; undefined if a signal ended it. */
    readonly exited: Promise<number | undefined>;
    /** Tells whether the gateway answers that it is ready. */
    isReady(): Promise<boolean>;
}

/** Options of {@link startGatewayProcess}. */
export interface GatewayProcessOptions {
    readonly instance: string;
    readonly host: string;
    readonly ports: GatewayPorts;
    /** `host:port` of the store. */
    readonly storeAddress: string;
    /** Time in seconds after SIGTERM within which the process must end. */
    readonly drainTimeLimitSeconds: number;
    /** Folder for the settings file. */
    readonly folder: string;
    /** Further keys of the section `gateway`, each as `KEY = VALUE`. Default: none. */
    readonly gatewayKeys?: readonly string[];
    /** Flags of the runtime. Default: none. */
    readonly runtimeFlags?: readonly string[];
}

/** Time within which a gateway must answer whether it is ready. */
const probeTimeLimitMilliseconds = 1_000;

const program = process.env["GATEWAY_PROGRAM"]?.split(" ") ?? ["--import", "tsx", "platform/main.ts"];

/**
 * Starts a gateway in a process of its own.
 *
 * @param options - addresses and settings
 * @returns the process; disposing of it kills the process
 */
export function startGatewayProcess(options: GatewayProcessOptions): GatewayProcess {
    const { drainTimeLimitSeconds, folder, host, instance, ports, storeAddress } = options;
    const settings = join(folder, `${instance}.ini`);
    writeFileSync(
        settings,
        [
            "[instance]",
            `id = ${instance}`,
            "zone = zone-a",
            "region = south",
            `grpcAddress = ${host}:${ports.relay}`,
            `httpAddress = ${host}:${ports.callers}`,
            `drainTimeLimitSeconds = ${drainTimeLimitSeconds}`,
            "[platform]",
            `logUrl = http://${storeAddress}`,
            "[gateway]",
            `readyAddress = ${host}:${ports.ready}`,
            `metricsAddress = ${host}:${ports.metrics}`,
            `relayPort = ${ports.relay}`,
            ...(options.gatewayKeys ?? []),
            "[routing]",
            "reportExpiryMilliseconds = 600000",
            "[log]",
            "decisionSampleShare = 1",
            "",
        ].join("\n"),
    );
    const child: ChildProcess = spawn(process.execPath, [...options.runtimeFlags ?? [], ...program, "gateway"], {
        env: { PATH: process.env["PATH"], HOME: process.env["HOME"], GOLDCRESTPOINT_CONFIG: settings },
        stdio: ["ignore", "pipe", "pipe"],
    });
    const logLines: string[] = [];
    for (const stream of [child.stdout!, child.stderr!]) {
        createInterface({ input: stream }).on("line", line => logLines.push(line));
    }
    let stoppedAt: number | undefined;
    const exited = once(child, "exit").then(([code]) => (code as number | null) ?? undefined);
    return {
        instance,
        host,
        port: ports.callers,
        processId: child.pid!,
        logLines,
        exited,
        stoppedAt: () => stoppedAt,
        signal: signal => {
            stoppedAt ??= signal === "SIGTERM" ? performance.now() : undefined;
            child.kill(signal);
        },
        isReady: () =>
            fetch(`http://${host}:${ports.ready}/api/ready`, {
                signal: AbortSignal.timeout(probeTimeLimitMilliseconds),
            })
                .then(({ status }) => status === 200, () => false),
        [Symbol.asyncDispose]: async () => {
            child.kill("SIGKILL");
            await exited;
        },
    };
}
