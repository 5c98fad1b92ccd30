import { expect } from "earl";
import { describe, it } from "node:test";
import type { GatewayState } from "../../../src/node/gateway/membership/gatewayState.js";
import { createServerSelector, type ServerSelector } from "../../../src/node/gateway/selection/serverSelector.js";
import type { BackendServerRow } from "../../../src/runtime/gateway/index.js";
import { createRunnerRow, resolveRoutingOptions } from "../../../src/runtime/routing/index.js";
import type { ServiceRow } from "../../../src/types/index.js";

const capacity = 4;
const service = { name: "archive", engine: undefined } as ServiceRow;
const demand = { arrivalRate: 0.001, serviceTime: 100 };

function createServer(instance: string): BackendServerRow {
    const runner = Object.assign(createRunnerRow("archive", { instance, zone: "zone-a", region: "south" }), {
        phase: "serving",
        reportedAt: 0,
        capacity,
    });
    return { runner, listed: { instance }, reportedAt: 0 } as unknown as BackendServerRow;
}

function createSelector(rows: readonly BackendServerRow[]): ServerSelector {
    const servers = new Map(rows.map(row => [row.runner.instance, row]));
    return createServerSelector({
        state: { servers, listServers: () => rows } as unknown as GatewayState,
        zone: "zone-a",
        region: "south",
        clock: { now: () => new Date(0), monotonic: () => 0 },
        random: { next: () => 0.5 },
        options: resolveRoutingOptions(),
        isEvacuated: () => false,
        countGateways: () => 1,
        queuedPerServer: 0,
        readConnections: () => undefined,
    });
}

describe("places of a service", () => {
    // Guards against one more admitted request for each one that runs at two backend servers.
    const cases = [
        ["the request takes a slot at each", false, 2 * capacity - 1, 2 * capacity],
        ["one of which is ejected: it takes one there while the other attempt lasts", true, capacity, capacity + 1],
    ] as const;
    for (const [name, isEjected, duringSecond, afterSecond] of cases) {
        it(`while a request has attempts at two backend servers, ${name}`, () => {
            const [first, second] = [createServer("i-1"), createServer("i-2")];
            const selector = createSelector([first, second]);
            expect(selector.computeServiceShare(service, demand).places).toEqual(2 * capacity);
            selector.trackRequest(service);
            selector.trackAttempt(first);
            const endSecond = selector.trackAttempt(second);
            first.runner.ejectedUntil = isEjected ? 1_000 : 0;
            // The places include that of the request itself.
            expect(selector.computeServiceShare(service, demand).places).toEqual(duringSecond);
            endSecond();
            expect(selector.computeServiceShare(service, demand).places).toEqual(afterSecond);
        });
    }
});
