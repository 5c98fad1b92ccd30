import { expect } from "earl";
import { describe, it } from "node:test";
import { createEligibility } from "../../../src/node/gateway/selection/eligibility.js";
import { createRegionLimits } from "../../../src/node/gateway/selection/regionLimits.js";
import type { GatewayRequest } from "../../../src/node/gateway/types.js";
import { type AllowedRegions, createRouteTable, type RouteTable } from "../../../src/runtime/gateway/index.js";
import type { AccountRow, RouteRow, ServiceRow } from "../../../src/types/index.js";
import { createConfiguration, createRoute } from "../../runtime/gateway/configuration.js";

const service = { name: "archive", engine: undefined } as ServiceRow;

function createTable(route: Partial<RouteRow>, account: Partial<AccountRow> = {}): RouteTable {
    const accounts = [{ name: "family", apiKeys: ["key-1"], urgency: undefined, ...account }];
    return createRouteTable(createConfiguration({ routes: [createRoute(route)], accounts }));
}

function createRequest(table: RouteTable, signal = new AbortController().signal): GatewayRequest {
    return {
        service,
        route: table.configuration.routes[0],
        account: table.configuration.accounts![0],
        headers: { host: "members.example" },
        path: "/read",
        call: { apiKey: "key-1" },
        signal,
    } as unknown as GatewayRequest;
}

/** Creates the check at a gateway with backend servers in one region only. */
function prepare(initial: RouteTable) {
    const known = { routes: initial };
    const regions = createRegionLimits(() => known.routes);
    const eligibility = createEligibility({
        regions,
        explainIneligible: (...[, allowed]: [ServiceRow, AllowedRegions]) =>
            allowed === undefined || allowed.has("south") ? undefined : "outside-regions",
    });
    return { eligibility, known, regions };
}

describe("configuration that narrows the regions", () => {
    // Guards against a request that runs in a region which was forbidden while it waited, or waits for its deadline.
    it("refuses the requests that wait, and that no server may get", () => {
        const { eligibility, known } = prepare(createTable({}));
        const request = createRequest(known.routes);
        using wait = eligibility.watch(request);
        eligibility.update();
        expect([wait.signal.aborted, wait.readRefusal()]).toEqual([false, undefined]);
        known.routes = createTable({ allowedRegions: ["north", "south"] }, { allowedRegions: ["north"] });
        eligibility.update();
        expect(wait.signal.aborted).toEqual(true);
        expect(wait.readRefusal()).toEqual({ ran: "no", reason: "outside-regions", retryAfterSeconds: 1 });
    });

    // Guards against regions of a request that are kept although another configuration is in force.
    it("applies to requests that arrived before it, unless it no longer has their route", () => {
        const { known, regions } = prepare(createTable({ allowedRegions: ["south"] }));
        const request = createRequest(known.routes);
        expect(regions.find(request)).toEqual(new Set(["south"]));
        known.routes = createTable({ allowedRegions: ["north"] });
        expect(regions.find(request)).toEqual(new Set(["north"]));
        known.routes = createTable({ pathPrefix: "/write", allowedRegions: ["north"] });
        expect(regions.find(request)).toEqual(new Set(["south"]));
    });
});

describe("request that waits", () => {
    // Guards against a caller that has left and whose request waits on.
    it("is canceled with its caller, without a reason of its own", () => {
        const { eligibility, known } = prepare(createTable({}));
        const caller = new AbortController();
        using wait = eligibility.watch(createRequest(known.routes, caller.signal));
        caller.abort();
        expect([wait.signal.aborted, wait.readRefusal()]).toEqual([true, undefined]);
    });
});
