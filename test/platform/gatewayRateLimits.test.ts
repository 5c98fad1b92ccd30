import { expect } from "earl";
import { describe, it } from "node:test";
import { waitUntil } from "./standIn/deployment.js";
import { callAtRate } from "./standIn/pacedCalls.js";
import { countInBusiestWindow, startLimitedDeployment } from "./standIn/rateLimits.js";

/** `settle_window_ms` of the installations, in milliseconds, after which a limit has to be kept. */
const settleWindow = 3_000;

/** Highest number of requests in 4 s that the limit of a backend server allows. */
function computeAllowed(requestsPerSecond: number): number {
    return 1.5 * requestsPerSecond * 4 + 5;
}

describe("backend server that states a rate limit", () => {
    for (const path of ["/safe/", "/unsafe/", "/stream/"]) {
        // Guards against gateways that ignore the limit, or each use all of it.
        it(`gets no more requests to ${path} from three gateways together`, async () => {
            await using limited = await startLimitedDeployment({ gateways: 3, servers: 3, path });
            const [server] = limited.servers;
            server!.setRateLimit("2");
            const answers = await Promise.all(
                limited.gateways.map(gateway =>
                    callAtRate(gateway, { path, rate: 20, duration: settleWindow + 6_000 })
                ),
            );
            const statedAt = server!.arrivedAt[0]!;
            const inWindow = countInBusiestWindow(server!.arrivedAt.filter(at => at > statedAt + settleWindow), 4_000);
            expect(inWindow <= computeAllowed(2)).toEqual(true);
            expect(inWindow >= 4).toEqual(true);
            expect(answers.flat().filter(({ status }) => status !== 200).length).toEqual(0);
        });
    }
});

