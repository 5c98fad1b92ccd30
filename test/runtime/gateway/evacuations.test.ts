import { expect } from "earl";
import { describe, it } from "node:test";
import { createEvacuationTable, recordEvacuation } from "../../../src/runtime/gateway/index.js";

describe("evacuation of a zone", () => {
    // Guards against an evacuation that restarts each time its record is read, which would hide since when it lasts.
    it("keeps its beginning when its record is read again", () => {
        const table = createEvacuationTable();
        expect(recordEvacuation(table, "zone-a", true, 1_000)).toEqual("begun");
        expect(recordEvacuation(table, "zone-a", true, 2_000)).toEqual("none");
        expect([...table.evacuated.values()]).toEqual([{ zone: "zone-a", since: 1_000 }]);
    });

    // Guards against a removal that is read again and makes a zone cold that has been warm for long.
    it("ends once, also if its removal is read again", () => {
        const table = createEvacuationTable();
        recordEvacuation(table, "zone-a", true, 1_000);
        expect(recordEvacuation(table, "zone-a", false, 2_000)).toEqual("lifted");
        expect(recordEvacuation(table, "zone-a", false, 3_000)).toEqual("none");
        expect([table.evacuated.size, table.lifted.get("zone-a")]).toEqual([0, 2_000]);
    });

    it("is not known to have been lifted by a removal without it", () => {
        const table = createEvacuationTable();
        expect(recordEvacuation(table, "zone-a", false, 1_000)).toEqual("none");
        expect(table.lifted.size).toEqual(0);
    });

    // Guards against records of always different zones that exhaust the memory of the gateway.
    it("is forgotten after many others were lifted", () => {
        const table = createEvacuationTable();
        for (let index = 0; index < 1_000; index++) {
            recordEvacuation(table, `zone-${index}`, true, index);
            recordEvacuation(table, `zone-${index}`, false, index);
        }
        expect([table.lifted.size, table.lifted.has("zone-999")]).toEqual([100, true]);
    });
});
