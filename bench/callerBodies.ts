import { fork } from "node:child_process";
import { setTimeout as sleep } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { parseArgs } from "node:util";
import { call } from "../test/platform/standIn/caller.js";
import { operatorConfiguration, startDeployment } from "../test/platform/standIn/deployment.js";
import { formatHead } from "../test/platform/standIn/rawCaller.js";

const { values } = parseArgs({
    options: {
        callers: { type: "string", default: "10" },
        requests: { type: "string", default: "60" },
    },
});

const callersPath = fileURLToPath(new URL("callers/floodingCallers.ts", import.meta.url));
const maximumBodyBytes = 1_000_000;
const warmUpMilliseconds = 1_500;
const pauseMilliseconds = 30;

await using deployment = await startDeployment();
deployment.configure({ version: 2, limits: { ...operatorConfiguration.limits, max_body_bytes: maximumBodyBytes } });
await deployment.addRunner({ id: "i-1" });
const callers = fork(callersPath, { execArgv: ["--import", "tsx"] });
callers.send({
    port: Number(new URL(deployment.gatewayUrl).port),
    callers: Number(values.callers),
    head: formatHead("POST /unsafe/", "transfer-encoding: chunked"),
});
await sleep(warmUpMilliseconds);
const times: number[] = [];
for (let count = 0; count < Number(values.requests); count++) {
    const startedAt = performance.now();
    await call(deployment, "/safe/").catch(() => undefined);
    times.push(performance.now() - startedAt);
    await sleep(pauseMilliseconds);
}
callers.kill();
times.sort((left, right) => left - right);
const median = times[Math.floor(times.length / 2)]!;
console.log(
    `Time of a request beside ${values.callers} callers that send bodies of up to ${maximumBodyBytes} single-byte chunks:`,
);
console.log(`median ${median.toFixed(0)} ms, longest ${times.at(-1)!.toFixed(0)} ms, ${times.length} requests`);
