import { expect } from "earl";
import { spawn } from "node:child_process";
import { describe, it } from "node:test";
import { fileURLToPath } from "node:url";
import type { Execution, LoadRecord } from "../../demo/cluster/index.js";
import { describeBrokenGuarantees } from "../../demo/guarantees.js";
import { compareTotals } from "../../demo/transferMeter.js";
import type { UserReport } from "../../demo/userRun.js";

const program = fileURLToPath(new URL("../../demo/main.ts", import.meta.url));

interface DemoResult {
    readonly users: readonly UserReport[];
    readonly failures: readonly string[];
}

async function runDemo(
    commandArguments: readonly string[],
): Promise<{ readonly exitCode: number; readonly output: string; }> {
    const child = spawn(process.execPath, ["--import", "tsx", program, ...commandArguments], {
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
    // Guards against a demo that ends early, violates a guarantee or leaves out measurements.
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

    // Guards against running all users' topologies when the user is not known.
    it("rejects an unknown user", async () => {
        expect((await runDemo(["--user", "nobody"])).exitCode).toEqual(1);
    });
});

describe("the guarantees that the demo checks", () => {
    const digests = new Map([["1", "digest-1"], ["2", "digest-2"]]);
    const answer = { result: "answered", requestId: "r", version: "1", ran: undefined, reason: "" };
    const execution = { requestId: "r", state: "finished", manifestDigest: "digest-1" };
    const call = { ...execution, requestId: "s", idempotencyKey: "k", manifestDigest: "" };

    // Guards against checks that miss a violation or report one where there is none.
    const cases: readonly (readonly [name: string, records: object[], executions: object[], broken: string[]])[] = [
        ["no violation", [answer], [execution, call], []],
        ["execution lost with a killed backend server", [answer], [], []],
        ["ran on the weights of another version", [{ ...answer, version: "2" }], [execution], [
            "r: answered as version 2",
        ]],
        ["version that was not declared", [{ ...answer, version: "3" }], [execution], ["r: answered as version 3"]],
        ["wrong response", [{ ...answer, result: "wrong" }], [execution], ["r: wrong or incomplete"]],
        ["refused as not run, but ran", [{ ...answer, result: "refused", ran: "no" }], [execution], [
            "r: refused as not run",
        ]],
        ["executed twice", [], [call, call], ["key k: executed more than once"]],
    ];
    for (const [name, records, executions, expected] of cases) {
        it(name, () => {
            const broken = describeBrokenGuarantees(records as LoadRecord[], executions as Execution[], digests);
            expect(broken).toHaveLength(expected.length);
            broken.forEach((line, index) => expect(line).toEqual(expect.includes(expected[index]!)));
        });
    }

    // Guards against counting transfers from before the first reading, or idle links in the mean.
    it("computes the transfers since the first reading in copies", () => {
        const before = { originBytes: 100, linkBytes: new Map([["a", 50], ["b", 10], ["c", 0]]) };
        const after = { originBytes: 300, linkBytes: new Map([["a", 250], ["b", 410], ["c", 0]]) };
        expect(compareTotals(before, after, 100)).toEqual({
            originCopies: 2,
            meanLinkCopies: 3,
            maximumLinkCopies: 4,
        });
    });
});
