import { expect } from "earl";
import { describe, it } from "node:test";
import { sleep } from "../../src/utils/index.js";
import { operatorConfiguration, type TestDeployment, waitUntil } from "./standIn/deployment.js";
import { callAtRate } from "./standIn/pacedCalls.js";
import { countInBusiestWindow, type LimitedDeployment, startLimitedDeployment } from "./standIn/rateLimits.js";

const coldPerSecond = 8;
/** Requests that a cold backend server tolerates in one second. */
const allowed = coldPerSecond * 1.5 + 5;

/** Longest time after an entry was first read for which a gateway does not know whether its server is cold. */
const confirmTime = 2_500;

async function configureSlowStart(
    { deployment, gateways }: LimitedDeployment,
    changes: Readonly<Record<string, unknown>> = {},
): Promise<void> {
    const [service] = operatorConfiguration.services;
    deployment.configure({
        version: 2,
        services: [{ ...service, cold_start_s: 10, cold_per_s: coldPerSecond, ...changes }],
    });
    const isInForce = ({ logLines }: Pick<TestDeployment, "logLines">) =>
        logLines.some(line => line.includes("\"configuration in force\"") && line.includes("\"revision\":2,"));
    await waitUntil("the configuration is in force", () => gateways.every(isInForce));
}

/** Lists a server as restarted at this moment. */
async function restart({ deployment, servers }: LimitedDeployment, index: number): Promise<void> {
    const id = `i-${index + 1}`;
    await deployment.addRunnerRecord(id, servers[index]!.address, { born: Date.now(), cold_remaining_ms: 10_000 });
}

describe("backend server that is cold", { concurrency: 2 }, () => {
    // Guards against gateways that together send a cold server more than it tolerates, and against refusals meanwhile.
    it("gets no more requests than it tolerates, while another one serves the rest", async () => {
        await using limited = await startLimitedDeployment({ gateways: 3, servers: 2, path: "/unsafe/" });
        await configureSlowStart(limited);
        await sleep(confirmTime);
        await restart(limited, 0);
        const before = limited.servers[0]!.countArrivals();
        const answers = await Promise.all(
            limited.gateways.map(gateway => callAtRate(gateway, { path: "/unsafe/", rate: 30, duration: 4_000 })),
        );
        const arrived = limited.servers[0]!.arrivedAt.slice(before);
        expect(countInBusiestWindow(arrived, 1_000) <= allowed).toEqual(true);
        expect(arrived.length >= 4).toEqual(true);
        expect(answers.flat().filter(({ status }) => status !== 200).length).toEqual(0);
    });

    // Guards against a gateway that has just started, does not know the others and takes the whole limit.
    it("gets no more requests when gateways start than it tolerates", async () => {
        await using limited = await startLimitedDeployment({ gateways: 1, servers: 2, path: "/unsafe/" });
        await configureSlowStart(limited);
        await restart(limited, 0);
        const before = limited.servers[0]!.countArrivals();
        const started = await Promise.all(
            ["gateway-2", "gateway-3", "gateway-4"].map(id => limited.deployment.addGateway(id)),
        );
        const callAll = (duration: number) =>
            Promise.all(started.map(gateway => callAtRate(gateway, { path: "/unsafe/", rate: 20, duration })));
        // The new gateways do not know yet that the other server is warm.
        await callAll(confirmTime);
        const answers = await callAll(2_000);
        const arrived = limited.servers[0]!.arrivedAt.slice(before);
        expect(countInBusiestWindow(arrived, 1_000) <= allowed).toEqual(true);
        expect(answers.flat().filter(({ status }) => status !== 200).length).toEqual(0);
    });

    // Guards against requests that are held, or sent all the same, when every server is cold after a power loss.
    it("is not sent more if all are cold; what is too much is refused at once", async () => {
        await using limited = await startLimitedDeployment({ gateways: 2, servers: 2, path: "/unsafe/" });
        await configureSlowStart(limited);
        await restart(limited, 0);
        await restart(limited, 1);
        const counts = limited.servers.map(server => server.countArrivals());
        const answers = (await Promise.all(
            limited.gateways.map(gateway => callAtRate(gateway, { path: "/unsafe/", rate: 30, duration: 4_000 })),
        )).flat();
        limited.servers.forEach(({ arrivedAt }, index) => {
            expect(countInBusiestWindow(arrivedAt.slice(counts[index]), 1_000) <= allowed).toEqual(true);
        });
        const refused = answers.filter(({ headers, status }) => status === 503 && Number(headers["retry-after"]) > 0);
        const served = answers.filter(({ status }) => status === 200);
        expect(served.length + refused.length).toEqual(answers.length);
        // Two servers take 8 requests a second, of which the gateways divide half, for 4 s.
        expect(served.length >= 0.7 * 2 * coldPerSecond / 2 * 4).toEqual(true);
    });

    // Guards against a limit without a valid rate that stops the service, and against a fault without a trace.
    it("is not limited by a slow start that is not valid, which is named in the log", async () => {
        await using limited = await startLimitedDeployment({ gateways: 1, servers: 1, path: "/unsafe/" });
        await configureSlowStart(limited, { cold_per_s: -3 });
        await restart(limited, 0);
        const answers = await callAtRate(limited.deployment, { path: "/unsafe/", rate: 30, duration: 1_000 });
        expect(answers.every(({ status }) => status === 200)).toEqual(true);
        const named = limited.deployment.logLines.filter(line => line.includes("part of the configuration not valid"));
        expect([named.length, named[0]?.includes("service archive")]).toEqual([1, true]);
    });
});
