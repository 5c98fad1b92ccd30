import { expect } from "earl";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { describe, it } from "node:test";
import { findFreePorts } from "../../src/standIn/index.js";
import type { RandomSource } from "../../src/types/index.js";
import { createDisposalStack, createSeededRandom, sleep } from "../../src/utils/index.js";
import { operatorConfiguration, waitUntil } from "./standIn/deployment.js";
import { type GatewayPorts, type GatewayProcess, startGatewayProcess } from "./standIn/gatewayProcess.js";
import { createServerRecord } from "./standIn/serverRecord.js";
import { type CallerKind, callUntil, type FinishedCall, judge, type Verdict } from "./standIn/shutdownLoad.js";
import { startStoreStandIn, type StoreStandIn } from "./standIn/storeStandIn.js";
import { startWorkRunner, type WorkRunner } from "./standIn/workRunner.js";

const firstSeed = Number(process.env["SHUTDOWN_FIRST_SEED"] ?? 1);
const seeds = Number(process.env["SHUTDOWN_SEEDS"] ?? 1);
const playMilliseconds = Number(process.env["SHUTDOWN_SECONDS"] ?? 25) * 1_000;
const logFolder = process.env["SHUTDOWN_LOGS"];
const hasSignals = process.env["SHUTDOWN_SIGNALS"] !== "0";
const secondSignalShare = Number(process.env["SHUTDOWN_SECOND_SIGNALS"] ?? 0.4);

const drainTimeLimitSeconds = 8;
const gatewayCount = 3;
const runnerCount = 4;
const callers: Readonly<Record<CallerKind, number>> = {
    ordinary: 14,
    "slow-answer": 3,
    "slow-stream": 3,
    "silent-stream": 2,
    "slow-body": 2,
};

interface Play {
    readonly random: RandomSource;
    readonly store: StoreStandIn;
    readonly gateways: GatewayProcess[];
    readonly startGateway: (index: number) => void;
    /** Gateways that get new channels. */
    readonly inRotation: Set<GatewayProcess>;
    readonly all: GatewayProcess[];
    version: number;
}

function configure(play: Play): void {
    play.version++;
    const { random, version } = play;
    const standard = operatorConfiguration.routes.map(route => ({
        ...route,
        timeout_ms: 8_000,
        target_latency_ms: 2_000,
    }));
    const added = { ...standard[0]!, name: `added-${version}`, path_prefix: `/added-${version}/` };
    const maximumConnections = 100 + Math.floor(random.next() * 20);
    play.store.write("keyed.op", "config", {
        ...operatorConfiguration,
        version,
        routes: [...standard, ...(random.next() < 0.5 ? [added] : [])],
        services: [{ ...operatorConfiguration.services[0], max_connections: maximumConnections }],
        limits: { ...operatorConfiguration.limits, max_body_bytes: 4_194_304 },
    });
}

function stop(play: Play): void {
    const { gateways, inRotation, random } = play;
    const index = Math.floor(random.next() * gateways.length);
    const gateway = gateways[index]!;
    const running = gateways.filter(each => each.stoppedAt() === undefined).length;
    // A process has no handler for signals before it serves.
    if (!inRotation.has(gateway) || gateway.stoppedAt() !== undefined || running <= 1) {
        return;
    }
    gateway.signal("SIGTERM");
    if (random.next() < secondSignalShare) {
        const second = random.next() < 0.5 ? "SIGTERM" : "SIGHUP";
        setTimeout(() => gateway.signal(second), random.next() * 4_000);
    }
    void gateway.exited.then(() => {
        inRotation.delete(gateway);
        play.startGateway(index);
    });
}

const actions: readonly ((play: Play) => void)[] = [
    stop,
    stop,
    play => {
        stop(play);
        setTimeout(() => stop(play), play.random.next() * 2_000);
    },
    configure,
    ({ inRotation, random }) => [...inRotation][Math.floor(random.next() * inRotation.size)]?.signal("SIGHUP"),
];

/** Asks each gateway every second whether it is ready; two misses in a row take it out of the rotation. */
function startProbes({ gateways, inRotation }: Play): NodeJS.Timeout {
    const misses = new Map<GatewayProcess, number>();
    return setInterval(() => {
        for (const gateway of gateways) {
            void gateway.isReady().then(isReady => {
                const count = isReady ? 0 : (misses.get(gateway) ?? 0) + 1;
                misses.set(gateway, count);
                if (isReady && gateways.includes(gateway)) {
                    inRotation.add(gateway);
                }
                else if (count >= 2) {
                    inRotation.delete(gateway);
                }
            });
        }
    }, 1_000);
}

type Tally = Record<Verdict, number>;

interface Outcome {
    readonly tally: Tally;
    readonly lost: readonly string[];
    readonly exitCodes: readonly (number | undefined)[];
}

