import { type ChildProcess, spawn } from "node:child_process";
import { readFileSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import { type Fields, readCommand, renderSettings } from "./settings.js";

/** Memory of a process in MiB. */
export interface Memory {
    readonly resident: number;
    /** Resident memory without pages of files. */
    readonly anonymous: number;
}

/** Options of {@link startProcess}. */
export interface ProcessOptions {
    /** Role in the deploy file. */
    readonly role: string;
    readonly name: string;
    /** Folder for the settings file. */
    readonly folder: string;
    readonly settings: Fields;
    /** Memory that the process may use, in MiB. */
    readonly memory: number;
    readonly note: (text: string) => void;
}

/** Process of the deploy file, which the platform kills and starts again if it exceeds its memory. */
export interface PlatformProcess extends Disposable {
    readonly name: string;
    /** Highest memory so far. */
    readonly peak: Memory;
    /** Number of times at which it was killed because of its memory. */
    readonly kills: () => number;
}

const checkInterval = 100;
const restartDelay = 500;
const kibibytesPerMebibyte = 1_024;

function readMemory(process: ChildProcess): Memory | undefined {
    try {
        const status = readFileSync(`/proc/${process.pid}/status`, "utf8");
        const read = (field: string): number =>
            Number(new RegExp(`^${field}:\\s+(\\d+) kB$`, "m").exec(status)?.[1] ?? 0) / kibibytesPerMebibyte;
        return { resident: read("VmRSS"), anonymous: read("RssAnon") };
    }
    catch {
        return undefined;
    }
}

/**
 * Starts a process with the command of the deploy file.
 *
 * @param options - role, settings and memory
 * @returns the process; disposing of it ends it for good
 */
export function startProcess({ folder, memory, name, note, role, settings }: ProcessOptions): PlatformProcess {
    const path = join(folder, `${name}.ini`);
    writeFileSync(path, renderSettings({ ...settings, node_name: name }));
    const [program, ...parameters] = readCommand(role);
    const peak = { resident: 0, anonymous: 0 };
    let kills = 0;
    let isDisposed = false;
    let child = start();

    function start(): ChildProcess {
        const started = spawn(program!, parameters, {
            env: { PATH: process.env["PATH"], HOME: process.env["HOME"], GOLDCRESTPOINT_CONFIG: path },
            stdio: ["ignore", "ignore", "inherit"],
        });
        started.once("exit", (code, signal) => {
            if (!isDisposed) {
                note(`${name} has ended (${signal ?? code}), and is started again`);
                setTimeout(() => {
                    child = isDisposed ? child : start();
                }, restartDelay);
            }
        });
        return started;
    }

    const timer = setInterval(() => {
        const used = readMemory(child);
        if (used === undefined || used.resident === 0) {
            return;
        }
        peak.resident = Math.max(peak.resident, used.resident);
        peak.anonymous = Math.max(peak.anonymous, used.anonymous);
        // Pages of files, which processes share, are left out.
        if (used.anonymous > memory) {
            kills++;
            note(
                `${name} uses ${Math.round(used.resident)} MiB (${
                    Math.round(used.anonymous)
                } without pages of files) ` +
                    `of ${memory}; the platform kills it`,
            );
            child.kill("SIGKILL");
        }
    }, checkInterval);

    return {
        name,
        peak,
        kills: () => kills,
        [Symbol.dispose]: () => {
            isDisposed = true;
            clearInterval(timer);
            child.kill("SIGKILL");
        },
    };
}
