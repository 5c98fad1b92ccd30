import { expect } from "earl";
import { readFileSync } from "node:fs";
import { describe, it } from "node:test";
import { runCommandLine } from "../../../src/node/cli/commandLine.js";
import type { ExitCode } from "../../../src/node/cli/exitCodes.js";
import { programs } from "../../../src/node/cli/programs.js";
import type { EntryAnswer } from "../../../src/node/cli/types.js";
import { allSections, renderSettingsDocumentation } from "../../../src/node/settings/index.js";
import type { SectionTable } from "../../../src/node/settings/resolveSections.js";
import * as fold from "../../../src/runtime/state/index.js";
import { createCommandRunner, createMemoryLog } from "./support.js";

const entryUrls = ["http://a:1", "http://b:1"];
const setEntries = ["--set", `operator.entryUrls=${entryUrls.join(",")}`];
const zone = {
    zone: "sando-hall",
    wanted: 3,
    assigned: 3,
    complete: 2,
    serving: 1,
    chunksComplete: 30,
    chunksTotal: 40,
};
const statusAnswer: EntryAnswer = {
    status: 200,
    body: { appliedOffset: 12, deployments: [{ deployment: "scribe", revision: 4, version: "8", zones: [zone] }] },
};

const setGateways = ["--set", "operator.gatewayUrls=http://g:1,http://h:1,http://i:1,http://j:1"];

function evacuationsAnswer(since: string, running: number): EntryAnswer {
    return { status: 200, body: { evacuations: [{ zone: "sando-hall", since, servers: running + 1, running }] } };
}

function decisionsAnswer(decidedAt: string, choice: string): EntryAnswer {
    const decision = {
        kind: "routing",
        outcome: "chosen",
        deployment: "scribe",
        reason: "only-candidate",
        candidates: 1,
    };
    return { status: 200, body: { decisions: [{ ...decision, decidedAt, choice, instance: "entry-1" }] } };
}

const createRunner = (answers: Record<string, EntryAnswer>) => createCommandRunner(createMemoryLog(), fold, answers);

const routeUrl = `http://g:1/operations/route?question=${
    encodeURIComponent(JSON.stringify({ path: "/safe/", headers: { host: "members.example" } }))
}`;
const askGateway = ["explain-route", "/safe/", "--gateway", "http://g:1", "--header", "Host: members.example"];
const idleServer = {
    instance: "i-1",
    zone: "a",
    region: "south",
    slowdown: 1,
    outstanding: 0,
    reportedLoad: 2,
    reportAge: 8,
};
const routeAnswer = (servers: readonly unknown[]): EntryAnswer => ({
    status: 200,
    body: { route: "safe", service: "archive", drawn: 6, servers },
});

