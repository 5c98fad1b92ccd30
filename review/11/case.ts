import { join } from "node:path";
import { playFatalPart } from "../lib-3/fatalPart.js";
import { runCase } from "../lib-3/record.js";

await runCase(join("review", "11", "record.txt"), record =>
    playFatalPart(record, {
        sharedParts: 2,
        crashes: "after-first-event",
        fatalInterval: 200,
    }));
