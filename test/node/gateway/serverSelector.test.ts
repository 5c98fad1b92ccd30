import { expect } from "earl";
import { describe, it } from "node:test";
import type { GatewayState } from "../../../src/node/gateway/membership/gatewayState.js";
import { createServerSelector, type ServerSelector } from "../../../src/node/gateway/selection/serverSelector.js";
import type { AllowedRegions, BackendServerRow } from "../../../src/runtime/gateway/index.js";
import { createRunnerRow, resolveRoutingOptions } from "../../../src/runtime/routing/index.js";
import type { ServiceRow } from "../../../src/types/index.js";

const capacity = 4;
const service = { name: "archive", engine: undefined } as ServiceRow;
const demand = { arrivalRate: 0.001, serviceTime: 100 };

function createServer(instance: string, address = "127.0.0.1:80"): BackendServerRow {
    const runner = Object.assign(createRunnerRow("archive", { instance, zone: "zone-a", region: "south" }), {
        phase: "serving",
        reportedAt: 0,
        capacity,
    });
    return { runner, listed: { instance, address }, reportedAt: 0 } as unknown as BackendServerRow;
}

function createSelector(servers: ReadonlyMap<string, BackendServerRow>): ServerSelector {
    return createServerSelector({
        state: { servers, listServers: () => [...servers.values()] } as unknown as GatewayState,
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
            const selector = createSelector(new Map([["i-1", first], ["i-2", second]]));
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

describe("request that has waited since its backend server was selected", () => {
    const changes: readonly {
        readonly name: string;
        readonly change: (rows: Map<string, BackendServerRow>) => void;
        readonly allowedRegions?: AllowedRegions;
        readonly expected: string | undefined;
    }[] = [
        { name: "an unchanged one", change: () => {}, expected: undefined },
        {
            name: "one that drains",
            change: rows => {
                rows.get("i-1")!.runner.draining = true;
            },
            expected: "draining",
        },
        { name: "one that is gone from the list", change: rows => rows.delete("i-1"), expected: "unlisted" },
        {
            name: "one whose instance is listed at another address",
            change: rows => rows.set("i-1", createServer("i-1", "127.0.0.2:80")),
            expected: "unlisted",
        },
        {
            name: "one whose entry was away for a while, and that drains now",
            change: rows => {
                rows.set("i-1", createServer("i-1"));
                rows.get("i-1")!.runner.draining = true;
            },
            expected: "draining",
        },
        {
            name: "one in another region",
            change: () => {},
            allowedRegions: new Set(["north"]),
            expected: "outside-regions",
        },
    ];
    for (const { allowedRegions, change, expected, name } of changes) {
        // Guards against requests that reach a backend server after the list has shown that it leaves.
        it(`is withheld from ${name}: ${String(expected)}`, () => {
            const server = createServer("i-1");
            const rows = new Map([["i-1", server]]);
            const selector = createSelector(rows);
            change(rows);
            expect(selector.findWithholding(server, allowedRegions)).toEqual(expected as never);
        });
    }
});
