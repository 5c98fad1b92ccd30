import { expect } from "earl";
import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { describe, it } from "node:test";
import { findFreePorts } from "../../src/standIn/index.js";
import { createDisposalStack, sleep } from "../../src/utils/index.js";
import { type Channel, openChannel } from "./standIn/channel.js";
import { operatorConfiguration, waitUntil } from "./standIn/deployment.js";
import { type GatewayProcess, startGatewayProcess } from "./standIn/gatewayProcess.js";
import { createServerRecord } from "./standIn/serverRecord.js";
import { startStoreStandIn } from "./standIn/storeStandIn.js";
import { startWorkRunner, type WorkRunner } from "./standIn/workRunner.js";

const idleLimit = 1_000;
/** Time after which an idle connection is closed. */
const closingTime = 6_500;
const channelCount = 20;
const deadline = 12_000;
const safeTimeout = 1_500;

/** Gateway process with a runner, and calls to it. */
interface StalledDeployment extends AsyncDisposable {
    readonly gateway: GatewayProcess;
    readonly runner: WorkRunner;
    /** Opens connections and owns them. */
    open(): Promise<readonly Channel[]>;
}

async function startProcess(): Promise<StalledDeployment> {
    await using started = createDisposalStack();
    const folder = mkdtempSync(join(tmpdir(), "stalled-"));
    started.defer(() => rmSync(folder, { recursive: true, force: true }));
    const store = started.use(await startStoreStandIn());
    store.write("keyed.op", "config", {
        ...operatorConfiguration,
        routes: operatorConfiguration.routes.map(route => ({
            ...route,
            timeout_ms: route.kind === "safe" ? safeTimeout : deadline,
            target_latency_ms: deadline,
        })),
        limits: { ...operatorConfiguration.limits, idle_timeout_ms: idleLimit },
    });
    const runner = started.use(await startWorkRunner("i-1"));
    store.write("keyed.servers", "i-1", createServerRecord(runner.address, { slots: 2 * channelCount }));
    const [callers, ready, relay, metrics] = await findFreePorts(4) as [number, number, number, number];
    const gateway = started.use(startGatewayProcess({
        instance: "gateway-1",
        host: "127.0.0.1",
        ports: { callers, ready, relay, metrics },
        storeAddress: store.address,
        drainTimeLimitSeconds: 8,
        folder,
    }));
    await waitUntil("the gateway is ready", () => gateway.isReady());
    const stack = started.move();
    return {
        gateway,
        runner,
        open: async () => {
            const channels = await Promise.all(Array.from({ length: channelCount }, () => openChannel(gateway)));
            return channels.map(channel => stack.use(channel!));
        },
        [Symbol.asyncDispose]: () => stack[Symbol.asyncDispose](),
    };
}

async function callAll(
    channels: readonly Channel[],
    name: string,
    path = "/unsafe/?work=5",
): Promise<readonly (number | undefined)[]> {
    const results = await Promise.all(
        channels.map((channel, index) => channel.call({ path, attemptId: `${name}-${index}`, deadline })),
    );
    return results.map(({ status }) => status);
}

function repeat(status: number): readonly number[] {
    return Array.from({ length: channelCount }, () => status);
}

describe("gateway process that stands still", () => {
    // Guards against connections that are closed as idle although a request has arrived on them.
    it("answers the requests that arrived on idle connections meanwhile", async () => {
        await using deployment = await startProcess();
        const { gateway, runner } = deployment;
        const channels = await deployment.open();
        expect(await callAll(channels, "first")).toEqual(repeat(200));
        await sleep(0.3 * idleLimit);
        gateway.signal("SIGSTOP");
        await sleep(0.3 * idleLimit);
        const second = callAll(channels, "second");
        await sleep(closingTime);
        gateway.signal("SIGCONT");
        expect(await second).toEqual(repeat(200));
        expect(runner.work.length).toEqual(2 * channelCount);
    });

    // Guards against requests that are dropped because a shutdown continues before what has arrived is read.
    it("answers the requests that arrived during its shutdown meanwhile", async () => {
        await using deployment = await startProcess();
        const { gateway, runner } = deployment;
        const idle = await deployment.open();
        expect(await callAll(idle, "first")).toEqual(repeat(200));
        gateway.signal("SIGTERM");
        await waitUntil("the shutdown has begun", () => gateway.logLines.some(line => line.includes("\"draining\"")));
        gateway.signal("SIGSTOP");
        const calls = [callAll(idle, "idle"), callAll(await deployment.open(), "new")];
        await sleep(3_500);
        gateway.signal("SIGCONT");
        const statuses = (await Promise.all(calls)).flat();
        const answered = statuses.filter(status => status === 200).length;
        expect([answered + statuses.filter(status => status === 503).length]).toEqual([2 * channelCount]);
        expect(runner.work.length).toEqual(channelCount + answered);
        expect(await gateway.exited).toEqual(0);
    });

    // Guards against an answer that arrived in time and is dropped because the time limit is enforced first.
    it("passes on the answers that arrived meanwhile", async () => {
        await using deployment = await startProcess();
        const { gateway, runner } = deployment;
        const calls = callAll(await deployment.open(), "safe", "/safe/?work=400");
        await waitUntil("the requests are run", () => runner.work.length === channelCount);
        gateway.signal("SIGSTOP");
        await sleep(2 * safeTimeout);
        gateway.signal("SIGCONT");
        expect(await calls).toEqual(repeat(200));
    });
});
