import { expect } from "earl";
import { spawn } from "node:child_process";
import { once } from "node:events";
import { createInterface } from "node:readline";
import { describe, it } from "node:test";

/** Daemon that logs when it has drained and when it has released its resources. */
const program = `
import { ok } from "true-myth/result";
import { runDaemon } from "./src/node/daemon/runDaemon.ts";
setInterval(() => {}, 1_000);
const settings = { instance: { id: "instance-1" }, log: { level: "info" } };
await runDaemon("test", settings, async (settings, logger) => {
    if (process.env.LOGS_START === "1") {
        logger.info({}, "starting");
        await new Promise(resolve => setTimeout(resolve, 200));
    }
    logger.info({}, "started");
    return ok({
        drain: async () => {
            await new Promise(resolve => setTimeout(resolve, 200));
            logger.info({}, "drained");
        },
        [Symbol.asyncDispose]: async () => {
            await new Promise(resolve => setTimeout(resolve, 50));
            logger.info({}, "released");
        },
    });
});
process.exit(0);
`;

interface Run {
    readonly messages: readonly string[];
    readonly exitCode: number | null;
}

/** Runs the daemon and sends it a signal whenever it has logged a message. */
async function runProgram(signals: Readonly<Record<string, NodeJS.Signals>>): Promise<Run> {
    const child = spawn(process.execPath, ["--import", "tsx", "--input-type=module", "-e", program], {
        stdio: ["ignore", "pipe", "inherit"],
        env: { ...process.env, ...(signals["starting"] === undefined ? {} : { LOGS_START: "1" }) },
    });
    const exited = once(child, "exit");
    const timer = setTimeout(() => child.kill("SIGKILL"), 20_000);
    const messages: string[] = [];
    for await (const line of createInterface({ input: child.stdout })) {
        const { msg } = JSON.parse(line) as { readonly msg: string; };
        messages.push(msg);
        if (signals[msg] !== undefined) {
            child.kill(signals[msg]);
        }
    }
    const [exitCode] = await exited as [number | null];
    clearTimeout(timer);
    return { messages, exitCode };
}

const wholeShutdown = ["started", "draining", "drained", "released", "stopped"];

describe("daemon after the signal to shut down", () => {
    // Guards against a last log line that is written while the process still waits for resources to be released.
    it("logs that it has stopped once everything is released", async () => {
        expect(await runProgram({ started: "SIGTERM" })).toEqual({ messages: wholeShutdown, exitCode: 0 });
    });

    for (const second of ["SIGTERM", "SIGINT"] as const) {
        // Guards against a second signal that ends the process while requests are in progress.
        it(`completes its drain when it gets ${second} meanwhile`, async () => {
            const run = await runProgram({ started: "SIGTERM", draining: second });
            expect(run).toEqual({ messages: wholeShutdown, exitCode: 0 });
        });
    }

    // Guards against a signal that ends the process while it starts and may already have requests in progress.
    it("drains when the signal arrives before its start is complete", async () => {
        expect(await runProgram({ starting: "SIGTERM" })).toEqual({
            messages: ["starting", ...wholeShutdown],
            exitCode: 0,
        });
    });
});
