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
