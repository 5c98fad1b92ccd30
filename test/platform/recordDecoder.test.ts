import { expect } from "earl";
import { describe, it } from "node:test";
import { createRecordDecoder } from "../../platform/recordDecoder.js";
import { operatorConfiguration } from "./standIn/deployment.js";
import { unreadableEntries } from "./standIn/oddEntries.js";
import { createServerRecord } from "./standIn/serverRecord.js";

describe("decoder of the platform's records", () => {
    const decoder = createRecordDecoder();

    it("reads an entry of a backend server, and ignores unknown fields", () => {
        const entry = { ...createServerRecord("10.0.0.7:8080"), other: [[[1e300]]] };
        expect(decoder.decodeBackendServer("i-1", Buffer.from(JSON.stringify(entry)))).toEqual({
            instance: "i-1",
            service: "archive",
            address: "10.0.0.7:8080",
            zone: "zone-a",
            slots: 4,
            state: "ready",
            weights: undefined,
            startedAt: 1,
            coldRemaining: 0,
        });
    });

    for (const { content, key = "i-1", name } of unreadableEntries) {
        it(`treats an entry that cannot be used as absent: ${name}`, () => {
            expect(decoder.decodeBackendServer(key, Buffer.from(content))).toEqual(undefined);
        });
    }

    function decodeConfiguration(changes: Readonly<Record<string, unknown>>) {
        const content = JSON.stringify({ ...operatorConfiguration, ...changes });
        return decoder.decodeConfiguration("config", Buffer.from(content));
    }

    // Guards against timers that fire at once, or warn about each answer, because Node adds a second to the limit.
    it("shortens an idle limit that no timer can have", () => {
        const limits = { ...operatorConfiguration.limits, idle_timeout_ms: 1e308 };
        expect(decodeConfiguration({ limits })?.limits.idleTimeout).toEqual(2 ** 31 - 1 - 1_000);
    });

    const [route] = operatorConfiguration.routes;
    const [service] = operatorConfiguration.services;

    // Guards against a service whose cold backend servers are limited to no requests, or to a rate that is not a number.
    for (const [duration, rate] of [[3, -1], [-1, 36], ["3", 36], [3, undefined]]) {
        it(`names a slow start that is not valid, and keeps the rest: ${duration} s, ${rate} requests/s`, () => {
            const decoded = decodeConfiguration({
                services: [{ ...service, cold_start_s: duration, cold_per_s: rate }],
            });
            expect(decoded?.services[0]?.slowStart).toEqual(undefined);
            expect(decoded?.problems?.length).toEqual(1);
            expect(decoded?.routes.length).toEqual(operatorConfiguration.routes.length);
        });
    }

    it("reads the slow start of a service; figures of 0 stand for none", () => {
        const cold = decodeConfiguration({ services: [{ ...service, cold_start_s: 3, cold_per_s: 36 }] });
        expect(cold?.services[0]?.slowStart).toEqual({ duration: 3_000, requestsPerSecond: 36 });
        const none = decodeConfiguration({ services: [{ ...service, cold_start_s: 0, cold_per_s: 0 }] });
        expect(none?.services[0]?.slowStart).toEqual(undefined);
        expect(none?.problems).toEqual(undefined);
    });

    // Guards against requests that are served in a region that their route or account does not allow.
    it("reads the allowed regions of routes and accounts; an empty list allows all", () => {
        const decoded = decodeConfiguration({
            routes: [{ ...route, allowed_regions: ["north"] }, { ...route, allowed_regions: [] }],
            tenants: [{ name: "choir", api_keys: ["key"], allowed_regions: ["north", "south"] }],
        });
        expect(decoded?.routes.map(({ allowedRegions }) => allowedRegions)).toEqual([["north"], undefined]);
        expect(decoded?.accounts?.[0]?.allowedRegions).toEqual(["north", "south"]);
    });

    it("reads the zone of an evacuation from its key", () => {
        expect(decoder.classifyOperatorKey("evacuate/zone-a")).toEqual("evacuation");
        expect(decoder.decodeEvacuation("evacuate/zone-a")).toEqual("zone-a");
        expect(decoder.decodeEvacuation("evacuate/")).toEqual(undefined);
    });

    it("reads how long a backend server stays cold, and leaves out what is no such time", () => {
        for (const [stated, expected] of [[1_200, 1_200], [0, 0], [-5, undefined], ["1", undefined]] as const) {
            const entry = { ...createServerRecord("10.0.0.7:8080"), cold_remaining_ms: stated };
            const listed = decoder.decodeBackendServer("i-1", Buffer.from(JSON.stringify(entry)));
            expect(listed?.coldRemaining).toEqual(expected);
        }
    });

    const unreadableConfigurations: Readonly<Record<string, Readonly<Record<string, unknown>>>> = {
        "no limits": { limits: undefined },
        "an idle limit of 0": { limits: { ...operatorConfiguration.limits, idle_timeout_ms: 0 } },
        "a negative body limit": { limits: { ...operatorConfiguration.limits, max_body_bytes: -1 } },
        "no attempts": { routes: [{ ...route, max_attempts: 0 }] },
        "a timeout of another type": { routes: [{ ...route, timeout_ms: "1500" }] },
        "an unknown kind of route": { routes: [{ ...route, kind: "other" }] },
        "no connections": { services: [{ ...operatorConfiguration.services[0], max_connections: 0 }] },
        "tenants of another type": { tenants: 7 },
    };
    for (const [name, changes] of Object.entries(unreadableConfigurations)) {
        it(`reads no configuration, so that the one before stays in force: ${name}`, () => {
            expect(decodeConfiguration(changes)).toEqual(undefined);
        });
    }
});
