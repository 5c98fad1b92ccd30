import { expect } from "earl";
import { describe, it } from "node:test";
import { call, type GatewayResponse } from "./standIn/caller.js";
import type { CrashingFleet, CrashingFleetOptions } from "./standIn/crashingFleet.js";
import { startDeployment, type TestDeployment, waitUntil } from "./standIn/deployment.js";
import {
    addGateways,
    fatalBody,
    listCondemned,
    pause,
    settleMilliseconds,
    startFleet,
} from "./standIn/fatalRequests.js";
import type { TestGateway } from "./standIn/gateway.js";

/** Crashes with a part of prompts after which the gateways have to know it. */
const crashesUntilKnown = 5;
/** Requests with the part that may still be forwarded after that. */
const allowedRuns = 3;
const fatalPart = "bad0c0de";
const commonPart = "5c1e07a2";
const subjects = ["91bd3f06", "91bd3f07", "91bd3f08", "91bd3f09"];
let prompts = 0;

/** Creates a prompt whose last part belongs to one request; the first part is common to all. */
function createPrompt(...parts: readonly string[]): string {
    prompts++;
    const own = `e4402b7d${prompts.toString(16).padStart(6, "0")}`;
    return [commonPart, ...parts, own].map((part, index) => `${part}:${200 + index}`).join(",");
}

function send(
    gateway: Pick<TestGateway, "gatewayUrl">,
    path: string,
    prompt: string,
    name: string,
): Promise<GatewayResponse | undefined> {
    const body = `${name}-${prompts}`;
    return call(gateway, path, { method: "POST", body, headers: { "prompt-prefix": prompt } }).catch(() => undefined);
}

/** Sends requests that have nothing in common but their first part and the fatal one, to the gateways in turn. */
async function sendFatalPart(
    gateways: readonly TestGateway[],
    path: string,
    count: number,
    interval: number,
    shared: readonly string[] = [],
): Promise<readonly (GatewayResponse | undefined)[]> {
    const responses: Promise<GatewayResponse | undefined>[] = [];
    for (let index = 0; index < count; index++) {
        const gateway = gateways[index % gateways.length]!;
        const prompt = createPrompt(...shared, subjects[index % subjects.length]!, fatalPart);
        responses.push(send(gateway, path, prompt, fatalBody));
        await pause(interval);
    }
    return Promise.all(responses);
}

/** Starts callers of sound requests, which share their first part and their subjects with the others. */
function startSoundCallers(
    gateways: readonly TestGateway[],
    path: string,
    shared: readonly string[] = [],
): () => Promise<readonly { readonly at: number; readonly response: GatewayResponse | undefined; }[]> {
    const responses: { at: number; response: GatewayResponse | undefined; }[] = [];
    let stopped = false;
    const callers = Array.from({ length: 8 }, async (...[, index]) => {
        for (let count = index; !stopped; count++) {
            const at = Date.now();
            const prompt = createPrompt(...shared, subjects[count % subjects.length]!);
            responses.push({ at, response: await send(gateways[count % gateways.length]!, path, prompt, "sound") });
            await pause(20);
        }
    });
    return async () => {
        stopped = true;
        await Promise.all(callers);
        return responses;
    };
}

function startPartFleet(
    deployment: TestDeployment,
    options: Partial<CrashingFleetOptions> = {},
): Promise<CrashingFleet> {
    return startFleet(deployment, {
        workMilliseconds: 60,
        crashDelayMilliseconds: 40,
        isFatal: (...[, headers]) => String(headers["prompt-prefix"]).includes(fatalPart),
        ...options,
    });
}

/** Counts the executions of requests with the part after all gateways have to know of the fifth crash. */
function countLateRuns({ crashes, runs }: CrashingFleet): number {
    const known = crashes.filter(({ body }) => body.startsWith(fatalBody))[crashesUntilKnown - 1];
    return known === undefined ?
        0 :
        runs.filter(({ at, body }) => body.startsWith(fatalBody) && at > known.at + settleMilliseconds).length;
}

