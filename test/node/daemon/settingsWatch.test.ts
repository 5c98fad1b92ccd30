import { expect } from "earl";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { describe, it } from "node:test";
import { pino } from "pino";
import { watchSettings } from "../../../src/node/daemon/settingsWatch.js";
import { readIniFile, resolveGatewaySettings } from "../../../src/node/settings/index.js";
import { expectOk } from "../support.js";

function resolve(path: string) {
    return readIniFile(path, "SETTINGS_INVALID").andThen(file =>
        resolveGatewaySettings({ file, environment: {}, flags: {} })
    );
}

async function withWatch(run: (write: (seeds: string) => void, readSeeds: () => readonly string[]) => Promise<void>) {
    const folder = mkdtempSync(join(tmpdir(), "settings-"));
    const path = join(folder, "settings.ini");
    const write = (text: string) => writeFileSync(path, `[gateway]\n${text}\n`);
    write("seeds = 10.0.0.1:1");
    const initial = expectOk(resolve(path));
    using watch = watchSettings({
        path,
        initial,
        resolve: () => resolve(path),
        interval: 20,
        logger: pino({ level: "silent" }),
    });
    try {
        await run(write, () => watch.current().gateway.seeds);
    }
    finally {
        rmSync(folder, { recursive: true });
    }
}

describe("settings file that changes", () => {
    it("is read again without a signal", () =>
        withWatch(async (write, readSeeds) => {
            write("seeds = 10.0.0.2:1");
            await new Promise(resolve => setTimeout(resolve, 200));
            expect(readSeeds()).toEqual(["10.0.0.2:1"]);
        }));

    it("is read again after SIGHUP, which does not end the process", () =>
        withWatch(async (write, readSeeds) => {
            write("seeds = 10.0.0.3:1");
            process.kill(process.pid, "SIGHUP");
            await new Promise(resolve => setTimeout(resolve, 100));
            expect(readSeeds()).toEqual(["10.0.0.3:1"]);
        }));

    it("is ignored if it is invalid", () =>
        withWatch(async (write, readSeeds) => {
            write("sprouts = 10.0.0.2:1");
            await new Promise(resolve => setTimeout(resolve, 200));
            expect(readSeeds()).toEqual(["10.0.0.1:1"]);
        }));
});
