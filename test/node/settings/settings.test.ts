import { expect } from "earl";
import { describe, it } from "node:test";
import {
    resolveAgentSettings,
    resolveEntrySettings,
    type SettingsProblem,
    type SettingsSources,
} from "../../../src/node/settings/index.js";
import { type AdmissionOptions, resolveAdmissionOptions } from "../../../src/runtime/admission/index.js";
import { type DistributionOptions, resolveDistributionOptions } from "../../../src/runtime/distribution/index.js";
import { type LedgerOptions, resolveLedgerOptions } from "../../../src/runtime/idempotency/index.js";
import { resolvePlacementOptions } from "../../../src/runtime/placement/index.js";
import { resolveRetryOptions, type RetryOptions } from "../../../src/runtime/retry/index.js";
import { resolveRoutingOptions, type RoutingOptions } from "../../../src/runtime/routing/index.js";
import { expectOk } from "../support.js";

function createSources(content = "", environment: Record<string, string> = {}, flags: Record<string, string> = {}) {
    return { file: { name: "entry.ini", content }, environment, flags } satisfies SettingsSources;
}

function readProblems(sources: SettingsSources): readonly SettingsProblem[] {
    const resolved = resolveEntrySettings(sources);
    return resolved.isErr ? resolved.error.cause as readonly SettingsProblem[] : [];
}

const variable = "GOLDCRESTPOINT_HOLD_HOLD_SECONDS";

describe("precedence of settings", () => {
    // Guards against a source that overrides one with a higher precedence.
    const cases: [string, SettingsSources, number][] = [
        ["default", createSources(), 20_000],
        ["file", createSources("[hold]\nholdSeconds = 11"), 11_000],
        ["environment over file", createSources("[hold]\nholdSeconds = 11", { [variable]: "12" }), 12_000],
        [
            "flag over environment",
            createSources("[hold]\nholdSeconds = 11", { [variable]: "12" }, { "hold.holdSeconds": "13" }),
            13_000,
        ],
        ["flag over file", createSources("[hold]\nholdSeconds = 11", {}, { "hold.holdSeconds": "13" }), 13_000],
    ];
    for (const [name, sources, expected] of cases) {
        it(name, () => {
            const settings = expectOk(resolveEntrySettings(sources));
            expect(settings.hold.duration).toEqual(expected);
            expect(settings.placement.holdDuration).toEqual(expected);
        });
    }
});

