import { expect } from "earl";
import { describe, it } from "node:test";
import { describeUnknownRegions, intersectAllowedRegions } from "../../../src/runtime/gateway/index.js";
import { createConfiguration, createRoute } from "./configuration.js";

describe("allowed regions of a request", () => {
    // Guards against a limit that replaces the other one, and against an empty intersection that allows any region.
    const cases = [
        [undefined, undefined, undefined],
        [["north"], undefined, ["north"]],
        [undefined, ["south"], ["south"]],
        [[], ["south"], ["south"]],
        [["north", "south"], ["south", "west"], ["south"]],
        [["north"], ["south"], []],
    ] as const;
    for (const [route, account, expected] of cases) {
        it(`are ${JSON.stringify(expected)} for ${JSON.stringify(route)} and ${JSON.stringify(account)}`, () => {
            const allowed = intersectAllowedRegions([{ allowedRegions: route }, { allowedRegions: account }]);
            expect(allowed && [...allowed]).toEqual(expected && [...expected]);
        });
    }

    it("are those of the route for a request without an account", () => {
        expect(intersectAllowedRegions([{ allowedRegions: ["north"] }, undefined])).toEqual(new Set(["north"]));
    });
});

describe("unknown regions of a configuration", () => {
    // Guards against a misspelled region that stops a route without a trace.
    it("are named with their route or account", () => {
        const routes = [createRoute({ allowedRegions: ["north", "nroth"] }), createRoute({ name: "other" })];
        const accounts = [{ name: "family", apiKeys: [], urgency: undefined, allowedRegions: ["west"] }];
        const lines = describeUnknownRegions(createConfiguration({ routes, accounts }), new Set(["north"]));
        expect(lines).toEqual([
            "route route: the allowed regions include unknown ones: nroth",
            "account family: the allowed regions include unknown ones: west",
        ]);
    });

    it("are not reported by a gateway that does not know the regions", () => {
        const routes = [createRoute({ allowedRegions: ["north"] })];
        expect(describeUnknownRegions(createConfiguration({ routes }), new Set())).toEqual([]);
    });
});
