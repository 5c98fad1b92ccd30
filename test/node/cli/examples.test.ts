import { expect } from "earl";
import { readdirSync } from "node:fs";
import { describe, it } from "node:test";
import { fileURLToPath } from "node:url";
import { operatorCommands } from "../../../src/node/cli/commandTable.js";
import { parseDeclaration } from "../../../src/node/declaration/index.js";
import { listIniValues, readIniFile } from "../../../src/node/settings/index.js";
import * as fold from "../../../src/runtime/state/index.js";
import { expectOk } from "../support.js";
import { createCommandRunner, createMemoryLog } from "./support.js";

const folder = fileURLToPath(new URL("../../../examples/", import.meta.url));
const files = readdirSync(folder, { recursive: true, encoding: "utf8" }).filter(name => name.endsWith(".ini")).sort();
const run = createCommandRunner(createMemoryLog(), fold);

describe("examples", () => {
    // Guards against examples that are no longer valid settings or declarations.
    for (const file of files) {
        it(`${file} is valid`, async () => {
            const { exitCode, errors } = await run("validate", folder + file);
            expect(errors).toEqual("");
            expect(exitCode).toEqual(0);
        });
    }

    // Guards against examples whose sizes differ from the users' deployments.
    it("declare the users' numbers of runners", () => {
        const declarations = files
            .map(file => expectOk(readIniFile(folder + file, "DECLARATION_INVALID")))
            .filter(file => listIniValues(file.content).some(({ section }) => section === "replicas"))
            .map(file => expectOk(parseDeclaration(file)));
        const counts = declarations.map(({ deployment, replicas }) => [
            deployment,
            Object.values(replicas).reduce((sum, count) => sum + count, 0),
        ]);
        expect(Object.fromEntries(counts) as Record<string, number>).toEqual({
            "goldcrest-llm": 10,
            "field-app": 3,
            accounts: 1,
            scribe: 8,
            archive: 3,
            members: 1,
        });
    });

    // Guards against a help text that names a file which does not exist.
    it("that the help texts name exist", () => {
        const named = operatorCommands.flatMap(({ example }) => /examples\/(\S+)/.exec(example)?.[1] ?? []);
        expect(named.filter(name => !files.includes(name))).toEqual([]);
    });
});
