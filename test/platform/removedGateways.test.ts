import { expect } from "earl";
import { describe, it } from "node:test";
import { createDisposalStack, sleep } from "../../src/utils/index.js";
import { operatorConfiguration, waitUntil } from "./standIn/deployment.js";
import { startTestGateway, type TestGateway } from "./standIn/gateway.js";
import { callAtRate } from "./standIn/pacedCalls.js";
import { type RunnerStandIn, startRunnerStandIn } from "./standIn/runnerStandIn.js";
import { createServerRecord } from "./standIn/serverRecord.js";
import { registerSilentGateways } from "./standIn/silentGateways.js";
import { startStoreStandIn, type StoreStandIn } from "./standIn/storeStandIn.js";

/** `drain_ms` of the installations. */
const drainTime = 2_000;

/** Two gateways of the highest ranks, and two backend servers. */
interface RemainingGateways extends AsyncDisposable {
    readonly store: StoreStandIn;
    readonly gateways: readonly TestGateway[];
    readonly runners: readonly RunnerStandIn[];
}

async function startRemaining(
    removed: number,
    flags: Readonly<Record<string, string>> = {},
): Promise<RemainingGateways> {
    await using started = createDisposalStack();
    const store = started.use(await startStoreStandIn());
    store.write("keyed.op", "config", operatorConfiguration);
    started.use(await registerSilentGateways(store, { count: removed, prefix: "gateway-0-" }));
    const runners: RunnerStandIn[] = [];
    for (const id of ["i-1", "i-2"]) {
        const runner = started.use(await startRunnerStandIn({ id }));
        store.write("keyed.servers", id, createServerRecord(runner.address));
        runners.push(runner);
    }
    const gateways: TestGateway[] = [];
    for (const instance of ["gateway-1", "gateway-2"]) {
        gateways.push(started.use(await startTestGateway({ instance, storeAddress: store.address, flags })));
    }
    for (const { readyUrl } of gateways) {
        await waitUntil("the gateway is ready", async () => (await fetch(readyUrl)).status === 200);
    }
    const stack = started.move();
    return { store, gateways, runners, [Symbol.asyncDispose]: () => stack[Symbol.asyncDispose]() };
}

function countOutdated({ logLines }: TestGateway): number {
    return logLines.filter(line => line.includes("list of backend servers outdated")).length;
}

describe("gateways that remain after others were removed for good", () => {
    for (const removed of [4, 7, 40]) {
        // Guards against backend servers that stay in use after they have left, since removed gateways keep their rank.
        it(`stop using a backend server that leaves: ${removed} were removed`, async () => {
            await using remaining = await startRemaining(removed);
            const { gateways, runners, store } = remaining;
            await sleep(5_000);
            expect(gateways.map(countOutdated)).toEqual([0, 0]);
            store.drop("keyed.servers", "i-2");
            await sleep(drainTime);
            const endsAt = performance.now();
            for (const gateway of gateways) {
                const answers = await callAtRate(gateway, { path: "/safe/", rate: 40, duration: 1_000 });
                expect(answers.some(({ status }) => status === 200)).toEqual(true);
            }
            expect(runners[1]!.arrivedAt.filter(at => at > endsAt)).toEqual([]);
        });
    }

    // Guards against places and connections that are divided among gateways which no longer exist.
    it("drop the registrations of the others, and keep their own", async () => {
        const removed = 5;
        await using remaining = await startRemaining(removed, {
            "gateway.goneAfterMilliseconds": "2000",
            "gateway.settleTimeMilliseconds": "1000",
        });
        const { store } = remaining;
        const topic = "keyed.goldcrestpoint-instances";
        store.setFault("busy");
        await sleep(3_500);
        store.setFault("none");
        const countDropped = (): number =>
            Array.from({ length: removed }, (...[, index]) => `gateway-0-000${index + 1}`)
                .filter(key => store.countRecords(topic, key) > 1).length;
        await waitUntil("all of them are dropped", () => countDropped() === removed);
        await sleep(1_000);
        expect(["gateway-1", "gateway-2"].map(key => store.countRecords(topic, key))).toEqual([1, 1]);
        store.drop(topic, "gateway-2");
        await waitUntil("the gateway has registered itself again", () => store.countRecords(topic, "gateway-2") === 3);
    });

    // Guards against several readers of the list at the same time, which would be hundreds of calls at the design size.
    it("read the list of backend servers from the log one at a time", async () => {
        await using remaining = await startRemaining(7);
        await sleep(3_000);
        const before = remaining.store.countImmediateReads("keyed.servers");
        const seconds = 4;
        await sleep(seconds * 1_000);
        const reads = remaining.store.countImmediateReads("keyed.servers") - before;
        expect(reads >= seconds * 2 && reads <= seconds * 2.5 + 2).toEqual(true);
    });
});
