import { createWriteStream } from "node:fs";

/** Record of a case: what was sent, answered and run. */
export interface CaseRecord {
    readonly write: (line: string) => void;
    /** Time since the record was opened, in seconds. */
    readonly seconds: () => number;
    close(): Promise<void>;
}

/** Opens the record of a case. */
export function openRecord(path: string): CaseRecord {
    const output = createWriteStream(path);
    const startedAt = performance.now();
    const seconds = (): number => (performance.now() - startedAt) / 1_000;
    return {
        seconds,
        write: line => void output.write(`${seconds().toFixed(3).padStart(8)} ${line}\n`),
        close: () => new Promise(resolve => output.end(() => resolve())),
    };
}

/** Waits for a time in milliseconds. */
export function pause(milliseconds: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, milliseconds));
}

/** Thrown if a case cannot run. */
export class CannotRun extends Error {}

/** Waits until a condition is met; the case cannot run if it is not within a time in milliseconds. */
export async function waitUntil(
    description: string,
    isMet: () => boolean | Promise<boolean>,
    limit = 20_000,
): Promise<void> {
    const endsAt = performance.now() + limit;
    while (!await isMet()) {
        if (performance.now() > endsAt) {
            throw new CannotRun(`timed out: ${description}`);
        }
        await pause(50);
    }
}

/** Whether the disruption of the case is played. */
export const hasTrouble = process.env["TROUBLE"] !== "0";

/**
 * Runs a case and ends the process: with 0 if the rule held, 1 if it was broken, and 2 if the case could not run.
 *
 * @param path - file of the record
 * @param play - plays the case; returns a description of each breach
 */
export async function runCase(path: string, play: (record: CaseRecord) => Promise<readonly string[]>): Promise<never> {
    const record = openRecord(path);
    const timer = setTimeout(() => {
        record.write("cannot run: time limit");
        process.exit(2);
    }, 115_000);
    let code: number;
    try {
        record.write(hasTrouble ? "with the disruption" : "without the disruption");
        const breaches = await play(record);
        breaches.forEach(breach => record.write(`BROKEN ${breach}`));
        record.write(breaches.length === 0 ? "held" : "broken");
        code = breaches.length === 0 ? 0 : 1;
        process.stdout.write(`${breaches.length === 0 ? "held" : breaches.join("\n")}\n`);
    }
    catch (error) {
        const detail = error instanceof Error ? error.stack ?? error.message : String(error);
        record.write(`cannot run: ${detail}`);
        process.stdout.write(`cannot run: ${detail}\n`);
        code = 2;
    }
    clearTimeout(timer);
    await record.close();
    process.exit(code);
}