/** Sends requests with the fatal part beside sound ones, and expects that the gateways refuse those and serve these. */
async function expectContainment(
    fleet: CrashingFleet,
    gateways: readonly TestGateway[],
    path: string,
    shared: readonly string[] = [],
): Promise<void> {
    const stop = startSoundCallers(gateways, path, shared);
    await pause(1_000);
    const fatalResponses = await sendFatalPart(gateways, path, 60, 200, shared);
    const sound = await stop();
    expect(fleet.crashes.length).toBeGreaterThan(0);
    expect(countLateRuns(fleet)).toBeLessThanOrEqual(allowedRuns);
    expect(listCondemned(fatalResponses).length).toBeGreaterThan(30);
    expect(listCondemned(sound.map(({ response }) => response))).toEqual([]);
    const late = sound.filter(({ at }) => at > fleet.crashes[0]!.at + 2 * settleMilliseconds);
    const served = late.filter(({ response }) => response?.status === 200);
    expect(served.length).toBeGreaterThan(late.length * 0.9);
}

/** Sends requests with the fatal part until the first gateway has condemned it. */
async function crashUntilCondemned(gateways: readonly TestGateway[], path: string): Promise<void> {
    await waitUntil("the part is condemned", async () => {
        await sendFatalPart(gateways, path, gateways.length, 300);
        return gateways.every(({ logLines }) => logLines.some(isCondemnation));
    });
}

function isCondemnation(line: string): boolean {
    return line.includes(`"cause":"prompt-part"`) && line.includes(`"change":"condemned"`);
}

