import { expect } from "earl";
import { writeFileSync } from "node:fs";
import { join } from "node:path";
import { describe, it } from "node:test";
import type { RandomSource } from "../../src/types/index.js";
import { createDisposalStack, createSeededRandom, sleep } from "../../src/utils/index.js";
import { operatorConfiguration } from "./standIn/deployment.js";
import { type GatewayFleet, startGatewayFleet } from "./standIn/gatewayFleet.js";
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
    readonly fleet: GatewayFleet;
    readonly configure: () => void;
}

function createConfigurator(random: RandomSource, store: StoreStandIn): () => void {
    let version = 1;
    return () => {
        version++;
        const standard = operatorConfiguration.routes.map(route => ({
            ...route,
            timeout_ms: 8_000,
            target_latency_ms: 2_000,
        }));
        const added = { ...standard[0]!, name: `added-${version}`, path_prefix: `/added-${version}/` };
        const maximumConnections = 100 + Math.floor(random.next() * 20);
        store.write("keyed.op", "config", {
            ...operatorConfiguration,
            version,
            routes: [...standard, ...(random.next() < 0.5 ? [added] : [])],
            services: [{ ...operatorConfiguration.services[0], max_connections: maximumConnections }],
            limits: { ...operatorConfiguration.limits, max_body_bytes: 4_194_304 },
        });
    };
}

function stop({ fleet, random }: Play): void {
    const gateway = fleet.stop(Math.floor(random.next() * gatewayCount));
    if (gateway !== undefined && random.next() < secondSignalShare) {
        const second = random.next() < 0.5 ? "SIGTERM" : "SIGHUP";
        setTimeout(() => gateway.signal(second), random.next() * 4_000);
    }
}

const actions: readonly ((play: Play) => void)[] = [
    stop,
    stop,
    play => {
        stop(play);
        setTimeout(() => stop(play), play.random.next() * 2_000);
    },
    ({ configure }) => configure(),
    ({ fleet: { inRotation }, random }) =>
        [...inRotation][Math.floor(random.next() * inRotation.size)]?.signal("SIGHUP"),
];

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
    const store = stack.use(await startStoreStandIn());
    const runners: WorkRunner[] = [];
    for (let number = 1; number <= runnerCount; number++) {
        const runner = stack.use(await startWorkRunner(`i-${number}`));
        runners.push(runner);
        store.write("keyed.servers", `i-${number}`, createServerRecord(runner.address, { slots: 8 }));
    }
    const configure = createConfigurator(random, store);
    configure();
    const fleet = stack.use(
        await startGatewayFleet({ count: gatewayCount, storeAddress: store.address, drainTimeLimitSeconds }),
    );
    await sleep(3_000);
    const endsAt = performance.now() + playMilliseconds;
    const load = Object.entries(callers).flatMap(([kind, count]) =>
        Array.from({ length: count }, (...[, number]) =>
            callUntil({
                kind: kind as CallerKind,
                name: `${kind}-${number}`,
                random: createSeededRandom(seed * 1_000 + number * 10 + kind.length),
                listGateways: () => fleet.listForChannels(),
                isOver: () => performance.now() >= endsAt,
            }))
    );
    while (hasSignals && performance.now() < endsAt) {
        await sleep(1_000 + random.next() * 2_500);
        actions[Math.floor(random.next() * actions.length)]!({ random, fleet, configure });
    }
    const calls = (await Promise.all(load)).flat();
    const exitCodes = await fleet.close();
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
        fleet.writeLogs(logFolder, `${seed}`);
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
