import { expect } from "earl";
import { describe, it } from "node:test";
import { sleep } from "../../src/utils/index.js";
import { call } from "./standIn/caller.js";
import { operatorConfiguration, startDeployment, type TestDeployment, waitUntil } from "./standIn/deployment.js";
import type { TestGateway } from "./standIn/gateway.js";
import { createServerRecord } from "./standIn/serverRecord.js";

/** Time in which a configuration has to be in force everywhere. */
const configurationDeadline = 2_000;

const [safeRoute] = operatorConfiguration.routes;

/** Writes a configuration with a route of its own beside the safe one. */
function configure({ store }: TestDeployment, version: number, accounts = operatorConfiguration.tenants): void {
    const routes = [safeRoute, { ...safeRoute, name: `route-${version}`, path_prefix: `/v${version}/` }];
    store.write("keyed.op", "config", { ...operatorConfiguration, version, routes, tenants: accounts });
}

function isInForce(gateway: Pick<TestGateway, "gatewayUrl">, version: number): Promise<boolean> {
    return call(gateway, `/v${version}/`).then(({ status }) => status === 200);
}

/** Lets the store go back to its copy, as it does in a drill. */
async function restore({ store }: TestDeployment, away = 300): Promise<void> {
    store.setFault("reset");
    await sleep(away);
    store.restore();
    store.setFault("none");
}

async function awaitInForce(gateways: readonly TestGateway[], version: number): Promise<number> {
    const startedAt = performance.now();
    for (const gateway of gateways) {
        await waitUntil(`configuration ${version} is in force`, () => isInForce(gateway, version));
    }
    return performance.now() - startedAt;
}

/** Brings configuration 3 into force, which has one key less than the copy of the store. */
async function withdrawKeyAfterCopy(deployment: TestDeployment): Promise<void> {
    await deployment.addRunner({ id: "i-1" });
    configure(deployment, 2, [{ name: "family", api_keys: ["key-1", "key-2"] }]);
    await awaitInForce([deployment], 2);
    deployment.store.backUp();
    configure(deployment, 3, [{ name: "family", api_keys: ["key-1"] }]);
    await awaitInForce([deployment], 3);
}

/** Reads what a gateway makes of configuration 3. */
async function readNewer(gateway: TestGateway): Promise<{ isInForce: boolean; withdrawnKey: number; }> {
    const { status } = await call(gateway, "/safe/", { headers: { authorization: "Token key-2" } });
    return { isInForce: await isInForce(gateway, 3), withdrawnKey: status };
}

describe("store that comes back from an older copy", () => {
    const ends = [
        { end: "behind", written: 0 },
        { end: "at", written: 3 },
        { end: "ahead of", written: 12 },
    ];
    for (const { end, written } of ends) {
        // Guards against a reader that waits for offsets which are given out again.
        it(`brings the next configuration into force, its end ${end} the position of the gateways`, async () => {
            await using deployment = await startDeployment();
            await deployment.addRunner({ id: "i-1" });
            const other = await deployment.addGateway("gateway-2");
            deployment.store.backUp();
            [2, 3, 4, 5].forEach(version => configure(deployment, version));
            await awaitInForce([deployment, other], 5);
            await restore(deployment);
            configure(deployment, 6);
            for (let count = 0; count < written; count++) {
                deployment.store.write("keyed.op", "other", { count });
            }
            expect(await awaitInForce([deployment, other], 6) <= configurationDeadline).toEqual(true);
        });
    }

    // Guards against a configuration that reverts, and a key that was withdrawn and is accepted again.
    it("reverts nothing that is newer than the copy", async () => {
        await using deployment = await startDeployment();
        await withdrawKeyAfterCopy(deployment);
        await restore(deployment);
        const endsAt = performance.now() + 1_500;
        while (performance.now() < endsAt) {
            expect(await readNewer(deployment)).toEqual({ isInForce: true, withdrawnKey: 401 });
            await sleep(20);
        }
    });

    it("lets no backend server that has left come back into use", async () => {
        await using deployment = await startDeployment();
        const left = await deployment.addRunner({ id: "i-1" });
        const draining = await deployment.addRunner({ id: "i-2" }, { sequence: 4 });
        await deployment.addRunner({ id: "i-3" });
        deployment.store.backUp();
        deployment.store.drop("keyed.servers", "i-1");
        await deployment.listRunner("i-2", draining.address, { sequence: 5, state: "draining" });
        const before = left.countArrivals() + draining.countArrivals();
        await restore(deployment);
        const endsAt = performance.now() + 1_500;
        while (performance.now() < endsAt) {
            expect((await call(deployment, "/safe/")).status).toEqual(200);
            await sleep(20);
        }
        expect(left.countArrivals() + draining.countArrivals() - before).toEqual(0);
    });

    it("keeps a backend server that is newer than the copy in use until it has written its entry again", async () => {
        await using deployment = await startDeployment();
        await deployment.addRunner({ id: "i-1" });
        deployment.store.backUp();
        deployment.store.drop("keyed.servers", "i-1");
        const added = await deployment.addRunner({ id: "i-2" });
        await restore(deployment);
        const check = async (): Promise<void> => {
            const endsAt = performance.now() + 1_200;
            while (performance.now() < endsAt) {
                expect((await call(deployment, "/safe/")).status).toEqual(200);
                await sleep(20);
            }
        };
        await check();
        deployment.store.write("keyed.servers", "i-2", createServerRecord(added.address, { sequence: 9 }));
        await sleep(1_500);
        await check();
    });

    // Guards against a gateway that starts just then and acts on the copy.
    it("leaves a gateway that starts just then no older configuration than the others", async () => {
        await using deployment = await startDeployment();
        await withdrawKeyAfterCopy(deployment);
        await restore(deployment);
        const started = await deployment.addGateway("gateway-2");
        expect(await readNewer(started)).toEqual({ isInForce: true, withdrawnKey: 401 });
    });

    // Guards against gateways that no longer know each other.
    it("gets the registrations that it has lost again", async () => {
        await using deployment = await startDeployment();
        await deployment.addRunner({ id: "i-1" });
        deployment.store.backUp();
        await deployment.addGateway("gateway-2");
        const registered = (): number => deployment.store.countRecords("keyed.goldcrestpoint-instances", "gateway-2");
        expect(registered()).toEqual(1);
        await restore(deployment);
        expect(registered()).toEqual(0);
        await waitUntil("the gateway has registered again", () => registered() === 1);
        await sleep(1_500);
        expect(registered()).toEqual(1);
    });

    // Guards against readers that are still catching up with one copy when the next one comes.
    it("may come back twice in a row", async () => {
        await using deployment = await startDeployment();
        await deployment.addRunner({ id: "i-1" });
        const other = await deployment.addGateway("gateway-2");
        deployment.store.backUp();
        [2, 3].forEach(version => configure(deployment, version));
        await awaitInForce([deployment, other], 3);
        await restore(deployment, 50);
        configure(deployment, 4);
        await restore(deployment, 50);
        configure(deployment, 5);
        expect(await awaitInForce([deployment, other], 5) <= configurationDeadline).toEqual(true);
    });
});
