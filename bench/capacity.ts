import { loadavg } from "node:os";
import { parseArgs } from "node:util";
import { measureAppends } from "./capacity/appends.js";
import { measureFollowers } from "./capacity/followers.js";
import { measureIdleMemory } from "./capacity/idleMemory.js";
import { measureInForce } from "./capacity/inForce.js";
import { measureInstanceRows } from "./capacity/instanceRows.js";
import { measureLoadReports } from "./capacity/loadReports.js";
import type { CapacityFigure } from "./capacity/measurement.js";
import { measureStreams } from "./capacity/streams.js";
import { measureSubsets } from "./capacity/subsets.js";
import { measureTableRows } from "./capacity/tableRows.js";

const { values: flags } = parseArgs({
    options: {
        json: { type: "boolean", default: false },
        check: { type: "boolean", default: false },
        seed: { type: "string", default: "1" },
        /** Part to run; all if empty. */
        only: { type: "string", default: "" },
    },
});

/** Parts of the benchmark; they run one after the other. */
const parts: Readonly<Record<string, (seed: number) => CapacityFigure[] | Promise<CapacityFigure[]>>> = {
    "table-rows": measureTableRows,
    subsets: measureSubsets,
    appends: measureAppends,
    "idle-memory": measureIdleMemory,
    "instance-rows": measureInstanceRows,
    followers: measureFollowers,
    "load-reports": measureLoadReports,
    streams: measureStreams,
    "in-force": measureInForce,
};

function isMissed({ budget, value }: CapacityFigure): boolean {
    return budget !== undefined && !(value <= budget);
}

function formatFigure({ budget, name, unit, value }: CapacityFigure): string {
    const text = `  ${name}: ${Number(value.toPrecision(4))} ${unit}`;
    const ratio = budget === undefined || budget === 0 ? "" : `, ratio ${(value / budget).toFixed(2)}`;
    return budget === undefined ? text : `${text} (budget ${budget}${ratio})`;
}

const results = [];
for (const [part, measure] of Object.entries(parts).filter(([name]) => flags.only === "" || name === flags.only)) {
    const load = loadavg()[0]!;
    const figures = await measure(Number(flags.seed));
    results.push({ part, loadBefore: load, loadAfter: loadavg()[0]!, figures });
    if (!flags.json) {
        console.log(`${part} (load of the machine ${load.toFixed(1)} before, ${loadavg()[0]!.toFixed(1)} after)`);
        console.log(figures.map(formatFigure).join("\n"));
    }
}
const missed = results.flatMap(({ figures }) => figures.filter(isMissed));
if (flags.json) {
    console.log(JSON.stringify({ seed: Number(flags.seed), results, missed: missed.map(({ name }) => name) }));
}
for (const figure of flags.check ? missed : []) {
    console.error(`missed budget: ${formatFigure(figure).trim()}`);
    process.exitCode = 1;
}
