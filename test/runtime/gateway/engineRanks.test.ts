import { expect } from "earl";
import { describe, it } from "node:test";
import { findRankedServices } from "../../../src/runtime/gateway/index.js";
import type { AccountRow, RouteRow, ServiceRow } from "../../../src/types/index.js";
import { createConfiguration, createRoute } from "./configuration.js";

const engine = { model: "scribe", layers: 1, chunks: 1, chunkBytes: 1, slots: 4 };
const account: AccountRow = { name: "family", apiKeys: ["key-1"], urgency: undefined };

interface RankCase {
    readonly title: string;
    readonly isRanked: boolean;
    readonly routes: readonly Partial<RouteRow>[];
    readonly accounts?: readonly AccountRow[];
    readonly service?: Partial<ServiceRow>;
}

const elsewhere = [{ service: "other", weight: 1 }];
const unused = [{ service: "archive", weight: 0 }];

const cases: readonly RankCase[] = [
    { title: "one route", isRanked: false, routes: [{ urgency: 2 }] },
    { title: "routes of one rank", isRanked: false, routes: [{ urgency: 2 }, { urgency: 2 }] },
    { title: "routes of two ranks", isRanked: true, routes: [{ urgency: 0 }, { urgency: 2 }] },
    {
        title: "a second rank at another service",
        isRanked: false,
        routes: [{}, { urgency: 2, destinations: elsewhere }],
    },
    { title: "a second rank without weight", isRanked: false, routes: [{}, { urgency: 2, destinations: unused }] },
    { title: "accounts of two ranks", isRanked: true, routes: [{}], accounts: [account, { ...account, urgency: 3 }] },
    {
        title: "an account whose rank replaces those of the routes",
        isRanked: false,
        routes: [{ urgency: 0 }, { urgency: 2 }],
        accounts: [{ ...account, urgency: 3 }],
    },
    {
        title: "a public route beside an account with another rank",
        isRanked: true,
        routes: [{ isPublic: true }],
        accounts: [{ ...account, urgency: 3 }],
    },
    {
        title: "two ranks without an engine",
        isRanked: false,
        routes: [{}, { urgency: 2 }],
        service: { engine: undefined },
    },
];

describe("services whose requests differ in rank", () => {
    for (const { accounts = [account], isRanked, routes, service, title } of cases) {
        // Guards against a rank that is stated to engines where it decides nothing, which would put all requests before
        // or behind those of other gateways that state none.
        it(`with ${title}: ${isRanked ? "ranked" : "not ranked"}`, () => {
            const configuration = createConfiguration({
                routes: routes.map(createRoute),
                accounts,
                services: [{ ...createConfiguration().services[0]!, engine, ...service }],
            });
            expect([...findRankedServices(configuration)]).toEqual(isRanked ? ["archive"] : []);
        });
    }
});
