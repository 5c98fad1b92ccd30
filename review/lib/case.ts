import { writeFileSync } from "node:fs";
import { endPrograms } from "./programs.js";

/** Result of a case: the rule was broken, it held, or the case could not run. */
export type Verdict = "broken" | "held" | "not-run";

const exitCodes: Readonly<Record<Verdict, number>> = { held: 0, broken: 1, "not-run": 2 };
const longestRun = 110_000;

/** False if the case is to do the same without the disruption. */
export const hasTrouble = process.env["TROUBLE"] !== "0";

const startedAt = performance.now();
const lines: string[] = [];

/** Writes a line to the record of the case, with the time since its start. */
export function record(text: string): void {
    lines.push(`${((performance.now() - startedAt) / 1_000).toFixed(3)} ${text}`);
}

/** Waits for a time in milliseconds. */
export function sleep(milliseconds: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, milliseconds));
}

/** Waits until a condition holds; fails after a time limit. */
export async function waitUntil(what: string, isMet: () => boolean | Promise<boolean>, limit = 20_000): Promise<void> {
    const endsAt = performance.now() + limit;
    while (!await isMet()) {
        if (performance.now() > endsAt) {
            throw new Error(`timed out: ${what}`);
        }
        await sleep(20);
    }
}

/** Runs a case, writes its record and ends the process with the verdict as its exit code. */
export async function runCase(recordPath: string, play: () => Promise<Verdict>): Promise<never> {
    const limit = sleep(longestRun).then((): Verdict => {
        record("the time limit was reached");
        return "not-run";
    });
    const verdict = await Promise.race([
        play().catch((error: unknown): Verdict => {
            record(`could not run: ${error instanceof Error ? error.stack ?? error.message : String(error)}`);
            return "not-run";
        }),
        limit,
    ]);
    await endPrograms();
    record(`trouble ${hasTrouble}: ${verdict}`);
    writeFileSync(recordPath, `${lines.join("\n")}\n`);
    console.log(lines.at(-1));
    process.exit(exitCodes[verdict]);
}
