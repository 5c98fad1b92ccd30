import { parseArgs } from "node:util";
import type { Measurement } from "./decisions/measurement.js";
import { modules } from "./decisions/modules.js";

const { values } = parseArgs({
    options: {
        json: { type: "boolean", default: false },
        check: { type: "boolean", default: false },
        seed: { type: "string", default: "1" },
    },
});

function isMissed({ value, target }: Measurement): boolean {
    return target !== undefined && value > target;
}

function formatMeasurement({ name, value, unit, target }: Measurement): string {
    const text = `${name}: ${value.toFixed(value < 100 ? 2 : 0)} ${unit}`;
    return target === undefined ? text : `${text} (target: at most ${target})`;
}

const measurements = modules.flatMap(measure => measure(Number(values.seed)));
const missed = measurements.filter(isMissed);

if (values.json) {
    console.log(JSON.stringify({ seed: Number(values.seed), measurements, missed: missed.map(({ name }) => name) }));
}
else {
    console.log(measurements.map(formatMeasurement).join("\n"));
}
for (const measurement of values.check ? missed : []) {
    console.error(`missed target: ${formatMeasurement(measurement)}`);
    process.exitCode = 1;
}