describe("exit codes and output of the command line", () => {
    // Guards against scripts that take a usage error or a failure for a success, and against invalid JSON with --json.
    const cases: [string, string[], Record<string, EntryAnswer>, ExitCode, string][] = [
        ["help", ["--help"], {}, 0, "Exit codes"],
        ["help of each command with an example", ["apply", "--help"], {}, 0, "goldcrestpoint apply examples/"],
        ["unknown command", ["deploy"], {}, 2, ""],
        ["missing argument", ["plan"], {}, 2, ""],
        ["unknown flag", ["status", "--fast"], {}, 2, ""],
        ["malformed setting", ["status", "--set", "log.level"], {}, 2, ""],
        ["wrong setting", ["status", "--set", "log.level=loud", "--json"], {}, 2, "\"code\":\"SETTINGS_INVALID\""],
        ["missing settings file", ["status", "--settings", "/nowhere/a.ini"], {}, 2, ""],
        ["missing declaration", ["validate", "/nowhere/a.ini"], {}, 2, ""],
        ["status without an answer", ["status", ...setEntries], {}, 4, ""],
        ["route without a gateway", ["explain-route", "/safe/"], {}, 2, ""],
        ["route with a malformed header", [...askGateway, "no separator"], {}, 2, ""],
        ["route from a gateway that does not answer", askGateway, {}, 4, ""],
        [
            "route that the configuration does not have",
            [...askGateway, "--json"],
            { [routeUrl]: { status: 404, body: { problem: "no-route", message: "no route" } } },
            2,
            "\"code\":\"USAGE_INVALID\"",
        ],
        ["route with a candidate", askGateway, { [routeUrl]: routeAnswer([idleServer]) }, 0, "1 of 1 backend servers"],
        [
            "route without a candidate",
            askGateway,
            { [routeUrl]: routeAnswer([{ ...idleServer, leftOut: "evacuated" }]) },
            1,
            "evacuated",
        ],
        [
            "status from the second entry instance",
            ["status", ...setEntries],
            { "http://a:1/operations/status": { status: 503, body: {} }, "http://b:1/operations/status": statusAnswer },
            0,
            "scribe      4         8        sando-hall  3       3         2         1        75%",
        ],
        [
            "status as JSON",
            ["status", "--json", ...setEntries],
            { "http://a:1/operations/status": statusAnswer },
            0,
            JSON.stringify(statusAnswer.body),
        ],
        [
            "status with an evacuated zone, of which one of four gateways does not know and one does not answer",
            ["status", "--set", `operator.entryUrls=${entryUrls[0]!}`, ...setGateways],
            {
                "http://a:1/operations/status": statusAnswer,
                "http://g:1/evacuations": evacuationsAnswer("2026-01-01T00:00:02.000Z", 3),
                "http://h:1/evacuations": evacuationsAnswer("2026-01-01T00:00:01.000Z", 2),
                "http://i:1/evacuations": { status: 200, body: { evacuations: [] } },
            },
            0,
            "sando-hall  2026-01-01T00:00:01.000Z  4        5            2 of 3",
        ],
        [
            "status as JSON, of gateways only",
            ["status", "--json", "--set", "operator.entryUrls=", ...setGateways],
            { "http://i:1/evacuations": { status: 200, body: { evacuations: [] } } },
            0,
            "{\"evacuations\":{\"gatewaysAnswered\":1,\"failures\":[\"http://g:1: no answer\"",
        ],
        [
            "status with evacuated zones although no entry instance answers",
            ["status", ...setEntries, ...setGateways],
            { "http://g:1/evacuations": evacuationsAnswer("2026-01-01T00:00:02.000Z", 3) },
            4,
            "1 of 4 gateways answered",
        ],
        [
            "status without an answer of a gateway",
            ["status", ...setEntries, ...setGateways],
            { "http://a:1/operations/status": statusAnswer, "http://g:1/evacuations": { status: 200, body: {} } },
            4,
            "scribe",
        ],
        [
            "decisions of several instances, ordered by time",
            ["explain", "r1", ...setEntries],
            {
                "http://a:1/operations/decisions/r1": decisionsAnswer("2026-01-02T00:00:00.000Z", "later"),
                "http://b:1/operations/decisions/r1": decisionsAnswer("2026-01-01T00:00:00.000Z", "earlier"),
            },
            0,
            "2026-01-01T00:00:00.000Z entry-1 routing chosen: earlier (only-candidate; candidates=1)\n2026-01-02",
        ],
        [
            "no decision is kept",
            ["explain", "r1", ...setEntries],
            Object.fromEntries(entryUrls.map(url => [`${url}/operations/decisions/r1`, { status: 404, body: {} }])),
            1,
            "no decision on r1 is kept",
        ],
        [
            "no decision, and no answer from some of the instances",
            ["explain", "r1", ...setEntries],
            { "http://a:1/operations/decisions/r1": { status: 404, body: {} } },
            4,
            "",
        ],
    ];
    for (const [name, commandArguments, answers, exitCode, output] of cases) {
        it(name, async () => {
            const result = await createRunner(answers)(...commandArguments);
            expect(result.exitCode).toEqual(exitCode);
            expect(result.output).toEqual(expect.includes(output));
            expect(result.errors === "").toEqual(exitCode < 2);
        });
    }

    // Guards against a watch that ends after the first answer or hides an entry instance that stopped answering.
    it("status --watch repeats until interrupted", async () => {
        const { exitCode, output } = await createRunner({ "http://a:1/operations/status": statusAnswer })(
            "status",
            "--watch",
            "--json",
            ...setEntries,
        );
        expect(exitCode).toEqual(0);
        expect(output.trim().split("\n")).toHaveLength(10);
    });

    // Guards against a daemon that starts despite invalid settings.
    it("daemons and stand-ins refuse invalid settings", async () => {
        for (const commandArguments of [["entry"], ["agent"], ["stand-in", "platform"], ["stand-in", "engine"]]) {
            let errors = "";
            const exitCode = await runCommandLine([...commandArguments, "--set", "hold.holdSeconds=20s"], {
                environment: {},
                writeOutput: () => undefined,
                writeError: text => {
                    errors += text;
                },
                createPorts: () => Promise.reject(new Error("not used")),
                programs,
            });
            expect(exitCode).toEqual(2);
            expect(errors).toEqual(expect.includes("flag hold.holdSeconds: [hold] holdSeconds = \"20s\""));
        }
    });
});

describe("documentation", () => {
    // Guards against a settings reference that is out of date.
    it("of the settings is generated from their definitions", () => {
        const page = new URL("../../../docs/settings.md", import.meta.url);
        expect(readFileSync(page, "utf8")).toEqual(renderSettingsDocumentation());
    });

    // Guards against durations whose key does not end with the unit, and defaults that are not allowed.
    it("of each duration has a key with its unit, and each default is allowed", () => {
        const faulty = Object.values<SectionTable[string]>(allSections).flatMap(keys =>
            Object.entries(keys).filter(([key, { allowed, defaultText, schema }]) => {
                const unit = /^a number of (seconds|milliseconds)/.exec(allowed)?.[1] ?? "";
                return !key.toLowerCase().endsWith(unit) || !schema.safeParse(defaultText).success;
            })
        );
        expect(faulty).toEqual([]);
    });
});
