import { expect } from "earl";
import { describe, it } from "node:test";
import { createRecordDecoder } from "../../platform/recordDecoder.js";
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
});
