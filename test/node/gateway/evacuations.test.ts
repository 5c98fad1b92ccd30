import { expect } from "earl";
import { describe, it } from "node:test";
import { createEvacuations } from "../../../src/node/gateway/membership/evacuations.js";
import { createLogger } from "../../../src/node/logging/index.js";
import { createRecordStore } from "../../../src/node/replica/index.js";
import { createManualClock } from "../../../src/utils/index.js";

type OperatorRecords = Readonly<Record<string, "present" | "removed">>;

/** Creates the evacuations of a gateway that reads them from a log, which may be restored from a backup. */
function prepare(knownZones: readonly string[] = ["zone-a", "zone-b"]) {
    const clock = createManualClock();
    const logLines: string[] = [];
    const destination = { write: (line: string) => void logLines.push(line) };
    const logger = createLogger({ level: "info", program: "gateway", instance: "gateway-1", destination });
    const store = createRecordStore(["operator"], clock, logger);
    const evacuations = createEvacuations({
        decoder: { decodeEvacuation: key => key === "evacuate/" ? undefined : key.replace("evacuate/", "") },
        clock,
        logger,
        knownZones: new Set(knownZones),
    });
    store.onChange((...[, records, page]) => records.forEach(record => evacuations.apply(record, page)));
    let offset = 0;
    /** Receives a read of the log: all keys if it is complete, as the first one is, or changes. */
    const receive = (keys: OperatorRecords, { complete = offset === 0, era = 1 } = {}): void => {
        const records = Object.entries(keys).map(([key, state]) => ({
            key: `evacuate/${key}`,
            value: state === "present" ? Buffer.from("{}") : undefined,
            offset: offset++,
        }));
        const page = { records, nextOffset: offset, era };
        store.receive({ topic: "operator", page, complete, age: 0, source: "log", peer: "log" });
    };
    const listZones = (): readonly string[] => evacuations.list().map(({ zone }) => zone);
    return { clock, evacuations, listZones, logLines, receive };
}

describe("evacuations of a log that was restored from a backup", () => {
    // Guards against requests to a zone that the operator evacuated after the backup was made.
    it("stay in effect if the backup lacks them", () => {
        const { listZones, receive } = prepare();
        receive({ "zone-a": "present" });
        receive({}, { complete: true, era: 2 });
        expect(listZones()).toEqual(["zone-a"]);
        receive({ "zone-a": "removed" }, { era: 2 });
        expect(listZones()).toEqual([]);
    });

    // Guards against a zone that an old record takes out of service again.
    it("stay lifted if the backup is older than their removal", () => {
        const { evacuations, listZones, receive } = prepare();
        receive({ "zone-a": "present" });
        receive({ "zone-a": "removed" });
        const liftedAt = evacuations.readLiftedAt("zone-a");
        receive({ "zone-a": "present" }, { complete: true, era: 2 });
        expect([listZones(), evacuations.readLiftedAt("zone-a")]).toEqual([[], liftedAt]);
    });

    it("begin again with a record that is written after the restore", () => {
        const { listZones, receive } = prepare();
        receive({ "zone-a": "present" });
        receive({ "zone-a": "removed" });
        receive({}, { complete: true, era: 2 });
        receive({ "zone-a": "present" }, { era: 2 });
        expect(listZones()).toEqual(["zone-a"]);
    });
});

describe("record of an evacuation", () => {
    // Guards against a log that fills with lines, and a beginning that moves, when a record is read twice.
    it("is applied once", () => {
        const { clock, evacuations, logLines, receive } = prepare();
        receive({ "zone-a": "present" });
        clock.advance(1_000);
        receive({ "zone-a": "present" }, { complete: true });
        expect(evacuations.list().map(({ since }) => since)).toEqual([clock.monotonic() - 1_000]);
        expect(logLines.filter(line => line.includes("\"evacuation begun\"")).length).toEqual(1);
    });

    // Guards against a record that stops the others, or is left out without a trace.
    it("is named in the log if its zone is not known, or its key names none", () => {
        const { listZones, logLines, receive } = prepare();
        receive({ nowhere: "present", "": "present", "zone-b": "present" });
        expect(listZones()).toEqual(["nowhere", "zone-b"]);
        const warnings = logLines.filter(line => line.includes("\"level\":\"warn\""));
        expect(warnings.map(line => line.includes("\"evacuate/nowhere\"") || line.includes("\"evacuate/\""))).toEqual([
            true,
            true,
        ]);
    });

    it("raises no warning at a gateway that does not know the zones", () => {
        const { logLines, receive } = prepare([]);
        receive({ "zone-a": "present" });
        expect(logLines.some(line => line.includes("\"level\":\"warn\""))).toEqual(false);
    });
});
