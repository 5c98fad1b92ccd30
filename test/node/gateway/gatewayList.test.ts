import { expect } from "earl";
import { describe, it } from "node:test";
import { pino } from "pino";
import { createGatewayList } from "../../../src/node/gateway/membership/gatewayList.js";
import { createRecordStore } from "../../../src/node/replica/index.js";
import { resolveGatewaySettings } from "../../../src/node/settings/index.js";
import type { KeyedRecord } from "../../../src/types/index.js";
import { createManualClock } from "../../../src/utils/index.js";
import { expectOk } from "../support.js";

const settings = expectOk(resolveGatewaySettings({
    environment: {},
    flags: { "instance.id": "gateway-1", "instance.zone": "zone-a", "instance.grpcAddress": "127.0.0.1:7000" },
}));

describe("list of gateways", () => {
    // Guards against a number of gateways that stays as it was when it was first read.
    it("follows the records of the gateways", () => {
        const clock = createManualClock();
        const store = createRecordStore(["instances"], clock, pino({ level: "silent" }));
        let seeds: readonly string[] = [];
        const gateways = createGatewayList(store, settings, clock, () => seeds);
        let nextOffset = 0;
        const receive = (key: string, content: unknown): void => {
            const value = content === undefined ? undefined : Buffer.from(JSON.stringify(content));
            const records: KeyedRecord[] = [{ key, value, offset: nextOffset }];
            nextOffset++;
            const page = { records, nextOffset };
            store.receive({ topic: "instances", page, complete: false, age: 0, source: "log", peer: "log" });
        };
        const record = { address: "10.0.0.1:7000", zone: "zone-a", region: "south", startedAt: 1 };
        const lists = [gateways.listIdentifiers()];
        for (
            const [key, content] of [
                ["gateway-2", record],
                ["gateway-1", record],
                ["gateway-3", "unreadable"],
                ["gateway-2", undefined],
            ] as const
        ) {
            receive(key, content);
            lists.push(gateways.listIdentifiers());
            expect(gateways.count()).toEqual(Math.max(1, gateways.listIdentifiers().length));
        }
        expect(lists).toEqual([[], ["gateway-2"], ["gateway-1", "gateway-2"], ["gateway-1", "gateway-2"], [
            "gateway-1",
        ]]);
        // Guards against addresses of seeds or gateways that stay as they were when they were first read.
        const addresses = [gateways.listAddresses()];
        seeds = ["10.0.0.9:1"];
        addresses.push(gateways.listAddresses());
        receive("gateway-1", { ...record, address: "10.0.0.2:7000" });
        addresses.push(gateways.listAddresses());
        const { relayPort } = settings.gateway;
        expect(addresses).toEqual([["10.0.0.1:7000"], ["10.0.0.1:7000", `10.0.0.9:${relayPort}`], [
            "10.0.0.2:7000",
            `10.0.0.9:${relayPort}`,
        ]]);
    });
});
