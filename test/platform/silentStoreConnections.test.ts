import { expect } from "earl";
import { describe, it } from "node:test";
import { createDisposalStack, sleep } from "../../src/utils/index.js";
import { call } from "./standIn/caller.js";
import { operatorConfiguration, waitUntil } from "./standIn/deployment.js";
import { startTestGateway, type TestGateway } from "./standIn/gateway.js";
import { startHeldLink } from "./standIn/heldLink.js";
import { startRunnerStandIn } from "./standIn/runnerStandIn.js";
import { createServerRecord } from "./standIn/serverRecord.js";
import { startStoreStandIn } from "./standIn/storeStandIn.js";

/** `settle_window_ms` and `config_deadline_ms` of the installations, in milliseconds. */
const bounds = { settleWindow: 3_000, configurationDeadline: 2_000 };

/** Measures the time until all gateways serve a path, in milliseconds. */
async function measureUntilServed(gateways: readonly TestGateway[], path: string): Promise<number> {
    const startedAt = performance.now();
    await Promise.all(
        gateways.map(gateway => waitUntil(`${path} is served`, async () => (await call(gateway, path)).status === 200)),
    );
    return performance.now() - startedAt;
}

describe("gateways whose connections to the store go silent for good", () => {
    const cases = [1, 3].flatMap(count => [100, bounds.settleWindow].map(changeAfter => ({ count, changeAfter })));

    for (const { changeAfter, count } of cases) {
        // Guards against reads that wait at silent connections, a long poll for 20 s, while new connections work.
        it(`apply a change ${changeAfter} ms later in time: ${count} of them`, async () => {
            await using stack = createDisposalStack();
            const store = stack.use(await startStoreStandIn());
            const runner = stack.use(await startRunnerStandIn({ id: "i-1" }));
            store.write("keyed.op", "config", operatorConfiguration);
            store.write("keyed.servers", "i-1", createServerRecord(runner.address));
            const link = stack.use(await startHeldLink(store.address, "lost"));
            const gateways: TestGateway[] = [];
            for (let index = 1; index <= count; index++) {
                const gateway = await startTestGateway({ instance: `gateway-${index}`, storeAddress: link.address });
                gateways.push(stack.use(gateway));
            }
            await measureUntilServed(gateways, "/safe/");
            await sleep(2_500);
            link.silence();
            await sleep(changeAfter);
            const routes = [
                ...operatorConfiguration.routes,
                { ...operatorConfiguration.routes[0], name: "added", path_prefix: "/added/" },
            ];
            store.write("keyed.op", "config", { ...operatorConfiguration, version: 2, routes });
            const allowed = Math.max(bounds.configurationDeadline, bounds.settleWindow - changeAfter);
            expect(await measureUntilServed(gateways, "/added/") <= allowed).toEqual(true);
        });
    }

    // Guards against checks of every gateway, which would be hundreds of calls a second at the design size.
    it("were checked by one of them at a time", async () => {
        await using stack = createDisposalStack();
        const store = stack.use(await startStoreStandIn());
        store.write("keyed.op", "config", operatorConfiguration);
        store.write("keyed.servers", "i-1", createServerRecord("127.0.0.1:9"));
        for (let index = 1; index <= 4; index++) {
            stack.use(await startTestGateway({ instance: `gateway-${index}`, storeAddress: store.address }));
        }
        await sleep(2_000);
        const before = store.countImmediateReads("keyed.op");
        const seconds = 5;
        await sleep(seconds * 1_000);
        const checks = store.countImmediateReads("keyed.op") - before;
        const interval = bounds.configurationDeadline / 2 / 1_000;
        expect(checks >= 3 && checks <= seconds / interval + 1).toEqual(true);
    });
});
