import { expect } from "earl";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { describe, it } from "node:test";
import { findFreePorts } from "../../src/standIn/index.js";
import type { RandomSource } from "../../src/types/index.js";
import { createDisposalStack, createSeededRandom, sleep } from "../../src/utils/index.js";
import { operatorConfiguration, waitUntil } from "./standIn/deployment.js";
import { type GatewayPorts, startGatewayProcess } from "./standIn/gatewayProcess.js";
import { createServerRecord } from "./standIn/serverRecord.js";
import { type CallerKind, callUntil, type FinishedCall } from "./standIn/shutdownLoad.js";
import { startStoreStandIn } from "./standIn/storeStandIn.js";
import { startWorkRunner, type WorkRunner } from "./standIn/workRunner.js";

const firstSeed = Number(process.env["CONFIGURATION_SERIES_FIRST_SEED"] ?? 1);
const seeds = Number(process.env["CONFIGURATION_SERIES_SEEDS"] ?? 1);
const playMilliseconds = Number(process.env["CONFIGURATION_SERIES_SECONDS"] ?? 20) * 1_000;
const longestPause = Number(process.env["CONFIGURATION_SERIES_PAUSE"] ?? 1_000);
const logFolder = process.env["CONFIGURATION_SERIES_LOGS"];

const callers: Readonly<Record<CallerKind, number>> = {
    ordinary: 14,
    "slow-answer": 3,
    "slow-stream": 3,
    "silent-stream": 2,
    "slow-body": 4,
};

type Fields = Readonly<Record<string, unknown>>;

const base = {
    ...operatorConfiguration,
    routes: operatorConfiguration.routes.map(route => ({ ...route, timeout_ms: 8_000, target_latency_ms: 2_000 })),
    services: [{ ...operatorConfiguration.services[0], max_connections: 100 }],
    limits: { ...operatorConfiguration.limits, max_body_bytes: 4_194_304 },
};

function pick<Item>(random: RandomSource, items: readonly Item[]): Item {
    return items[Math.floor(random.next() * items.length)]!;
}

type Route = (typeof base.routes)[number];

function changeRoutes(random: RandomSource, fields: Fields, isChosen: (route: Route) => boolean = () => true): Fields {
    const changed = pick(random, base.routes.filter(isChosen));
    return { routes: base.routes.map(route => route === changed ? { ...route, ...fields } : route) };
}

function addRoutes(count: number): Fields {
    const added = Array.from({ length: count }, (...[, index]) => ({
        ...base.routes[0]!,
        name: `added-${index}`,
        path_prefix: `/added-${index}/`,
    }));
    return { routes: [...base.routes, ...added] };
}

const changeLimits = (fields: Fields): Fields => ({ limits: { ...base.limits, ...fields } });

/**
 * Changes of the configuration, which replace the one before. A stream that has begun can only be closed at the timeout
 * of its route, so that of streams stays as it is.
 */
const configurations: Readonly<Record<string, (random: RandomSource) => Fields>> = {
    standard: () => ({}),
    "route dropped": random => ({ routes: base.routes.filter(route => route !== pick(random, base.routes)) }),
    "route moved": random => changeRoutes(random, { path_prefix: "/moved/" }),
    "host moved": random => changeRoutes(random, { host: "moved.example" }),
    "short timeout": random =>
        changeRoutes(random, { timeout_ms: pick(random, [1, 50, 500]) }, ({ kind }) => kind !== "streaming"),
    "short target": random => changeRoutes(random, { target_latency_ms: pick(random, [1, 50, 500]) }),
    "more attempts": random => changeRoutes(random, { max_attempts: 3, priority: 9 }),
    "no attempts": random => changeRoutes(random, { max_attempts: 0 }),
    "unknown service": random => changeRoutes(random, { service: "missing" }),
    "no destination": random => changeRoutes(random, { service: undefined, traffic_split: [] }),
    "service dropped": () => ({ services: [] }),
    "one connection": () => ({ services: [{ ...base.services[0], max_connections: 1 }] }),
    "keys revoked": () => ({ tenants: [{ name: "family", api_keys: [] }] }),
    "tenants of other types": () => ({ tenants: 7 }),
    "400 routes": () => addRoutes(400),
    "4,000 routes": () => addRoutes(4_000),
    "small bodies": () => changeLimits({ max_body_bytes: 1_000 }),
    "small heads": () => changeLimits({ max_header_bytes: 1 }),
    "short idle limit": () => changeLimits({ idle_timeout_ms: 500 }),
    "short head limit": () => changeLimits({ header_timeout_ms: 200 }),
    "odd limits": random => changeLimits({ idle_timeout_ms: pick<unknown>(random, [0, -1, 1e308, "5", undefined]) }),
    "limits missing": () => ({ limits: undefined }),
};

interface ListChange {
    readonly write: (fields: Fields) => void;
    readonly drop: () => void;
    readonly random: RandomSource;
}

let starts = 1;

