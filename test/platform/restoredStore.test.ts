import { expect } from "earl";
import { describe, it } from "node:test";
import { sleep } from "../../src/utils/index.js";
import { call } from "./standIn/caller.js";
import { operatorConfiguration, startDeployment, type TestDeployment, waitUntil } from "./standIn/deployment.js";
import type { TestGateway } from "./standIn/gateway.js";
import { createServerRecord } from "./standIn/serverRecord.js";

/** Time in milliseconds within which all gateways must apply a configuration. */
const configurationDeadline = 2_000;

const [safeRoute] = operatorConfiguration.routes;

/** Writes a configuration that has the safe route and one route whose path contains the version. */
function configure({ store }: TestDeployment, version: number, accounts = operatorConfiguration.tenants): void {
    const routes = [safeRoute, { ...safeRoute, name: `route-${version}`, path_prefix: `/v${version}/` }];
    store.write("keyed.op", "config", { ...operatorConfiguration, version, routes, tenants: accounts });
}

function isInForce(gateway: Pick<TestGateway, "gatewayUrl">, version: number): Promise<boolean> {
    return call(gateway, `/v${version}/`).then(({ status }) => status === 200);
}

/** Restores the store from its backup after an outage, as in a disaster recovery drill. */
async function restore({ store }: TestDeployment, outageMilliseconds = 300): Promise<void> {
    store.setFault("reset");
    await sleep(outageMilliseconds);
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

/** Applies configuration 3, which lacks a key that the backup of the store contains. */
async function withdrawKeyAfterCopy(deployment: TestDeployment): Promise<void> {
    await deployment.addRunner({ id: "i-1" });
    configure(deployment, 2, [{ name: "family", api_keys: ["key-1", "key-2"] }]);
    await awaitInForce([deployment], 2);
    deployment.store.backUp();
    configure(deployment, 3, [{ name: "family", api_keys: ["key-1"] }]);
    await awaitInForce([deployment], 3);
}

/** Reads whether a gateway applies configuration 3, and the status that it returns for the withdrawn key. */
async function readNewer(gateway: TestGateway): Promise<{ isInForce: boolean; withdrawnKey: number; }> {
    const { status } = await call(gateway, "/safe/", { headers: { authorization: "Token key-2" } });
    return { isInForce: await isInForce(gateway, 3), withdrawnKey: status };
}

describe("store that is restored from an older backup", () => {
    const ends = [
        { end: "behind", written: 0 },
        { end: "at", written: 3 },
        { end: "ahead of", written: 12 },
    ];
    for (const { end, written } of ends) {
        // Guards against a reader that waits at its old offset although the restored store assigns offsets anew.
        it(`delivers the next configuration with its end ${end} the position of the gateways`, async () => {
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

    // Guards against a return to an older configuration, in which a withdrawn key is accepted again.
    it("does not revert a configuration that is newer than the backup", async () => {
        await using deployment = await startDeployment();
        await withdrawKeyAfterCopy(deployment);
        await restore(deployment);
        const endsAt = performance.now() + 1_500;
        while (performance.now() < endsAt) {
            expect(await readNewer(deployment)).toEqual({ isInForce: true, withdrawnKey: 401 });
            await sleep(20);
        }
    });

    it("does not bring draining or removed backend servers back into use", async () => {
        await using deployment = await startDeployment();
        const removed = await deployment.addRunner({ id: "i-1" });
        const draining = await deployment.addRunner({ id: "i-2" }, { sequence: 4 });
        await deployment.addRunner({ id: "i-3" });
        deployment.store.backUp();
        deployment.store.drop("keyed.servers", "i-1");
        await deployment.addRunnerRecord("i-2", draining.address, { sequence: 5, state: "draining" });
        const before = removed.countArrivals() + draining.countArrivals();
        await restore(deployment);
        const endsAt = performance.now() + 1_500;
        while (performance.now() < endsAt) {
            expect((await call(deployment, "/safe/")).status).toEqual(200);
            await sleep(20);
        }
        expect(removed.countArrivals() + draining.countArrivals() - before).toEqual(0);
    });

    it("keeps a backend server that is newer than the backup in use until it has written its entry again", async () => {
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

    // Guards against a gateway that starts during the restore and uses the configuration of the backup.
    it("gives a gateway that starts then no older configuration than the others have", async () => {
        await using deployment = await startDeployment();
        await withdrawKeyAfterCopy(deployment);
        await restore(deployment);
        const started = await deployment.addGateway("gateway-2");
        expect(await readNewer(started)).toEqual({ isInForce: true, withdrawnKey: 401 });
    });

    // Guards against gateways that no longer know each other.
    it("receives lost registrations again", async () => {
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

    // Guards against readers that are still catching up after one restore when the next one happens.
    it("may be restored twice in a row", async () => {
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
