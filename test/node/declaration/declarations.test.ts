import { expect } from "earl";
import { describe, it } from "node:test";
import { parseDeclaration, pinDeclaration } from "../../../src/node/declaration/index.js";
import type { SettingsProblem } from "../../../src/node/settings/index.js";
import { expectOk } from "../support.js";

const version1 = "[deployment]\nschema = 1\nname = scribe\nmodel = quill\nversion = 7\n";
const version2 = version1.replace("schema = 1", "schema = 2");
const replicas = "[replicas]\nsando-hall = 3\npos-hall = 2\n";

describe("declarations", () => {
    // Guards against fields that are lost between the file and the log record.
    it("of both schema versions and of plain services are converted to records", () => {
        const parse = (content: string) => expectOk(parseDeclaration({ name: "scribe.ini", content }));
        const base = { kind: "model", replicas: { "sando-hall": 3, "pos-hall": 2 } } as const;
        const weights = { model: "quill", adapter: "kin", version: "7", manifestDigest: "d1" };
        expect(pinDeclaration(parse(`${version1}adapter = kin\n${replicas}`), "d1"))
            .toEqual({ schemaVersion: 1, ...base, weights });
        expect(pinDeclaration(parse(`${version2}adapter = kin\npriority = 8\npool = halls\n${replicas}`), "d1"))
            .toEqual({
                schemaVersion: 2,
                ...base,
                weights,
                pool: "halls",
                objective: "time",
                priority: 8,
                updateStrategy: "in-place",
            });
        const service = parse(`[deployment]\nschema = 1\nname = members\nkind = service\n${replicas}`);
        expect(pinDeclaration(service, undefined)).toEqual({ schemaVersion: 1, ...base, kind: "service" });
    });

    // Guards against an invalid declaration that is applied, or an error without its place and the allowed values.
    const cases: [string, string, Partial<SettingsProblem>, string][] = [
        [
            "no schema",
            version1.replace("schema = 1\n", "") + replicas,
            { key: "schema", value: undefined },
            "from 1 to 2",
        ],
        ["future schema", version1.replace("= 1", "= 3") + replicas, { key: "schema", value: "3" }, "from 1 to 2"],
        ["no name", version1.replace("name = scribe\n", "") + replicas, { key: "name", value: undefined }, "letters"],
        [
            "no version",
            version1.replace("version = 7\n", "") + replicas,
            { key: "version", value: undefined },
            "letters",
        ],
        ["blank in a name", version1.replace("scribe", "a b") + replicas, { key: "name", value: "a b" }, "letters"],
        [
            "version 2 key in version 1",
            `${version1}priority = 3\n${replicas}`,
            { key: "priority", value: "3" },
            "schema = 2",
        ],
        [
            "priority out of range",
            `${version2}priority = 10\n${replicas}`,
            { key: "priority", value: "10" },
            "from 0 to 9",
        ],
        ["unknown objective", `${version2}objective = cheap\n${replicas}`, { value: "cheap" }, "time or origin-bytes"],
        ["unknown key", `${version2}prioritty = 1\n${replicas}`, { key: "prioritty" }, "updateStrategy"],
        ["unknown section", `${version2}${replicas}[extra]\na = 1\n`, { section: "extra", key: "a" }, "the sections"],
        ["no replicas", version2, { section: "replicas", value: undefined }, "at least one availability zone"],
        ["negative count", `${version2}[replicas]\na = -1\n`, { section: "replicas", key: "a", value: "-1" }, "from 0"],
        ["count in words", `${version2}[replicas]\na = many\n`, { key: "a", value: "many" }, "backend servers"],
        [
            "weights of a service",
            `[deployment]\nschema = 1\nname = members\nkind = service\nmodel = quill\n${replicas}`,
            { key: "model", value: "quill" },
            "kind = model",
        ],
    ];
    for (const [name, content, expected, allowed] of cases) {
        it(`are refused: ${name}`, () => {
            const parsed = parseDeclaration({ name: "scribe.ini", content });
            const problems = parsed.isErr ? parsed.error.cause as readonly SettingsProblem[] : [];
            expect(problems).toHaveLength(1);
            expect(problems[0]!).toEqual(expect.subset({ source: "scribe.ini", ...expected }));
            expect(problems[0]!.allowed).toEqual(expect.includes(allowed));
        });
    }
});
