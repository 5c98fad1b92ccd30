import { type ChildProcess, spawn } from "node:child_process";
import { fileURLToPath } from "node:url";
import type { Milliseconds } from "../../src/types/index.js";

/** Environment variables of a process. */
export type ProcessSettings = Readonly<Record<string, string>>;

/** Process that runs the executable `goldcrestpoint`. */
export interface ProgramProcess extends AsyncDisposable {
    /** Name for messages. */
    readonly name: string;
    readonly pid: number;
    /** Undefined while the process runs; -1 if a signal ended it. */
    readonly exitCode: number | undefined;
    /** Newest lines of standard output and standard error, newest last; the log is written as JSON lines. */
    readonly lines: readonly string[];
    /**
     * Sends a signal.
     *
     * @param signal - for example `SIGKILL` or `SIGSTOP`
     */
    signal(signal: NodeJS.Signals): void;
    /** @returns the exit code, when the process has ended */
    waitForExit(): Promise<number>;
}

const executable = fileURLToPath(new URL("../../dist/node/cli/main.js", import.meta.url));
const maximumOutputLines = 5_000;
const stopTimeLimit: Milliseconds = 5_000;
const running = new Set<ChildProcess>();

// Child processes must not outlive this process, even if it exits without disposing of them.
process.once("exit", () => running.forEach(child => child.kill("SIGKILL")));

/**
 * Starts a process of the built executable.
 *
 * @param name - name for messages
 * @param commandArguments - command-line arguments
 * @param settings - environment variables in addition to those of this process
 * @returns the running process
 */
export function startProgram(
    name: string,
    commandArguments: readonly string[],
    settings: ProcessSettings,
): ProgramProcess {
    const child = spawn(process.execPath, [executable, ...commandArguments], {
        env: { ...process.env, ...settings },
        stdio: ["ignore", "pipe", "pipe"],
    });
    running.add(child);
    const lines: string[] = [];
    collectLines(child, lines);
    const exited = new Promise<number>(resolve => {
        child.once("exit", code => resolve(code ?? -1));
    });
    let exitCode: number | undefined;
    void exited.then(code => {
        exitCode = code;
        running.delete(child);
    });

    return {
        name,
        pid: child.pid ?? -1,
        lines,
        get exitCode() {
            return exitCode;
        },
        signal: signal => {
            child.kill(signal);
        },
        waitForExit: () => exited,
        [Symbol.asyncDispose]: async () => {
            child.kill("SIGCONT");
            child.kill("SIGTERM");
            const timer = setTimeout(() => child.kill("SIGKILL"), stopTimeLimit);
            await exited;
            clearTimeout(timer);
        },
    };
}

function collectLines(child: ChildProcess, lines: string[]): void {
    for (const stream of [child.stdout, child.stderr]) {
        let incompleteLine = "";
        stream?.setEncoding("utf8");
        stream?.on("data", (text: string) => {
            const parts = (incompleteLine + text).split("\n");
            incompleteLine = parts.pop() ?? "";
            lines.push(...parts);
            lines.splice(0, Math.max(0, lines.length - maximumOutputLines));
        });
    }
}
