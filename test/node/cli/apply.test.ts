import { expect } from "earl";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { after, describe, it } from "node:test";
import type { ExitCode } from "../../../src/node/cli/exitCodes.js";
import * as fold from "../../../src/runtime/state/index.js";
import type { ConfigurationRecord, LogRecord } from "../../../src/types/index.js";
import { type AppendFault, createCommandRunner, createMemoryLog, type MemoryLog } from "./support.js";

const folder = mkdtempSync(join(tmpdir(), "goldcrestpoint-"));
after(() => rmSync(folder, { recursive: true }));

function writeDeclaration(version: string, extra = "", schema = 2): string {
    const path = join(folder, `scribe-${version}-${schema}-${extra.length}.ini`);
    const header = `[deployment]\nschema = ${schema}\nname = scribe\nmodel = quill\nversion = ${version}\n`;
    writeFileSync(path, `${header}${extra}\n[replicas]\nsando-hall = 3\n`);
    return path;
}

const version7 = writeDeclaration("7");
const version8 = writeDeclaration("8");
const version9 = writeDeclaration("9");

function createFixture() {
    const log = createMemoryLog();
    return { log, run: createCommandRunner(log, fold) };
}

function readRow(log: MemoryLog) {
    const state = fold.createFoldState();
    log.entries.forEach(entry => fold.foldEntry(state, entry));
    return state.configurations.get("scribe");
}

/** Another operator's record that is based on the newest accepted one. */
function createRivalRecord(log: MemoryLog): ConfigurationRecord {
    return {
        kind: "configuration",
        id: `rival-${log.entries.length}`,
        deployment: "scribe",
        base: readRow(log)?.offset ?? 0,
        writtenAt: "2026-01-01T00:00:00.000Z",
        writer: "rival",
        declaration: { schemaVersion: 1, kind: "service", replicas: { "pos-hall": 9 } },
    };
}

/** Refresh as a proposer appends it: a record with the complete row, based on the row's record. */
function createRefreshRecord(log: MemoryLog): LogRecord {
    const { schemaVersion, kind, weights, replicas } = readRow(log)!;
    const declaration = schemaVersion === 1 ?
        { schemaVersion, kind, weights, replicas } :
        { ...readRow(log)!, schemaVersion };
    return { ...createRivalRecord(log), id: "refresh", writer: "proposer", declaration, refreshOf: readRow(log) };
}