/** Changes of the entry of a backend server. */
const listChanges: readonly ((change: ListChange) => void)[] = [
    ({ drop, write }) => {
        drop();
        setTimeout(() => write({}), 1_500);
    },
    ({ write }) => {
        starts++;
        write({ born: starts });
    },
    ({ write }) => {
        write({ state: "draining" });
        setTimeout(() => write({}), 1_500);
    },
    ({ write, random }) => {
        write({ slots: pick<unknown>(random, [1, 0, -3, "many"]) });
        setTimeout(() => write({}), 1_500);
    },
];

interface Outcome {
    readonly tally: Readonly<Record<string, number>>;
    readonly unanswered: readonly string[];
    readonly exceptions: readonly string[];
}

function describeCall({ attemptId, path, result }: FinishedCall, runners: readonly WorkRunner[]): string {
    const runs = runners.flatMap(({ work }) => work).filter(work => work.attemptId === attemptId).length;
    return `${attemptId} ${path}: ${result.ending}, status ${result.status}, ${result.bodyBytes} bytes after ` +
        `${Math.round(result.milliseconds)} ms, ${runs} runs`;
}

async function play(seed: number): Promise<Outcome> {
    await using stack = createDisposalStack();
    const random = createSeededRandom(seed);
    const folder = mkdtempSync(join(tmpdir(), "configurations-"));
    stack.defer(() => rmSync(folder, { recursive: true, force: true }));
    const store = stack.use(await startStoreStandIn());
    const [callersPort, ready, relay, metrics] = await findFreePorts(4) as [number, number, number, number];
    const ports: GatewayPorts = { callers: callersPort, ready, relay, metrics };
    const runners: WorkRunner[] = [];
    const writeRunner = (number: number, fields: Fields): void =>
        store.write(
            "keyed.servers",
            `i-${number}`,
            createServerRecord(runners[number - 1]!.address, { slots: 5, ...fields }),
        );
    for (const number of [1, 2, 3]) {
        runners.push(stack.use(await startWorkRunner(`i-${number}`)));
        writeRunner(number, {});
    }
    store.write("keyed.op", "config", base);
    const gateway = stack.use(startGatewayProcess({
        instance: "gateway-1",
        host: "127.0.0.1",
        ports,
        storeAddress: store.address,
        drainTimeLimitSeconds: 8,
        folder,
    }));
    await waitUntil("the gateway is ready", () => gateway.isReady());
    const endsAt = performance.now() + playMilliseconds;
    const load = Object.entries(callers).flatMap(([kind, count]) =>
        Array.from({ length: count }, (...[, number]) =>
            callUntil({
                kind: kind as CallerKind,
                name: `${kind}-${number}`,
                random: createSeededRandom(seed * 1_000 + number * 10 + kind.length),
                listGateways: () => [gateway],
                isOver: () => performance.now() >= endsAt,
            }))
    );
    let version = 1;
    const applied: string[] = [];
    while (performance.now() < endsAt) {
        await sleep(50 + random.next() * (longestPause - 50));
        // Every other configuration is a sound one, so that requests are served in between.
        version++;
        const name = version % 2 === 0 ? pick(random, Object.keys(configurations)) : "standard";
        store.write("keyed.op", "config", { ...base, ...configurations[name]!(random), version });
        applied.push(`${performance.now()} ${version} ${name}`);
        if (random.next() < 0.2) {
            const number = 1 + Math.floor(random.next() * runners.length);
            const change = { random, drop: () => store.drop("keyed.servers", `i-${number}`) };
            pick(random, listChanges)({ ...change, write: fields => writeRunner(number, fields) });
        }
    }
    const calls = (await Promise.all(load)).flat();
    const tally: Record<string, number> = {};
    for (const { result: { ending, status } } of calls) {
        const key = `${ending} ${status}`;
        tally[key] = (tally[key] ?? 0) + 1;
    }
    const unanswered = calls.filter(({ result: { ending } }) => ending !== "whole").map(call =>
        describeCall(call, runners)
    );
    if (logFolder !== undefined) {
        writeFileSync(join(logFolder, `${seed}.log`), gateway.logLines.join("\n"));
        writeFileSync(join(logFolder, `${seed}.txt`), [...applied, ...unanswered].join("\n"));
    }
    return { tally, unanswered, exceptions: gateway.logLines.filter(line => line.includes("\"internal\"")) };
}

describe("gateway whose configuration and backend servers change all the time", () => {
    for (let seed = firstSeed; seed < firstSeed + seeds; seed++) {
        // Guards against a connection that is closed without an answer or a refusal for its request.
        it(`answers or refuses every whole request, seed ${seed}`, async () => {
            const { exceptions, tally, unanswered } = await play(seed);
            console.log(`seed ${seed}: ${JSON.stringify(tally)}`);
            unanswered.forEach(line => console.log(line));
            expect(exceptions).toEqual([]);
            expect(unanswered).toEqual([]);
        });
    }
});
