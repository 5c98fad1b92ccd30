import { expect } from "earl";
import { randomBytes } from "node:crypto";
import { mkdtempSync, readFileSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { describe, it } from "node:test";
import { findFreePorts } from "../../src/standIn/index.js";
import { createDisposalStack, sleep } from "../../src/utils/index.js";
import { operatorConfiguration, waitUntil } from "./standIn/deployment.js";
import { type GatewayProcess, startGatewayProcess } from "./standIn/gatewayProcess.js";
import { createServerRecord } from "./standIn/serverRecord.js";
import { startStoreStandIn, type StoreStandIn } from "./standIn/storeStandIn.js";

/** `memory_mb` of the smallest machines. */
const memoryMegabytes = 202;
/** Memory that a gateway uses while it serves. */
const usedMegabytes = 99;
const startTimeLimitMilliseconds = 40_000;
const list = "keyed.servers";
const kibibytesPerMebibyte = 1_024;
/** Records that are written between two pauses, in which gateways read them. */
const recordsPerPause = 20;

interface RecordKind {
    readonly name: string;
    readonly topic: string;
    readonly count: number;
    readonly createKey: (index: number) => string;
    readonly createValue: (index: number) => Buffer;
}

function createEntry(fields: Readonly<Record<string, unknown>>): Buffer {
    return Buffer.from(JSON.stringify(createServerRecord("127.0.0.1:1", fields)));
}

const largeRecords = { topic: list, count: 200, createKey: (index: number) => `odd-${index}` };
const kinds: readonly RecordKind[] = [
    { ...largeRecords, name: "large entries that are no JSON", createValue: () => randomBytes(262_000) },
    {
        ...largeRecords,
        name: "large entries without an address",
        createValue: () => createEntry({ address: undefined, note: randomBytes(130_000).toString("hex") }),
    },
    {
        ...largeRecords,
        name: "entries of unknown services with large fields",
        createValue: () => createEntry({ service: "unknown", note: randomBytes(130_000).toString("hex") }),
    },
    {
        ...largeRecords,
        name: "an entry that is written again and again",
        createKey: () => "odd",
        createValue: () => randomBytes(262_000),
    },
    {
        ...largeRecords,
        name: "many small entries of unknown services",
        count: 30_000,
        createValue: index => createEntry({ service: `unknown-${index % 500}` }),
    },
    {
        ...largeRecords,
        name: "large records among those of gateways",
        topic: "keyed.goldcrestpoint-instances",
        createValue: () => randomBytes(262_000),
    },
    {
        ...largeRecords,
        name: "large records among those of condemned requests",
        topic: "keyed.goldcrestpoint-condemned-requests",
        createValue: () => randomBytes(262_000),
    },
];

function readResidentMegabytes({ processId }: GatewayProcess): number {
    const status = readFileSync(`/proc/${processId}/status`, "utf8");
    return Number(/^VmRSS:\s+(\d+) kB$/m.exec(status)![1]) / kibibytesPerMebibyte;
}

/** Starts gateways that follow each other, and records their highest memory. */
async function startGateways(store: StoreStandIn) {
    const stack = createDisposalStack();
    const folder = mkdtempSync(join(tmpdir(), "gateways-"));
    stack.defer(() => rmSync(folder, { recursive: true, force: true }));
    const [callers, ready, relay, metrics] = await findFreePorts(4) as [number, number, number, number];
    const peaks = new Map<GatewayProcess, number>();
    const timer = setInterval(() => {
        for (const [gateway, peak] of peaks) {
            peaks.set(gateway, Math.max(peak, readResidentMegabytes(gateway)));
        }
    }, 50);
    return {
        peaks,
        start: async (): Promise<GatewayProcess> => {
            const number = peaks.size + 1;
            const gateway = stack.use(startGatewayProcess({
                instance: `gateway-${number}`,
                host: `127.0.0.${60 + number}`,
                ports: { callers, ready, relay, metrics },
                storeAddress: store.address,
                drainTimeLimitSeconds: 8,
                folder,
                runtimeFlags: ["--max-old-space-size=180"],
                gatewayKeys: [`memoryMegabytes = ${memoryMegabytes}`, "seeds = 127.0.0.61:1,127.0.0.62:1"],
            }));
            peaks.set(gateway, 0);
            await waitUntil("a gateway is ready", () => gateway.isReady(), startTimeLimitMilliseconds);
            return gateway;
        },
        [Symbol.asyncDispose]: () => {
            clearInterval(timer);
            return stack[Symbol.asyncDispose]();
        },
    };
}

describe("gateways beside records of another writer", () => {
    for (const { count, createKey, createValue, name, topic } of kinds) {
        // Guards against gateways that are killed for their memory, with the requests that they have passed on.
        it(`stay within the memory of the smallest machines, at their start, too: ${name}`, async () => {
            await using store = await startStoreStandIn();
            store.write("keyed.op", "config", operatorConfiguration);
            store.write(list, "i-1", createServerRecord("127.0.0.1:1"));
            await using gateways = await startGateways(store);
            const first = await gateways.start();
            await gateways.start();
            await sleep(500);
            const idle = readResidentMegabytes(first);
            for (let index = 0; index < count; index++) {
                store.writeBytes(topic, createKey(index), createValue(index));
                if (index % (count / recordsPerPause) === 0) {
                    await sleep(100);
                }
            }
            await sleep(1_000);
            await gateways.start();
            await sleep(500);
            const grown = [...gateways.peaks.values()].map(peak => Math.max(0, peak - idle));
            expect(Math.max(...grown)).toBeLessThan(memoryMegabytes - usedMegabytes);
        });
    }
});