describe("invalid settings", () => {
    // Guards against an invalid setting that is accepted, and against an error without its place or what is allowed.
    const cases: [string, SettingsSources, Partial<SettingsProblem>, string][] = [
        [
            "unknown key with another unit",
            createSources("[hold]\nholdMilliseconds = 20000"),
            { source: "entry.ini", section: "hold", key: "holdMilliseconds", value: "20000" },
            "did you mean holdSeconds?",
        ],
        ["unknown section", createSources("[holding]\na = 1"), { section: "holding", key: "a" }, "one of the sections"],
        ["key outside of a section", createSources("id = a"), { section: "", key: "id" }, "one of the sections"],
        [
            "unit in the value",
            createSources("[hold]\nholdSeconds = 20s"),
            { key: "holdSeconds", value: "20s" },
            "a number of seconds from 0.5 to 600, without a unit",
        ],
        [
            "wrong type",
            createSources("[retry]\nmaximumAttempts = 1.5"),
            { value: "1.5" },
            "a whole number from 1 to 20",
        ],
        ["out of range", createSources("[retry]\nbudgetShare = 7"), { value: "7" }, "a number from 0 to 1"],
        ["wrong choice", createSources("[log]\nlevel = loud"), { value: "loud" }, "info or debug or warn or error"],
        ["wrong address", createSources("[instance]\nhttpAddress = here"), { value: "here" }, "host:port"],
        ["empty value", createSources("[platform]\nlogUrl ="), { key: "logUrl", value: "" }, "an http or https"],
        [
            "list with a wrong member",
            createSources("[relay]\nentryAddresses = 10.0.0.1:1, x"),
            { key: "entryAddresses" },
            "values separated by commas",
        ],
        [
            "environment",
            createSources("", { [variable]: "-1" }),
            { source: `environment variable ${variable}`, key: "holdSeconds" },
            "a number of seconds",
        ],
        [
            "unknown environment variable",
            createSources("", { GOLDCRESTPOINT_HOLD_SECONDS: "1" }),
            { key: "GOLDCRESTPOINT_HOLD_SECONDS" },
            "GOLDCRESTPOINT_SECTION_KEY",
        ],
        ["flag", createSources("", {}, { "hold.seconds": "1" }), { source: "flag hold.seconds" }, "one of the keys"],
        [
            "section of another program",
            createSources("[backendServer]\nkind = robot"),
            { section: "backendServer", value: "robot" },
            "model or service",
        ],
        [
            "keys that contradict each other",
            createSources("[hold]\nholdSeconds = 1"),
            { section: "hold", key: "holdSeconds", value: "1" },
            "at least two heartbeats",
        ],
        [
            "outage that is noticed before the last gateway takes over",
            createSources("[gateway]\noutageAfterMilliseconds = 1200"),
            { section: "gateway", key: "outageAfterMilliseconds", value: "1200" },
            "more than the sum",
        ],
    ];
    for (const [name, sources, expected, allowed] of cases) {
        it(name, () => {
            const problems = readProblems(sources);
            expect(problems).toHaveLength(1);
            expect(problems[0]!).toEqual(expect.subset(expected));
            expect(problems[0]!.allowed).toEqual(expect.includes(allowed));
        });
    }

    // Guards against an operator who has to start a daemon once for each invalid setting.
    it("are reported together, one a line", () => {
        const resolved = resolveEntrySettings(createSources("[hold]\nholdSeconds = a\n[log]\nlevel = b"));
        expect(resolved.isErr && resolved.error.message.split("\n").length).toEqual(2);
        expect(resolved.isErr && resolved.error.message).toEqual(
            expect.includes("entry.ini: [hold] holdSeconds = \"a\": allowed is a number"),
        );
    });
});

describe("resolved settings", () => {
    // Guards against undefined options of the decision functions, and against a default id that instances share.
    it("fit the decision functions and name the instance by its address", () => {
        const entry = expectOk(resolveEntrySettings(createSources()));
        const agent = expectOk(resolveAgentSettings(createSources()));
        const options: [RoutingOptions, AdmissionOptions, RetryOptions, LedgerOptions, DistributionOptions] = [
            entry.routing,
            entry.admission,
            entry.retry,
            agent.idempotency,
            agent.distribution,
        ];
        expect(options.map(option => Object.values(option).includes(undefined as never))).toEqual(
            options.map(() => false),
        );
        expect(agent.instance.id).toEqual(agent.instance.grpcAddress);
    });

    // Guards against defaults of the settings that differ from those of the decision functions and their tests.
    const entry = expectOk(resolveEntrySettings(createSources()));
    const agent = expectOk(resolveAgentSettings(createSources()));
    const { linkBytesPerSecond } = agent.distribution;
    const defaults: readonly (readonly [section: string, settings: object, options: object])[] = [
        ["placement", entry.placement, resolvePlacementOptions()],
        ["distribution", agent.distribution, { ...resolveDistributionOptions(), linkBytesPerSecond }],
        ["routing", entry.routing, resolveRoutingOptions()],
        ["admission of entry instances", entry.admission, resolveAdmissionOptions()],
        ["admission of agents", agent.admission, resolveAdmissionOptions()],
        ["retry", entry.retry, resolveRetryOptions()],
        ["idempotency", agent.idempotency, resolveLedgerOptions()],
    ];
    for (const [section, settings, options] of defaults) {
        it(`have the defaults of the decision functions: ${section}`, () => {
            expect(settings).toEqual(options);
        });
    }
});
