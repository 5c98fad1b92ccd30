import { expect } from "earl";
import { execFile } from "node:child_process";
import { describe, it } from "node:test";
import { promisify } from "node:util";
import { resolveGatewaySettings } from "../../src/node/settings/index.js";
import { expectOk } from "../node/support.js";
import { type EndlessPart, startEndlessRunner } from "./standIn/endlessRunner.js";

/** `memory_mb` of the smallest machines. */
const memoryMegabytes = 202;
/** Memory that a process uses while it serves. */
const usedMegabytes = 99;
const parts: readonly EndlessPart[] = [
    "no-answer",
    "status-line",
    "field",
    "fields",
    "interim-answers",
    "body-until-close",
    "chunks",
    "chunk-extension",
    "trailers",
];

/** Calls the runner from another process, and returns by how many bytes the memory of that process has grown. */
async function measureGrowth(address: string, limit: number): Promise<number> {
    const script = "test/platform/standIn/endlessReaderProcess.ts";
    const { stdout } = await promisify(execFile)(process.execPath, [
        "--max-old-space-size=98",
        "--import",
        "tsx",
        script,
        address,
        String(limit),
        "2500",
    ]);
    return Number(stdout);
}

describe("process that calls a backend server whose answers do not end", () => {
    for (const part of parts) {
        // Guards against a process that runs out of memory, and ends the requests of other callers with it.
        it(`stays within the memory of the smallest machines: ${part}`, async () => {
            await using endless = await startEndlessRunner(part);
            const flags = { "gateway.memoryMegabytes": String(memoryMegabytes) };
            const { gateway } = expectOk(resolveGatewaySettings({ environment: {}, flags }));
            const grownBytes = await measureGrowth(endless.address, gateway.maximumHeldAnswerBytes);
            expect(grownBytes / 1_048_576).toBeLessThan(memoryMegabytes - usedMegabytes);
            expect(endless.countRequests()).toBeGreaterThan(0);
        });
    }
});
