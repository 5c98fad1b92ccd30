import { expect } from "earl";
import { describe, it } from "node:test";
import { sleep } from "../../src/utils/index.js";
import { startDeployment, type TestDeployment, waitUntil } from "./standIn/deployment.js";
import type { TestGateway } from "./standIn/gateway.js";

const pauseMilliseconds = 1_500;
/** Time for which the read of the operator's records is held open before a version is declared. */
const holdMilliseconds = 3_000;
const declaration = { model: "quill", version: 2 };
const key = "version/quill";

/** Stops the process of the test, and with it the gateway, without letting it read from its connections before. */
async function stall(): Promise<void> {
    for (let turn = 0; turn < 50; turn++) {
        await Promise.resolve();
    }
    Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, pauseMilliseconds);
}

/** Reads the longest age in milliseconds that a gateway gives to the declared version when it learns of it. */
async function readAge({ logLines }: TestGateway): Promise<number> {
    const findLine = () => logLines.find(line => line.includes("\"version declared\""));
    await waitUntil("the version is known", () => findLine() !== undefined);
    const { ageMilliseconds } = JSON.parse(findLine()!) as { ageMilliseconds: number; };
    return ageMilliseconds;
}

/** Starts a gateway whose read of the operator's records has been held open for some time. */
async function startFollowing(): Promise<TestDeployment> {
    const deployment = await startDeployment();
    await deployment.addRunner({ id: "i-1" });
    await sleep(holdMilliseconds);
    return deployment;
}

describe("age of a declared version at a gateway", () => {
    it("does not include the time for which the read was held open", async () => {
        await using deployment = await startFollowing();
        deployment.store.write("keyed.op", key, declaration);
        expect(await readAge(deployment) < holdMilliseconds).toEqual(true);
    });

    // Guards against a gateway that sends requests to older versions for longer after a time in which it did not run.
    it("includes the time for which the gateway did not run", async () => {
        await using deployment = await startFollowing();
        deployment.store.write("keyed.op", key, declaration);
        await stall();
        const age = await readAge(deployment);
        expect(age >= pauseMilliseconds && age < pauseMilliseconds + holdMilliseconds).toEqual(true);
    });

    it("includes the time for which the gateway could not read the log", async () => {
        await using deployment = await startFollowing();
        deployment.store.restore();
        deployment.store.setFault("reset");
        await sleep(200);
        deployment.store.write("keyed.op", key, declaration);
        await sleep(pauseMilliseconds);
        deployment.store.setFault("none");
        expect(await readAge(deployment) >= pauseMilliseconds).toEqual(true);
    });
});
