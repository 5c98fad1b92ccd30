import { type ChildProcess, spawn } from "node:child_process";
import { fileURLToPath } from "node:url";
import type { Milliseconds } from "../../src/types/index.js";

/** Environment variables of a process. */
export type ProcessSettings = Readonly<Record<string, string>>;

/** Process of the executable `goldcrestpoint`. */
export interface ProgramProcess extends AsyncDisposable {
    readonly name: string;
    readonly pid: number;
    /** Undefined while the process runs; -1 if a signal ended it. */
    readonly exitCode: number | undefined;
    /** JSON lines that the process has logged, newest last; bounded. */
    readonly lines: readonly string[];
    /**
     * Sends a signal.
     *
     * @param signal - for example `SIGKILL` or `SIGSTOP`
     */
    signal(signal: NodeJS.Signals): void;
    /** @returns resolves with the exit code once the process has ended */
    waitForExit(): Promise<number>;
}

const executable = fileURLToPath(new URL("../../dist/node/cli/main.js", import.meta.url));
const keptLines = 5_000;
const stopTimeLimit: Milliseconds = 5_000;
const running = new Set<ChildProcess>();

// No process outlives this one, also if it ends without disposing of its resources.
process.once("exit", () => running.forEach(child => child.kill("SIGKILL")));

/**
 * Starts a process of the built executable.
 *
 * @param name - name for messages
 * @param words - words of the command line
 * @param settings - environment variables beside those of this process
 * @returns the running process
 */
export function startProgram(name: string, words: readonly string[], settings: ProcessSettings): ProgramProcess {
    const child = spawn(process.execPath, [executable, ...words], {
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
        let rest = "";
        stream?.setEncoding("utf8");
        stream?.on("data", (text: string) => {
            const parts = (rest + text).split("\n");
            rest = parts.pop() ?? "";
            lines.push(...parts);
            lines.splice(0, Math.max(0, lines.length - keptLines));
        });
    }
}