describe("gateways that receive different requests with a part of their prompts that crashes backend servers", () => {
    const routes: readonly { readonly path: string; readonly answers: Partial<CrashingFleetOptions>; }[] = [
        { path: "/unsafe/", answers: {} },
        { path: "/stream/", answers: { events: 5, eventMilliseconds: 10 } },
        { path: "/safe/", answers: {} },
    ];
    for (const { answers, path } of routes) {
        // Guards against a part that crashes one backend server after another in requests that are no two alike.
        it(`stop forwarding them, and serve the others: ${path}`, async () => {
            await using deployment = await startDeployment();
            const fleet = await startPartFleet(deployment, answers);
            const gateways = await addGateways(deployment, path);
            await expectContainment(fleet, gateways, path);
        });
    }

    const places: readonly {
        readonly place: string;
        readonly path: string;
        readonly answers: Partial<CrashingFleetOptions>;
    }[] = [
        { place: "the first event", path: "/stream/", answers: { events: 8, crashAfterPart: 1 } },
        { place: "the third event", path: "/stream/", answers: { events: 8, crashAfterPart: 3 } },
        { place: "the last event but one", path: "/stream/", answers: { events: 8, crashAfterPart: 7 } },
        { place: "half of a whole answer", path: "/safe/", answers: { crashAfterPart: 1 } },
    ];
    for (const { answers, path, place } of places) {
        // Guards against the begin of an answer that counts as proof that no part of its prompt crashes backend servers.
        it(`stop forwarding them, and serve the others: crash after ${place}`, async () => {
            await using deployment = await startDeployment();
            const fleet = await startPartFleet(deployment, {
                ...answers,
                eventMilliseconds: 20,
                crashDelayMilliseconds: 0,
            });
            const gateways = await addGateways(deployment, path);
            await expectContainment(fleet, gateways, path);
        });
    }

    // Guards against a gateway that forwards the part again because it has restarted.
    for (const { answers, path } of [routes[0]!, places[0]!]) {
        it(`refuse them after one has restarted, and after all have: ${path}`, async () => {
            await using deployment = await startDeployment();
            const fleet = await startPartFleet(deployment, { crashDelayMilliseconds: 0, ...answers });
            const gateways = await addGateways(deployment, path);
            const stop = startSoundCallers(gateways, path);
            await crashUntilCondemned(gateways, path);
            await stop();
            const isWritten = ({ logLines }: TestGateway): boolean =>
                logLines.some(line => line.includes("condemned request written") && line.includes("part-"));
            await waitUntil("the part is in the log", () => gateways.some(isWritten));
            const crashes = fleet.crashes.length;
            await gateways[2]!.drain();
            await gateways[2]![Symbol.asyncDispose]();
            const restarted = await deployment.addGateway("gateway-3b");
            await waitUntil("the gateway serves", async () => (await call(restarted, path)).status === 200);
            expect(listCondemned(await sendFatalPart([restarted], path, 3, 0)).length).toEqual(3);
            await Promise.all([
                deployment.stop(),
                gateways[1]![Symbol.asyncDispose](),
                restarted[Symbol.asyncDispose](),
            ]);
            const last = await deployment.addGateway("gateway-4");
            await waitUntil("the gateway serves", async () => (await call(last, path)).status === 200);
            expect(listCondemned(await sendFatalPart([last], path, 3, 0)).length).toEqual(3);
            expect(fleet.crashes.length).toEqual(crashes);
        });
    }

    // Guards against a part that is never found because of its place in a long prompt.
    for (const count of [17, 1_000]) {
        it(`stop forwarding them, and serve the others: behind ${count} other parts`, async () => {
            await using deployment = await startDeployment();
            const fleet = await startPartFleet(deployment);
            const gateways = await addGateways(deployment, "/unsafe/");
            const shared = Array.from({ length: count }, (...[, index]) => index.toString(16));
            await expectContainment(fleet, gateways, "/unsafe/", shared);
        });
    }

    // Guards against several backend servers that crash at once, and against refusing a part that has become harmless.
    it("forward one request with a suspect part at a time, until one is answered", async () => {
        await using deployment = await startDeployment();
        const fleet = await startPartFleet(deployment, {
            isFatal: (...[, headers]) =>
                String(headers["prompt-prefix"]).includes(fatalPart) && fleet.crashes.length === 0,
        });
        await waitUntil("the gateway serves", async () => (await call(deployment, "/unsafe/")).status === 200);
        expect((await sendFatalPart([deployment], "/unsafe/", 1, 0)).map(response => response?.status)).toEqual([502]);
        const beside = await sendFatalPart([deployment], "/unsafe/", 3, 0);
        expect(beside.map(response => response?.status).sort()).toEqual([200, 503, 503]);
        const [refused] = beside.filter(response => response?.status === 503);
        expect([refused?.headers["retry-after"], refused?.body]).toEqual([
            "0.5",
            expect.includes("may-crash-backend-servers"),
        ]);
        const later = await sendFatalPart([deployment], "/unsafe/", 3, 0);
        expect(later.map(response => response?.status)).toEqual([200, 200, 200]);
    });

    for (const { answers, path } of routes.slice(0, 2)) {
        // Guards against refusing popular parts because backend servers crash for other reasons, singly or together.
        it(`keep forwarding popular parts while backend servers crash for other reasons: ${path}`, async () => {
            await using deployment = await startDeployment();
            const fleet = await startPartFleet(deployment, answers);
            const gateways = await addGateways(deployment, path);
            const stop = startSoundCallers(gateways, path);
            for (const count of [1, 4, 1, 6, 1, 8]) {
                Array.from({ length: count }).forEach(() => fleet.crashOne());
                await pause(800);
            }
            const sound = (await stop()).map(({ response }) => response);
            expect(listCondemned(sound)).toEqual([]);
            expect(sound.filter(response => response?.body.includes("may-crash-backend-servers"))).toEqual([]);
            expect(gateways.flatMap(({ logLines }) => logLines.filter(isCondemnation))).toEqual([]);
        });
    }
});