describe("apply", () => {
    // Guards against an accepted configuration without the manifest digest, and a change that is appended twice.
    it("adds the manifest digest, and appends nothing when the declaration is already in force", async () => {
        const { log, run } = createFixture();
        const first = await run("apply", version7, "--json");
        expect(first.exitCode).toEqual(0);
        expect(first.json).toEqual(expect.subset({ deployment: "scribe", revision: 1, changed: true }));
        expect(readRow(log)?.weights?.manifestDigest).toEqual(expect.a(String));
        const second = await run("apply", version7, "--json");
        expect(second.json).toEqual(expect.subset({ revision: 1, changed: false }));
        expect(log.entries).toHaveLength(1);
    });

    // Guards against two concurrent changes that are both reported as accepted, and a rejected one that has an effect.
    it("reports a conflict with the newer revision if another operator's change was accepted first", async () => {
        const { log, run } = createFixture();
        await run("apply", version7);
        log.appendFaults.push(() => log.write(createRivalRecord(log)));
        const loser = await run("apply", version8, "--json");
        expect(loser.exitCode).toEqual(3);
        expect(loser.errors).toEqual(expect.includes("based on revision 1, but revision 2, written by rival"));
        expect(loser.json["error"]).toEqual(expect.subset({ code: "CONFIGURATION_CONFLICT" }));
        expect(readRow(log)).toEqual(expect.subset({ revision: 2, writer: "rival" }));
        expect((await run("apply", version8, "--base", "2")).exitCode).toEqual(0);
        expect(readRow(log)).toEqual(expect.subset({ revision: 3, writer: "operator" }));
    });

    // Guards against a change of a revision that the operator has not seen.
    it("refuses a base that is not in force without an append", async () => {
        const { log, run } = createFixture();
        await run("apply", version7);
        await run("apply", version8);
        expect((await run("apply", version9, "--base", "1")).exitCode).toEqual(3);
        expect((await run("apply", version9, "--base", "old")).exitCode).toEqual(2);
        expect(log.entries).toHaveLength(2);
    });

    // Guards against a lost response that counts as a failure or a success, and against a second revision.
    const faults: [string, AppendFault[], ExitCode, number, number | undefined][] = [
        ["appended, response lost", ["answer-lost"], 0, 1, 1],
        ["request lost", ["lost"], 0, 1, 1],
        ["request lost, then response lost", ["lost", "answer-lost"], 0, 1, 1],
        ["refused, then appended", ["refused", "none"], 0, 1, 1],
        ["refused each time", ["refused", "refused", "refused", "refused"], 4, 0, undefined],
        ["lost each time", ["lost", "lost", "lost", "lost"], 4, 0, undefined],
    ];
    for (const [name, appendFaults, exitCode, entries, revision] of faults) {
        it(`reads the outcome of an append from the log: ${name}`, async () => {
            const { log, run } = createFixture();
            log.appendFaults.push(...appendFaults);
            expect((await run("apply", version7)).exitCode).toEqual(exitCode);
            expect(log.entries).toHaveLength(entries);
            expect(readRow(log)?.revision).toEqual(revision);
        });
    }

    // Guards against a successful append that is repeated and changes the configuration a second time.
    it("repeats an append with the same id while the log cannot be read", async () => {
        const { log, run } = createFixture();
        log.appendFaults.push(() => {
            log.failingReads = 1;
        });
        expect((await run("apply", version7)).exitCode).toEqual(0);
        expect(new Set(log.entries.map(({ record }) => record.id)).size).toEqual(1);
        expect(readRow(log)?.revision).toEqual(1);
    });

    // Guards against a conflict although no operator changed anything: a refresh changes the offset, not the revision.
    it("bases the change on a refresh that was appended in the meantime", async () => {
        const { log, run } = createFixture();
        await run("apply", version7);
        log.appendFaults.push(() => log.write(createRefreshRecord(log)));
        expect((await run("apply", version8)).exitCode).toEqual(0);
        expect(readRow(log)).toEqual(expect.subset({ revision: 2, writer: "operator" }));
    });

    // Guards against an old client that erases fields which only the new schema version defines.
    it("keeps the fields of schema version 2 when a declaration of version 1 follows", async () => {
        const { log, run } = createFixture();
        await run("apply", writeDeclaration("7", "objective = origin-bytes\npriority = 8\nupdateStrategy = rolling"));
        const planned = await run("plan", writeDeclaration("8", "", 1), "--json");
        expect((planned.json["changes"] as { field: string; }[]).map(({ field }) => field))
            .toEqual(["version", "manifestDigest"]);
        expect((await run("apply", writeDeclaration("8", "", 1))).exitCode).toEqual(0);
        expect(readRow(log)).toEqual(
            expect.subset({ schemaVersion: 1, objective: "origin-bytes", priority: 8, updateStrategy: "rolling" }),
        );
    });
});

describe("rollback", () => {
    // Guards against a rollback that reuses an old revision or restores only a part of its content.
    it("writes a new revision with the complete content of an earlier one", async () => {
        const { log, run } = createFixture();
        await run("apply", writeDeclaration("7", "priority = 8"));
        await run("apply", writeDeclaration("8", "priority = 2"));
        await run("apply", version9);
        const { deployment, offset, revision, writer, writtenAt, ...content } = readRow({
            ...log,
            entries: log.entries.slice(0, 1),
        })!;
        const restored = await run("rollback", deployment, "--to", String(revision), "--json");
        expect(restored.json).toEqual(expect.subset({ revision: 4, changed: true }));
        expect(readRow(log)).toEqual(expect.subset({ ...content, revision: 4, writer }));
        expect(readRow(log)!.offset > offset && readRow(log)!.writtenAt >= writtenAt).toEqual(true);
    });

    // Guards against a rollback to a revision that does not exist or is in force, and against a wrong default.
    it("restores the revision before the newest by default and refuses unknown revisions", async () => {
        const { log, run } = createFixture();
        expect((await run("rollback", "scribe")).exitCode).toEqual(2);
        await run("apply", version7);
        expect((await run("rollback", "scribe")).exitCode).toEqual(2);
        await run("apply", version8);
        const unknown = await run("rollback", "scribe", "--to", "2");
        expect([unknown.exitCode, unknown.errors.includes("it holds: 1")]).toEqual([2, true]);
        expect((await run("rollback", "scribe")).exitCode).toEqual(0);
        expect(readRow(log)?.weights?.version).toEqual("7");
    });

    // Guards against a rollback that overwrites a change that was accepted in the meantime.
    it("reports a conflict if another change was accepted first", async () => {
        const { log, run } = createFixture();
        await run("apply", version7);
        await run("apply", version8);
        log.appendFaults.push(() => log.write(createRivalRecord(log)));
        expect((await run("rollback", "scribe")).exitCode).toEqual(3);
        expect(readRow(log)?.writer).toEqual("rival");
    });
});
