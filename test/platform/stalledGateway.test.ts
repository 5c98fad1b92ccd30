import { expect } from "earl";
import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { describe, it } from "node:test";
import { findFreePorts } from "../../src/standIn/index.js";
import { createDisposalStack, sleep } from "../../src/utils/index.js";
import { type Channel, openChannel } from "./standIn/channel.js";
import { operatorConfiguration, waitUntil } from "./standIn/deployment.js";
import { startGatewayProcess } from "./standIn/gatewayProcess.js";
import { createServerRecord } from "./standIn/serverRecord.js";
import { startStoreStandIn } from "./standIn/storeStandIn.js";
import { startWorkRunner } from "./standIn/workRunner.js";

const idleLimit = 1_000;
const channelCount = 20;
const deadline = 8_000;

describe("gateway process that stands still", () => {
    // Guards against connections that are closed as idle although a request has arrived on them.
    it("answers the requests that arrived on idle connections meanwhile", async () => {
        await using stack = createDisposalStack();
        const folder = mkdtempSync(join(tmpdir(), "stalled-"));
        stack.defer(() => rmSync(folder, { recursive: true, force: true }));
        const store = stack.use(await startStoreStandIn());
        store.write("keyed.op", "config", {
            ...operatorConfiguration,
            routes: operatorConfiguration.routes.map(route => ({
                ...route,
                timeout_ms: deadline,
                target_latency_ms: deadline,
            })),
            limits: { ...operatorConfiguration.limits, idle_timeout_ms: idleLimit },
        });
        const runner = stack.use(await startWorkRunner("i-1"));
        store.write("keyed.servers", "i-1", createServerRecord(runner.address, { slots: 2 * channelCount }));
        const [callers, ready, relay, metrics] = await findFreePorts(4) as [number, number, number, number];
        const gateway = stack.use(startGatewayProcess({
            instance: "gateway-1",
            host: "127.0.0.1",
            ports: { callers, ready, relay, metrics },
            storeAddress: store.address,
            drainTimeLimitSeconds: 3,
            folder,
        }));
        await waitUntil("the gateway is ready", () => gateway.isReady());

        const channels: Channel[] = [];
        for (let index = 0; index < channelCount; index++) {
            channels.push(stack.use((await openChannel(gateway))!));
        }
        async function callAll(name: string): Promise<readonly (number | undefined)[]> {
            const results = await Promise.all(
                channels.map((channel, index) =>
                    channel.call({ path: "/unsafe/?work=5", attemptId: `${name}-${index}`, deadline })
                ),
            );
            return results.map(({ status }) => status);
        }
        const answered = channels.map(() => 200);
        expect(await callAll("first")).toEqual(answered);
        await sleep(0.3 * idleLimit);
        gateway.signal("SIGSTOP");
        await sleep(0.3 * idleLimit);
        const second = callAll("second");
        await sleep(2.5 * idleLimit);
        gateway.signal("SIGCONT");
        expect(await second).toEqual(answered);
        expect(runner.work.length).toEqual(2 * channelCount);
    });
});
