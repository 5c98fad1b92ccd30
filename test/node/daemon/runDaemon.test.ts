import { expect } from "earl";
import { spawn } from "node:child_process";
import { createInterface } from "node:readline";
import { describe, it } from "node:test";

/** Daemon that logs when it has drained and when it has released its resources. */
const program = `
import { ok } from "true-myth/result";
import { runDaemon } from "./src/node/daemon/runDaemon.ts";
setInterval(() => {}, 1_000);
const settings = { instance: { id: "instance-1" }, log: { level: "info" } };
await runDaemon("test", settings, async (settings, logger) => {
    logger.info({}, "started");
    return ok({
        drain: async () => logger.info({}, "drained"),
        [Symbol.asyncDispose]: async () => {
            await new Promise(resolve => setTimeout(resolve, 50));
            logger.info({}, "released");
        },
    });
});
process.exit(0);
`;

describe("daemon after the signal to shut down", () => {
    // Guards against a last log line that is written while the process still waits for resources to be released.
    it("logs that it has stopped once everything is released", async () => {
        const child = spawn(process.execPath, ["--import", "tsx", "--input-type=module", "-e", program], {
            stdio: ["ignore", "pipe", "inherit"],
        });
        const timer = setTimeout(() => child.kill("SIGKILL"), 20_000);
        const messages: string[] = [];
        for await (const line of createInterface({ input: child.stdout })) {
            const { msg } = JSON.parse(line) as { readonly msg: string; };
            messages.push(msg);
            if (msg === "started") {
                child.kill("SIGTERM");
            }
        }
        clearTimeout(timer);
        expect(messages).toEqual(["started", "draining", "drained", "released", "stopped"]);
    });
});
