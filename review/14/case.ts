import { join } from "node:path";
import { playFatalPart } from "../lib-3/fatalPart.js";
import { runCase } from "../lib-3/record.js";

await runCase(join("review", "14", "record.txt"), record =>
    playFatalPart(record, {
        sharedParts: Number(process.env["SHARED_PARTS"] ?? "17"),
        crashes: "before-first-event",
        fatalInterval: 250,
    }));
