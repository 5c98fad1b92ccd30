import { expect } from "earl";
import { describe, it } from "node:test";
import type { RandomSource } from "../../src/types/index.js";
import { createSeededRandom } from "../../src/utils/index.js";
import { call, type GatewayResponse } from "./standIn/caller.js";
import { type CrashingFleet, startCrashingFleet } from "./standIn/crashingFleet.js";
import { startDeployment, type TestDeployment, waitUntil } from "./standIn/deployment.js";
import { type EndlessPart, startEndlessRunner } from "./standIn/endlessRunner.js";
import type { TestGateway } from "./standIn/gateway.js";
import { createServerRecord } from "./standIn/serverRecord.js";

const firstSeed = Number(process.env["CRASH_FIRST_SEED"] ?? 1);
const seeds = Number(process.env["CRASH_SEEDS"] ?? 3);
const settleMilliseconds = 3_000;
const allowedRepeats = 3;
const steps = 30;
const callers = 8;
const fatalBodies = ["fatal-1", "fatal-2"];
const endlessParts: readonly EndlessPart[] = ["status-line", "chunks", "slow-body", "chunk-extension", "trailers"];
const paths = ["/safe/", "/unsafe/"] as const;

interface Soak {
    readonly random: RandomSource;
    readonly deployment: TestDeployment;
    readonly fleet: CrashingFleet;
    readonly gateways: Set<TestGateway>;
    readonly path: string;
    started: number;
}

function pause(milliseconds: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, milliseconds));
}

function pick<Item>(random: RandomSource, items: readonly Item[]): Item {
    return items[Math.floor(random.next() * items.length)]!;
}

function send({ gateways, path, random }: Soak, body: string): Promise<GatewayResponse | undefined> {
    // The connection may be refused or reset if the gateway shuts down.
    return call(pick(random, [...gateways]), path, { method: "POST", body }).catch(() => undefined);
}

const actions: readonly ((soak: Soak) => unknown)[] = [
    ...fatalBodies.flatMap(body => [0, 1, 2].map(() => (soak: Soak) => void send(soak, body))),
    ({ fleet }) => fleet.crashOne(),
    ({ deployment, random }) => deployment.store.setFault(pick(random, ["none", "busy", "reset", "silent"])),
    async soak => {
        if (soak.gateways.size < 4) {
            soak.deployment.store.setFault("none");
            soak.gateways.add(await soak.deployment.addGateway(`gateway-${++soak.started}`));
        }
    },
    ({ deployment, gateways, random }) => {
        const others = [...gateways].filter(gateway => gateway !== deployment);
        if (others.length > 1) {
            const leaving = pick(random, others);
            gateways.delete(leaving);
            void leaving.drain();
        }
    },
    async ({ deployment, random }) => {
        const { address } = deployment.stack.use(await startEndlessRunner(pick(random, endlessParts)));
        deployment.store.write("keyed.servers", "endless", createServerRecord(address, { born: Date.now() }));
    },
    ({ deployment }) => deployment.store.drop("keyed.servers", "endless"),
];

async function startSoak(random: RandomSource): Promise<Soak> {
    const deployment = await startDeployment();
    const fleet = await startCrashingFleet(deployment, {
        count: 6 + Math.floor(random.next() * 4),
        isFatal: body => fatalBodies.includes(body),
        workMilliseconds: 30,
        downMilliseconds: 1_500,
        recordRemovalMilliseconds: 3_600,
    });
    const soak = { random, deployment, fleet, gateways: new Set<TestGateway>([deployment]), path: "", started: 2 };
    soak.gateways.add(await deployment.addGateway("gateway-2"));
    return { ...soak, path: pick(random, paths) };
}

/** Sends harmless requests until it is stopped, with its own random numbers, so that a seed keeps its actions. */
function startCaller(all: Soak, index: number): () => Promise<(readonly [string, GatewayResponse | undefined])[]> {
    const answers: (readonly [string, GatewayResponse | undefined])[] = [];
    const soak = { ...all, random: createSeededRandom(index) };
    let stopped = false;
    const finished = (async () => {
        for (let count = 0; !stopped; count++) {
            const body = count % 2 === 0 ? "popular" : `caller-${index}-${count}`;
            answers.push([body, await send(soak, body)]);
            await pause(10);
        }
    })();
    return async () => {
        stopped = true;
        await finished;
        return answers;
    };
}

/** Counts the runs of a fatal request after all gateways must know of the third backend server that it crashed. */
function countLateRuns({ crashes, runs }: CrashingFleet, fatal: string): number {
    const third = crashes.filter(({ body }) => body === fatal)[2];
    return third === undefined ?
        0 :
        runs.filter(({ at, body }) => body === fatal && at > third.at + settleMilliseconds).length;
}

async function isServing(soak: Soak): Promise<boolean> {
    const answers = await Promise.all(Array.from({ length: 8 }, (...[, index]) => send(soak, `last-${index}`)));
    return answers.every(answer => answer?.status === 200);
}

describe("gateways that receive requests which crash backend servers, among other faults", () => {
    for (let seed = firstSeed; seed < firstSeed + seeds; seed++) {
        // Guards against containment that fails when gateways, store or other backend servers fail at the same time.
        it(`stop forwarding them and serve all other requests (seed ${seed})`, async () => {
            const soak = await startSoak(createSeededRandom(seed));
            await using deployment = soak.deployment;
            const stops = Array.from({ length: callers }, (...[, index]) => startCaller(soak, index));
            for (let step = 0; step < steps; step++) {
                await pick(soak.random, actions)(soak);
                await pause(soak.random.next() * 500);
            }
            const answersToOthers = (await Promise.all(stops.map(stop => stop()))).flat();
            expect(fatalBodies.filter(body => countLateRuns(soak.fleet, body) > allowedRepeats)).toEqual([]);
            const received = answersToOthers.filter(([, answer]) => answer !== undefined);
            expect(received.filter(([, answer]) => answer!.body.includes("crashes-backend-servers"))).toEqual([]);
            const served = received.filter(([, answer]) => answer!.status === 200);
            expect(served.filter(([body, answer]) => !answer!.body.endsWith(`:${body}`))).toEqual([]);
            deployment.store.setFault("none");
            deployment.store.drop("keyed.servers", "endless");
            await waitUntil("harmless requests are served", () => isServing(soak));
        });
    }
});
