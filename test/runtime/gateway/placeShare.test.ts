import { expect } from "earl";
import { describe, it } from "node:test";
import {
    computeArrivalRate,
    computePlaceShare,
    createArrivalCount,
    recordArrival,
    type ServiceDemand,
} from "../../../src/runtime/gateway/index.js";
import { createRunnerRow } from "../../../src/runtime/routing/index.js";
import { simulatePlainService } from "./plainService.js";

const busy: ServiceDemand = { arrivalRate: 0.1, serviceTime: 1_000 };
const hardlyBusy: ServiceDemand = { arrivalRate: 0.001, serviceTime: 40 };

/** Computes the share of a gateway in a service that has one backend server with 6 slots. */
function share(gateways: number, demand: ServiceDemand, draw: number, taken: { own?: number; others?: number; } = {}) {
    const runner = Object.assign(createRunnerRow("archive", { instance: "i-1", zone: "zone-a", region: "south" }), {
        capacity: 6,
        outstanding: taken.own ?? 0,
        reportedLoad: taken.others ?? 0,
    });
    return computePlaceShare({
        runners: [{ runner, isFollowed: true }],
        gateways,
        demand,
        draw,
        now: 0,
        options: { queuedPerServer: 0, loadHalfLife: 1_000 },
    });
}

describe("share of a gateway in the places of a service", () => {
    it("is at least one place for a gateway with little demand, even if there are more gateways than places", () => {
        for (const gateways of [7, 13, 360]) {
            expect(share(gateways, hardlyBusy, 0.99).places).toBeGreaterThanOrEqual(1);
        }
    });

    it("adds up to the free places over busy gateways that have no requests in progress", () => {
        const gateways = 24;
        const draws = Array.from({ length: gateways }, (...[, index]) => index / gateways);
        const sum = (others: number) =>
            draws.reduce((places, draw) => places + share(gateways, busy, draw, { others }).places, 0);
        expect([0, 1, 3, 5, 6].map(sum)).toEqual([6, 5, 3, 1, 0]);
    });

    it("is rounded down for a busy gateway that has requests in progress", () => {
        expect(share(13, busy, 0, { own: 2 }).places).toEqual(2);
    });

    // Guards against an idle backend server that gets no requests while streams are still running at a draining one.
    it("does not count requests at backend servers that accept no further ones", () => {
        const runner = Object.assign(createRunnerRow("archive", { instance: "i-1", zone: "zone-a", region: "south" }), {
            capacity: 4,
        });
        const options = { queuedPerServer: 0, loadHalfLife: 1_000 };
        const input = { runners: [{ runner, isFollowed: true }], gateways: 1, demand: busy, draw: 1, now: 0, options };
        expect(computePlaceShare({ ...input, inProgressElsewhere: 5 }).places).toEqual(5 + 4);
    });

    // Guards against requests that wait for a connection instead of in the queue.
    for (
        const { connections, outstanding, places } of [
            { connections: 1, outstanding: 0, places: 1 },
            { connections: 2, outstanding: 2, places: 2 },
            { connections: 2, outstanding: 5, places: 5 },
            { connections: 9, outstanding: 1, places: 4 },
            { connections: undefined, outstanding: 1, places: 4 },
        ]
    ) {
        it(`needs a free connection for each further request: ${outstanding} of ${connections} in use`, () => {
            const runner = Object.assign(
                createRunnerRow("archive", { instance: "i-1", zone: "zone-a", region: "south" }),
                { capacity: 4, outstanding },
            );
            const options = { queuedPerServer: 0, loadHalfLife: 1_000 };
            const runners = [{ runner, isFollowed: true, connections }];
            expect(computePlaceShare({ runners, gateways: 1, demand: busy, draw: 0, now: 0, options }).places)
                .toEqual(places);
        });
    }

    it("comes with the values that it was computed from", () => {
        expect(share(13, busy, 1, { own: 1, others: 2 })).toEqual({
            places: 1,
            own: 1,
            free: 3,
            gateways: 13,
            contenders: 13,
        });
    });
});

describe("arrival rate at a gateway", () => {
    it("follows a change within seconds", () => {
        const arrivals = createArrivalCount(0);
        for (let now = 0; now < 10_000; now += 10) {
            recordArrival(arrivals, now);
        }
        expect(Math.round(computeArrivalRate(arrivals, 10_000) * 1_000)).toEqual(100);
        expect(computeArrivalRate(arrivals, 14_000) * 1_000).toBeLessThan(7);
    });
});

describe("plain service behind many gateways", () => {
    const light = { servers: 3, slots: 6, requestsPerSecond: 40, target: 200 };

    // Guards against requests that are refused or queued at every gateway while most places are free.
    for (const [gateways, servers] of [[13, 3], [13, 2], [13, 1], [20, 3], [100, 3], [360, 3]] as const) {
        it(`answers in time with ${servers} backend servers and ${gateways} gateways under light load`, () => {
            const { inTimeShare, worstGatewayShare } = simulatePlainService({ ...light, gateways, servers, seed: 1 });
            expect(inTimeShare).toBeGreaterThan(0.97);
            expect(gateways > 20 || worstGatewayShare > 0.9).toEqual(true);
        });
    }

    // Guards against places that stay free while requests are refused.
    for (const gateways of [13, 100, 360]) {
        it(`is almost fully used with ${gateways} gateways at twice the load that it can answer`, () => {
            const { shedShare, usedShare } = simulatePlainService({
                ...light,
                gateways,
                requestsPerSecond: 800,
                seed: 1,
            });
            expect(usedShare).toBeGreaterThan(0.8);
            expect(shedShare).toBeLessThan(0.1);
        });
    }
});
