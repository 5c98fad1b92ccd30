import { expect } from "earl";
import { describe, it } from "node:test";
import { callAtRate } from "../platform/standIn/pacedCalls.js";
import { countInBusiestWindow, startLimitedDeployment } from "../platform/standIn/rateLimits.js";

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
                limited.gateways.map(gateway => callAtRate(gateway, { path, rate: 20, duration: settleWindow + 6_000 })),
            );
            const statedAt = server!.arrivedAt[0]!;
            const inWindow = countInBusiestWindow(server!.arrivedAt.filter(at => at > statedAt + settleWindow), 4_000);
            expect(inWindow <= computeAllowed(2)).toEqual(true);
            expect(inWindow >= 4).toEqual(true);
            expect(answers.flat().filter(({ status }) => status !== 200).length).toEqual(0);
        });
    }
});
