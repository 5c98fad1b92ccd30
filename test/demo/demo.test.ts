import { expect } from "earl";
import { spawn } from "node:child_process";
import { describe, it } from "node:test";
import { fileURLToPath } from "node:url";
import type { Execution, LoadRecord } from "../../demo/cluster/index.js";
import { compareTotals } from "../../demo/transferMeter.js";
import type { UserReport } from "../../demo/userRun.js";
import { describeBrokenGuarantees } from "../../demo/verdict.js";

const program = fileURLToPath(new URL("../../demo/main.ts", import.meta.url));

interface DemoResult {
    readonly users: readonly UserReport[];
    readonly failures: readonly string[];
}

async function runDemo(words: readonly string[]): Promise<{ readonly exitCode: number; readonly output: string; }> {
    const child = spawn(process.execPath, ["--import", "tsx", program, ...words], {
        stdio: ["ignore", "pipe", "inherit"],
    });
    let output = "";
    child.stdout.setEncoding("utf8").on("data", (text: string) => {
        output += text;
    });
    const exitCode = await new Promise<number>(resolve => {
        child.once("close", code => resolve(code ?? -1));
    });
    return { exitCode, output };
}

describe("the demo", () => {
    // Guards against a demo that stops early, breaks a guarantee or leaves measures out.
    it("runs one user's topology and breaks no guarantee", { timeout: 115_000 }, async () => {
        const { exitCode, output } = await runDemo(["--user", "roots-and-branches", "--json", "--seed", "7"]);
        const { users, failures } = JSON.parse(output) as DemoResult;
        expect(failures).toEqual([]);
        expect(users.map(({ broken }) => broken)).toEqual([[]]);
        expect(exitCode).toEqual(0);
        const [{ firstVersion, versionChange, requests, samples }] = users as [UserReport];
        expect((requests["answered"] ?? 0) > 0 && samples > 0).toEqual(true);
        for (const { originCopies, maximumLinkCopies } of [firstVersion, versionChange]) {
            expect(originCopies >= 1).toEqual(true);
            expect(maximumLinkCopies >= 1).toEqual(true);
        }
    });

    // Guards against an unknown user that is run as all users.
    it("refuses wrong flags", async () => {
        expect((await runDemo(["--user", "nobody"])).exitCode).toEqual(1);
    });
});

describe("the verdict of the demo", () => {
    const digests = new Map([["1", "digest-1"], ["2", "digest-2"]]);
    const answer = { result: "answered", requestId: "r", version: "1", ran: undefined, reason: "" };
    const execution = { requestId: "r", state: "finished", manifestDigest: "digest-1" };
    const call = { ...execution, requestId: "s", idempotencyKey: "k", manifestDigest: "" };

    // Guards against a check that lets a broken guarantee pass or names one that was kept.
    const cases: readonly (readonly [name: string, records: object[], executions: object[], broken: string[]])[] = [
        ["kept", [answer], [execution, call], []],
        ["lost journal", [answer], [], []],
        ["other weights", [{ ...answer, version: "2" }], [execution], ["r: answered as version 2"]],
        ["version that nobody declared", [{ ...answer, version: "3" }], [execution], ["r: answered as version 3"]],
        ["wrong answer", [{ ...answer, result: "wrong" }], [execution], ["r: wrong or incomplete"]],
        ["refused but run", [{ ...answer, result: "refused", ran: "no" }], [execution], ["r: refused as not run"]],
        ["executed twice", [], [call, call], ["key k: executed more than once"]],
    ];
    for (const [name, records, executions, expected] of cases) {
        it(name, () => {
            const broken = describeBrokenGuarantees(records as LoadRecord[], executions as Execution[], digests);
            expect(broken).toHaveLength(expected.length);
            broken.forEach((line, index) => expect(line).toEqual(expect.includes(expected[index]!)));
        });
    }

    // Guards against figures that count earlier transfers or idle links.
    it("expresses transfers in copies since the first reading", () => {
        const before = { originBytes: 100, linkBytes: new Map([["a", 50], ["b", 10], ["c", 0]]) };
        const after = { originBytes: 300, linkBytes: new Map([["a", 250], ["b", 410], ["c", 0]]) };
        expect(compareTotals(before, after, 100)).toEqual({
            originCopies: 2,
            meanLinkCopies: 3,
            maximumLinkCopies: 4,
        });
    });
});
