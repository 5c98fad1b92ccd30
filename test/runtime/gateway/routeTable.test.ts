import { expect } from "earl";
import { describe, it } from "node:test";
import { createRouteTable, resolveRoute, selectService } from "../../../src/runtime/gateway/index.js";
import { createConfiguration, createRoute } from "./configuration.js";

describe("resolution of routes", () => {
    const table = createRouteTable(createConfiguration({
        routes: [
            createRoute({ name: "short", pathPrefix: "/a/" }),
            createRoute({ name: "long", pathPrefix: "/a/b/" }),
            createRoute({ name: "public", pathPrefix: "/open/", isPublic: true }),
        ],
    }));
    const resolve = (host: string | undefined, path: string, apiKey: string | undefined = "key-2") => {
        const resolution = resolveRoute(table, { host, path, apiKey });
        return resolution.kind === "found" ? resolution.route.name : resolution.kind;
    };

    it("takes the longest prefix of the host", () => {
        expect(resolve("members.example", "/a/x")).toEqual("short");
        expect(resolve("members.example", "/a/b/x?y=/c")).toEqual("long");
        expect(resolve("Members.Example:8443", "/a/b/")).toEqual("long");
    });

    it("does not look at the query, and knows no other host or path", () => {
        expect(resolve("members.example", "/c?/a/")).toEqual("no-route");
        expect(resolve("other.example", "/a/")).toEqual("no-route");
        expect(resolve(undefined, "/a/")).toEqual("no-route");
        expect(resolve("members.example", "/a")).toEqual("no-route");
    });

    it("wants a known key unless the route is public", () => {
        expect(resolve("members.example", "/a/", "key-3")).toEqual("unknown-key");
        expect(resolveRoute(table, { host: "members.example", path: "/a/", apiKey: undefined }).kind)
            .toEqual("unknown-key");
        expect(resolve("members.example", "/open/", "key-3")).toEqual("public");
    });

    it("wants no key where the configuration has no accounts", () => {
        const open = createRouteTable(createConfiguration({ accounts: undefined }));
        expect(resolveRoute(open, { host: "members.example", path: "/", apiKey: undefined }).kind).toEqual("found");
    });
});

describe("choice of the service of a split route", () => {
    it("follows the weights and finds the same service for the same request", () => {
        const route = createRoute({ destinations: [{ service: "a", weight: 90 }, { service: "b", weight: 10 }] });
        const counts: Record<string, number> = {};
        for (let index = 0; index < 2_000; index++) {
            const service = selectService(route, `request-${index}`)!;
            expect(selectService(route, `request-${index}`)).toEqual(service);
            counts[service] = (counts[service] ?? 0) + 1;
        }
        expect(counts["b"]! > 140 && counts["b"]! < 260).toEqual(true);
    });

    it("finds no service if all weights are zero", () => {
        expect(selectService(createRoute({ destinations: [{ service: "a", weight: 0 }] }), "x")).toEqual(undefined);
    });
});