describe("requests beside rate limits", () => {
    for (const text of ["", "NaN", "-3", "soon", "1e9", "2;3"]) {
        // Guards against a header that cannot be read and stops a backend server, or ends its limit.
        it(`are sent at the known limit after the value "${text}", and at any rate before`, async () => {
            await using limited = await startLimitedDeployment({ gateways: 1, servers: 2, path: "/safe/" });
            const [server] = limited.servers;
            const [gateway] = limited.gateways;
            server!.setRateLimit(text);
            const calls = { path: "/safe/", rate: 40, duration: 1_000 };
            await callAtRate(gateway!, calls);
            const before = server!.countArrivals();
            server!.setRateLimit("2");
            await callAtRate(gateway!, { ...calls, duration: 200 });
            server!.setRateLimit(text);
            const limitedFrom = server!.countArrivals();
            await callAtRate(gateway!, { ...calls, duration: 2_000 });
            const sent = server!.countArrivals() - limitedFrom;
            expect([before > 10, sent >= 1 && sent <= 6]).toEqual([true, true]);
        });
    }

    it("are sent at the lowest rate of a repeated header", async () => {
        await using limited = await startLimitedDeployment({ gateways: 1, servers: 2, path: "/safe/" });
        const [server] = limited.servers;
        server!.setRateLimit(["30", "2"]);
        await callAtRate(limited.gateways[0]!, { path: "/safe/", rate: 40, duration: 2_000 });
        expect(server!.countArrivals() <= 8).toEqual(true);
    });

    it("are sent at the full rate once answers state no limit, also by gateways without a share", async () => {
        await using limited = await startLimitedDeployment({ gateways: 4, servers: 2, path: "/safe/" });
        const [server] = limited.servers;
        server!.setRateLimit("1");
        const calls = { path: "/safe/", rate: 20, duration: 1_000 };
        await Promise.all(limited.gateways.map(gateway => callAtRate(gateway, calls)));
        server!.setRateLimit(undefined);
        // Gateways with a share detect the end with their next request and notify the others.
        await Promise.all(limited.gateways.map(gateway => callAtRate(gateway, { ...calls, duration: 5_000 })));
        const before = server!.countArrivals();
        await Promise.all(limited.gateways.map(gateway => callAtRate(gateway, calls)));
        expect(server!.countArrivals() - before >= 20).toEqual(true);
    });

    // Guards against a limit that outlives the process which stated it.
    it("are sent at the full rate after a restart of the backend server", async () => {
        await using limited = await startLimitedDeployment({ gateways: 1, servers: 2, path: "/safe/" });
        const [server] = limited.servers;
        server!.setRateLimit("1");
        const calls = { path: "/safe/", rate: 40, duration: 1_000 };
        await callAtRate(limited.gateways[0]!, calls);
        server!.setRateLimit(undefined);
        await limited.deployment.addRunnerRecord("i-1", server!.address, { born: 2 });
        const before = server!.countArrivals();
        await callAtRate(limited.gateways[0]!, calls);
        expect(server!.countArrivals() - before > 10).toEqual(true);
    });

    // Guards against requests that wait for their share until their deadline, and against callers who retry too early.
    it("are refused at once, with the time until the next share, if no other backend server is left", async () => {
        await using limited = await startLimitedDeployment({ gateways: 1, servers: 1, path: "/unsafe/" });
        limited.servers[0]!.setRateLimit("2");
        const [gateway] = limited.gateways;
        await callAtRate(gateway!, { path: "/unsafe/", rate: 40, duration: 500 });
        const startedAt = performance.now();
        const answers = await callAtRate(gateway!, { path: "/unsafe/", rate: 40, duration: 1_000 });
        expect(performance.now() - startedAt < 1_500).toEqual(true);
        const refused = answers.filter(({ status }) => status === 503);
        const times = refused.map(({ headers }) => Number(headers["retry-after"]));
        expect(refused.length >= 30 && refused.length < 40).toEqual(true);
        expect(times.every(time => time > 0 && time <= 3)).toEqual(true);
        expect(limited.deployment.logLines.some(line => line.includes("\"reason\":\"rate-limited\""))).toEqual(true);
    });

    // Guards against a gateway that exceeds the limit after a restart until a response states the limit again.
    it("are limited at a gateway that has just started, before it sends any", async () => {
        await using limited = await startLimitedDeployment({ gateways: 2, servers: 2, path: "/safe/" });
        const [server] = limited.servers;
        server!.setRateLimit("1");
        await callAtRate(limited.gateways[0]!, { path: "/safe/", rate: 20, duration: 1_000 });
        const started = await limited.deployment.addGateway("gateway-3");
        await waitUntil(
            "the limit is known",
            () =>
                started.logLines.some(line =>
                    line.includes("\"rate limit\"") && line.includes("\"source\":\"gateway\"")
                ),
        );
        const before = server!.countArrivals();
        await callAtRate(started, { path: "/safe/", rate: 20, duration: 2_000 });
        expect(server!.countArrivals() - before <= 3).toEqual(true);
    });

    // Guards against gateways that exceed the limits, or refuse everything, when no unlimited backend server is left.
    it("are limited by the sum if all backend servers state limits to three gateways", async () => {
        await using limited = await startLimitedDeployment({ gateways: 3, servers: 2, path: "/unsafe/" });
        limited.servers.forEach(server => server.setRateLimit("2"));
        const duration = settleWindow + 6_000;
        const answers = (await Promise.all(
            limited.gateways.map(gateway => callAtRate(gateway, { path: "/unsafe/", rate: 10, duration })),
        )).flat();
        for (const { arrivedAt } of limited.servers) {
            const settled = arrivedAt.filter(at => at > arrivedAt[0]! + settleWindow);
            expect(countInBusiestWindow(settled, 4_000) <= computeAllowed(2)).toEqual(true);
        }
        const served = answers.filter(({ status }) => status === 200).length;
        const refused = answers.filter(({ headers, status }) => status === 503 && Number(headers["retry-after"]) > 0);
        expect(served + refused.length).toEqual(answers.length);
        expect(served >= 0.6 * 2 * 2 * duration / 1_000).toEqual(true);
    });
});
