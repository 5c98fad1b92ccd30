import { type ChildProcess, execFile, spawn } from "node:child_process";
import { closeSync, mkdirSync, mkdtempSync, openSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import { promisify } from "node:util";
import { renderTemplate, type TemplateFields } from "./template.js";

/** Role of a program in the deploy file. */
export type ProgramRole = "gateway" | "agent";

/** Options of {@link createProgram}. */
export interface ProgramOptions {
    readonly role: ProgramRole;
    readonly name: string;
    /** Folder of the build. */
    readonly build: string;
    /** Folder that receives settings and logs. */
    readonly folder: string;
    readonly settings: TemplateFields;
    readonly record: (event: string) => void;
}

/** Program of the deploy file as a process that can be ended and started again. */
export interface Program extends AsyncDisposable {
    readonly name: string;
    readonly logPath: string;
    /** Starts the process unless it is running. */
    start(): void;
    readonly isRunning: () => boolean;
    /** Stops the process for a time. */
    freeze(duration: number): Promise<void>;
    /** Ends the process with a signal, and starts it again after a time. */
    restart(signal: "SIGTERM" | "SIGKILL", downtime: number): Promise<void>;
}

const heapMegabytes: Readonly<Record<ProgramRole, number>> = { gateway: 180, agent: 98 };

const children = new Set<ChildProcess>();
process.on("exit", () => children.forEach(child => child.kill("SIGKILL")));

function wait(milliseconds: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, milliseconds));
}

/** Build of the programs; disposing of it removes it. */
export interface ProgramBuild extends Disposable {
    readonly folder: string;
}

/**
 * Builds the programs of the deploy file into a folder of their own, which is inside the repository, since they load
 * some packages when they need them.
 *
 * @returns the build
 */
export async function buildPrograms(): Promise<ProgramBuild> {
    mkdirSync("target", { recursive: true });
    const folder = mkdtempSync(join("target", "soak-"));
    await promisify(execFile)("npm", ["run", "--silent", "build:platform", "--", `--outdir=${folder}`]);
    return { folder, [Symbol.dispose]: () => rmSync(folder, { recursive: true, force: true }) };
}

/**
 * Creates a program that is not running yet.
 *
 * @param options - role, name and settings
 * @returns the program; disposing of it ends the process
 */
export function createProgram({ build, folder, name, record, role, settings }: ProgramOptions): Program {
    const settingsPath = join(folder, `${name}.ini`);
    const logPath = join(folder, `${name}.log`);
    writeFileSync(settingsPath, renderTemplate(readFileSync("platform/settings.ini", "utf8"), settings));
    let child: ChildProcess | undefined;
    let ended: Promise<void> = Promise.resolve();
    let isDisposed = false;

    function start(): void {
        if (child !== undefined || isDisposed) {
            return;
        }
        const log = openSync(logPath, "a");
        const started = spawn(
            process.execPath,
            [`--max-old-space-size=${heapMegabytes[role]}`, join(build, "main.mjs"), role],
            {
                env: {
                    PATH: process.env["PATH"],
                    HOME: process.env["HOME"],
                    GOLDCRESTPOINT_CONFIG: settingsPath,
                },
                stdio: ["ignore", log, log],
            },
        );
        closeSync(log);
        child = started;
        children.add(started);
        ended = new Promise(resolve => {
            started.once("exit", (code, signal) => {
                child = undefined;
                children.delete(started);
                record(`${name} ended: ${signal ?? code}`);
                resolve();
            });
        });
        record(`${name} starts`);
    }

    return {
        name,
        logPath,
        start,
        isRunning: () => child !== undefined,
        freeze: async duration => {
            const frozen = child;
            record(`${name} freezes for ${Math.round(duration)} ms`);
            frozen?.kill("SIGSTOP");
            await wait(duration);
            frozen?.kill("SIGCONT");
        },
        restart: async (signal, downtime) => {
            record(`${name} receives ${signal}`);
            child?.kill(signal);
            await ended;
            await wait(downtime);
            start();
        },
        [Symbol.asyncDispose]: async () => {
            isDisposed = true;
            child?.kill("SIGKILL");
            await ended;
        },
    };
}
