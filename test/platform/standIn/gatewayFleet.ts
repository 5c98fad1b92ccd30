import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { findFreePorts } from "../../../src/standIn/index.js";
import { createDisposalStack } from "../../../src/utils/index.js";
import { waitUntil } from "./deployment.js";
import { type GatewayPorts, type GatewayProcess, startGatewayProcess } from "./gatewayProcess.js";

/** Gateways in processes of their own, of which one that was stopped is replaced. */
export interface GatewayFleet extends AsyncDisposable {
    /** Current process of each place. */
    readonly gateways: readonly GatewayProcess[];
    /** All processes, in the order of their start. */
    readonly all: readonly GatewayProcess[];
    /** Gateways that the probes have found ready. */
    readonly inRotation: ReadonlySet<GatewayProcess>;
    /** Lists the gateways that get new channels: those in rotation, or all if there are none. */
    listForChannels(): readonly GatewayProcess[];
    /**
     * Sends SIGTERM to a gateway in rotation unless it is the last one that runs. Another process takes its place when it
     * has exited.
     *
     * @param index - place of the gateway
     * @returns the gateway; undefined if it was not stopped
     */
    stop(index: number): GatewayProcess | undefined;
    /**
     * Ends the probes, and waits for the processes that were stopped. No more of them are started.
     *
     * @returns their exit codes; undefined for one that was ended by a signal
     */
    close(): Promise<ReadonlyMap<GatewayProcess, number | undefined>>;
    /**
     * Writes the logs of all processes.
     *
     * @param folder - folder for the logs
     * @param prefix - beginning of their names
     */
    writeLogs(folder: string, prefix: string): void;
}

/** Options of {@link startGatewayFleet}. */
export interface GatewayFleetOptions {
    readonly count: number;
    /** `host:port` of the store, which has a configuration. */
    readonly storeAddress: string;
    readonly drainTimeLimitSeconds: number;
}

const probeIntervalMilliseconds = 1_000;
/** Time within which a process serves after its start, also on a busy machine. */
const startTimeLimitMilliseconds = 40_000;
/** Probes without an answer in a row that take a gateway out of the rotation. */
const maximumMisses = 2;

/**
 * Starts gateways and waits until all are ready.
 *
 * @param options - number of gateways and their settings
 * @returns the gateways; disposing of them kills their processes
 */
export async function startGatewayFleet(
    { count, drainTimeLimitSeconds, storeAddress }: GatewayFleetOptions,
): Promise<GatewayFleet> {
    await using starting = createDisposalStack();
    const folder = mkdtempSync(join(tmpdir(), "gateways-"));
    starting.defer(() => rmSync(folder, { recursive: true, force: true }));
    const [callers, ready, relay, metrics] = await findFreePorts(4) as [number, number, number, number];
    const ports: GatewayPorts = { callers, ready, relay, metrics };
    const gateways: GatewayProcess[] = [];
    const all: GatewayProcess[] = [];
    const inRotation = new Set<GatewayProcess>();
    const misses = new Map<GatewayProcess, number>();
    let isOver = false;

    function start(index: number): void {
        gateways[index] = startGatewayProcess({
            instance: `gateway-${index + 1}-${all.length + 1}`,
            host: `127.0.0.${11 + index}`,
            ports,
            storeAddress,
            drainTimeLimitSeconds,
            folder,
        });
        all.push(gateways[index]);
    }

    async function probe(gateway: GatewayProcess): Promise<void> {
        const isReady = await gateway.isReady();
        const missed = isReady ? 0 : (misses.get(gateway) ?? 0) + 1;
        misses.set(gateway, missed);
        if (isReady && gateways.includes(gateway)) {
            inRotation.add(gateway);
        }
        else if (missed >= maximumMisses) {
            inRotation.delete(gateway);
        }
    }

    starting.defer(async () => {
        await Promise.all(all.map(gateway => gateway[Symbol.asyncDispose]()));
    });
    for (let index = 0; index < count; index++) {
        start(index);
    }
    for (const gateway of gateways) {
        await waitUntil("a gateway is ready", () => gateway.isReady(), startTimeLimitMilliseconds);
        inRotation.add(gateway);
    }
    const probes = setInterval(() => gateways.forEach(gateway => void probe(gateway)), probeIntervalMilliseconds);
    starting.defer(() => clearInterval(probes));
    const resources = starting.move();
    return {
        gateways,
        all,
        inRotation,
        listForChannels: () => inRotation.size > 0 ? [...inRotation] : gateways,
        stop: index => {
            const gateway = gateways[index]!;
            const running = gateways.filter(each => each.stoppedAt() === undefined).length;
            // A process has no handler for signals before it serves.
            if (!inRotation.has(gateway) || gateway.stoppedAt() !== undefined || running <= 1) {
                return undefined;
            }
            gateway.signal("SIGTERM");
            void gateway.exited.then(() => {
                inRotation.delete(gateway);
                if (!isOver) {
                    start(index);
                }
            });
            return gateway;
        },
        close: async () => {
            isOver = true;
            clearInterval(probes);
            const codes = new Map<GatewayProcess, number | undefined>();
            for (const gateway of all.filter(each => each.stoppedAt() !== undefined)) {
                codes.set(gateway, await gateway.exited);
            }
            return codes;
        },
        writeLogs: (target, prefix) =>
            all.forEach(({ instance, logLines }) =>
                writeFileSync(join(target, `${prefix}-${instance}.log`), logLines.join("\n"))
            ),
        [Symbol.asyncDispose]: async () => {
            isOver = true;
            await resources[Symbol.asyncDispose]();
        },
    };
}