function describeCall(
    { attemptId, gateway, kind, path, result, startedAt }: FinishedCall,
    exitCode: number | undefined,
): string {
    const stoppedAt = gateway.stoppedAt();
    const endedAt = startedAt + result.milliseconds;
    const sinceSignal = stoppedAt === undefined ? "no SIGTERM" : `${Math.round(endedAt - stoppedAt)} ms after SIGTERM`;
    return `${kind} ${attemptId} ${path}: ${result.ending}, status ${result.status}, ${result.bodyBytes} bytes ` +
        `after ${Math.round(result.milliseconds)} ms, ${sinceSignal}, exit code ${exitCode}`;
}

async function play(seed: number): Promise<Outcome> {
    await using stack = createDisposalStack();
    const random = createSeededRandom(seed);
    const folder = mkdtempSync(join(tmpdir(), "shutdown-"));
    stack.defer(() => rmSync(folder, { recursive: true, force: true }));
    const store = stack.use(await startStoreStandIn());
    const [callersPort, ready, relay, metrics] = await findFreePorts(4) as [number, number, number, number];
    const ports: GatewayPorts = { callers: callersPort, ready, relay, metrics };
    const runners: WorkRunner[] = [];
    for (let number = 1; number <= runnerCount; number++) {
        const runner = stack.use(await startWorkRunner(`i-${number}`));
        runners.push(runner);
        store.write("keyed.servers", `i-${number}`, createServerRecord(runner.address, { slots: 8 }));
    }
    const gateways: GatewayProcess[] = [];
    let isOver = false;
    let started = 0;
    const all: GatewayProcess[] = [];
    const current: Play = {
        random,
        store,
        gateways,
        all,
        inRotation: new Set(),
        version: 1,
        startGateway: index => {
            if (!isOver) {
                started++;
                gateways[index] = stack.use(startGatewayProcess({
                    instance: `gateway-${index + 1}-${started}`,
                    host: `127.0.0.${11 + index}`,
                    ports,
                    storeAddress: store.address,
                    drainTimeLimitSeconds,
                    folder,
                }));
                all.push(gateways[index]);
            }
        },
    };
    configure(current);
    for (let index = 0; index < gatewayCount; index++) {
        current.startGateway(index);
    }
    for (const gateway of gateways) {
        await waitUntil("a gateway is ready", () => gateway.isReady());
        current.inRotation.add(gateway);
    }
    await sleep(3_000);
    const probes = startProbes(current);
    const endsAt = performance.now() + playMilliseconds;
    const load = Object.entries(callers).flatMap(([kind, count]) =>
        Array.from({ length: count }, (...[, number]) =>
            callUntil({
                kind: kind as CallerKind,
                name: `${kind}-${number}`,
                random: createSeededRandom(seed * 1_000 + number * 10 + kind.length),
                listGateways: () => current.inRotation.size > 0 ? [...current.inRotation] : gateways,
                isOver: () => performance.now() >= endsAt,
            }))
    );
    while (hasSignals && performance.now() < endsAt) {
        await sleep(1_000 + random.next() * 2_500);
        actions[Math.floor(random.next() * actions.length)]!(current);
    }
    const calls = (await Promise.all(load)).flat();
    isOver = true;
    clearInterval(probes);
    const exitCodes = new Map<GatewayProcess, number | undefined>();
    for (const gateway of all.filter(each => each.stoppedAt() !== undefined)) {
        exitCodes.set(gateway, await gateway.exited);
    }
    const tally: Tally = { whole: 0, refused: 0, failed: 0, late: 0, outlasted: 0, "not-run": 0, lost: 0 };
    const lost: string[] = [];
    for (const call of calls) {
        const verdict = judge(call, runners, drainTimeLimitSeconds * 1_000);
        tally[verdict]++;
        if (verdict === "lost" || verdict === "failed" || verdict === "late" || verdict === "outlasted") {
            lost.push(`${verdict}: ${describeCall(call, exitCodes.get(call.gateway))}`);
        }
    }
    if (logFolder !== undefined) {
        all.forEach((gateway, index) =>
            writeFileSync(join(logFolder, `${seed}-${index}.log`), gateway.logLines.join("\n"))
        );
        writeFileSync(join(logFolder, `${seed}.txt`), lost.join("\n"));
    }
    return { tally, lost, exitCodes: [...exitCodes.values()] };
}

describe("gateways that are stopped and configured anew under load", () => {
    for (let seed = firstSeed; seed < firstSeed + seeds; seed++) {
        // Guards against an answer in progress that is cut off because its gateway shuts down.
        it(`complete every answer that a backend server gave, seed ${seed}`, async () => {
            const { exitCodes, lost, tally } = await play(seed);
            console.log(`seed ${seed}: ${JSON.stringify(tally)}, exit codes ${exitCodes.join(" ")}`);
            lost.forEach(line => console.log(line));
            expect(tally.lost).toEqual(0);
            expect(tally.whole).toBeGreaterThan(tally.refused);
            expect(exitCodes.every(code => code === 0)).toEqual(true);
        });
    }
});
