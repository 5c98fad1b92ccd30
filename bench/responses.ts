import { fork } from "node:child_process";
import type { AddressInfo } from "node:net";
import { monitorEventLoopDelay } from "node:perf_hooks";
import { fileURLToPath } from "node:url";
import { parseArgs } from "node:util";
import { createEventSplitter } from "../src/node/gateway/answers/eventStream.js";
import { createHttpClient } from "../src/node/httpClient/index.js";
import type { ResponseKind } from "./responses/endlessServer.js";

const { values } = parseArgs({
    options: {
        peers: { type: "string", default: "1,10" },
        seconds: { type: "string", default: "3" },
        kinds: {
            type: "string",
            default: "large-chunks,single-byte-chunks,single-byte-writes,blank-lines,comments,events-below-limit," +
                "interim-responses,chunk-extension,trailers",
        },
    },
});

const serverPath = fileURLToPath(new URL("responses/endlessServer.ts", import.meta.url));
const nanosecondsPerMillisecond = 1e6;
const bytesPerMegabyte = 1e6;

interface Measurement {
    readonly longestDelay: number;
    readonly processorMilliseconds: number;
    readonly bodyBytes: number;
}

/** Reads responses as the relay of a gateway does, again and again, until the time is over. */
async function readEndlessly(baseUrl: string, signal: AbortSignal): Promise<number> {
    await using client = createHttpClient({ baseUrl, connections: 1 });
    let bytes = 0;
    while (!signal.aborted) {
        const opened = await client.open({ method: "GET", path: "/", signal, timeouts: { idle: Infinity } });
        if (opened.isErr) {
            continue;
        }
        const splitter = createEventSplitter();
        try {
            for await (const part of opened.value.body) {
                bytes += part.byteLength;
                splitter.push(part);
            }
        }
        catch {
            opened.value.discard();
        }
    }
    return bytes;
}

async function measure(kind: ResponseKind, peers: number): Promise<Measurement> {
    const child = fork(serverPath, [kind], { execArgv: ["--import", "tsx"] });
    const { port } = await new Promise<AddressInfo>(resolve => child.once("message", resolve));
    const delays = monitorEventLoopDelay({ resolution: 1 });
    const before = process.cpuUsage();
    delays.enable();
    const signal = AbortSignal.timeout(Number(values.seconds) * 1_000);
    const read = await Promise.all(
        Array.from({ length: peers }, () => readEndlessly(`http://127.0.0.1:${port}`, signal)),
    );
    delays.disable();
    const { system, user } = process.cpuUsage(before);
    child.kill();
    return {
        longestDelay: delays.max / nanosecondsPerMillisecond,
        processorMilliseconds: (system + user) / 1_000,
        bodyBytes: read.reduce((sum, bytes) => sum + bytes, 0),
    };
}

console.log("Longest delay of the event loop, and processor time, while responses do not end:");
for (const kind of values.kinds.split(",") as ResponseKind[]) {
    for (const peers of values.peers.split(",").map(Number)) {
        const { bodyBytes, longestDelay, processorMilliseconds } = await measure(kind, peers);
        const perMegabyte = processorMilliseconds / (bodyBytes / bytesPerMegabyte);
        console.log([
            kind.padEnd(20),
            `${peers} peers`.padEnd(9),
            `delay ${longestDelay.toFixed(0).padStart(6)} ms`,
            `${(bodyBytes / bytesPerMegabyte).toFixed(2).padStart(8)} MB of bodies`,
            `${bodyBytes === 0 ? "-".padStart(8) : perMegabyte.toFixed(1).padStart(8)} ms per MB`,
        ].join("  "));
    }
}
