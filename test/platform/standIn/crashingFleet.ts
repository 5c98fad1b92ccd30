import { findFreePorts } from "../../../src/standIn/index.js";
import type { TestDeployment } from "./deployment.js";
import { type RunnerRun, type RunnerStandIn, type RunnerStandInOptions, startRunnerStandIn } from "./runnerStandIn.js";
import { createServerRecord } from "./serverRecord.js";

/** Crash of a runner. */
export interface RunnerCrash {
    /** Time of the crash in milliseconds since the epoch. */
    readonly at: number;
    readonly instance: string;
    /** Body of the request that caused the crash; empty if no request did. */
    readonly body: string;
}

/** Request that one of the runners began to execute. */
export interface FleetRun extends RunnerRun {
    /** Time at which the execution began, in milliseconds since the epoch. */
    readonly at: number;
    readonly instance: string;
}

/** Runners that crash on some requests and restart at the same address, each time as another instance. */
export interface CrashingFleet {
    /** Crashes in the order in which they occurred. */
    readonly crashes: readonly RunnerCrash[];
    /** Executed requests in the order in which they began. */
    readonly runs: readonly FleetRun[];
    /** Crashes a running runner without a request that causes it; does nothing if none is running. */
    crashOne(): void;
}

/** Options of {@link startCrashingFleet}. */
export interface CrashingFleetOptions extends Pick<RunnerStandInOptions, "events" | "eventMilliseconds"> {
    /** Number of runners. */
    readonly count: number;
    /** Returns whether a request with this body and these headers crashes the runner that begins to execute it. */
    readonly isFatal: (body: string, headers: RunnerRun["headers"]) => boolean;
    /** Time from the begin of a fatal request to the crash; less than `workMilliseconds`. Default: none. */
    readonly crashDelayMilliseconds?: number;
    /**
     * Part of the answer to a fatal request after which the runner crashes, as in `RunnerStandInOptions`; a runner that
     * resumes a stream after that part crashes at once. Default: it crashes before it begins to answer.
     */
    readonly crashAfterPart?: number;
    /** Time until the response to a request begins. */
    readonly workMilliseconds: number;
    /** Time from the crash of a runner to its restart. */
    readonly downMilliseconds: number;
    /** Time from the crash of a runner to the removal of its record from the store. */
    readonly recordRemovalMilliseconds: number;
}

/**
 * Starts runners of the plain service and writes their records to the store.
 *
 * @param deployment - deployment that the runners belong to
 * @param options - number of runners, the requests that crash them, and times
 * @returns the runners, which are stopped when the deployment is disposed of
 */
export async function startCrashingFleet(
    deployment: TestDeployment,
    options: CrashingFleetOptions,
): Promise<CrashingFleet> {
    const crashes: RunnerCrash[] = [];
    const runs: FleetRun[] = [];
    const running = new Map<number, RunnerStandIn>();
    const timers = new Set<NodeJS.Timeout>();
    const ports = await findFreePorts(options.count);
    let starts = 0;
    let stopped = false;

    function schedule(milliseconds: number, action: () => void): void {
        const timer = setTimeout(() => {
            timers.delete(timer);
            action();
        }, milliseconds);
        timers.add(timer);
    }

    function recordCrash(port: number, instance: string, body: string): void {
        crashes.push({ at: Date.now(), instance, body });
        running.delete(port);
        schedule(options.recordRemovalMilliseconds, () => deployment.store.drop("keyed.servers", instance));
        schedule(options.downMilliseconds, () => void start(port));
    }

    function crash(port: number, instance: string, body: string): void {
        const runner = running.get(port);
        if (runner?.id === instance) {
            runner.crash();
            recordCrash(port, instance, body);
        }
    }

    async function start(port: number): Promise<void> {
        const instance = `i-${++starts}`;
        const runner = await startRunnerStandIn({
            ...options,
            id: instance,
            port,
            shouldCrash: run => {
                runs.push({ ...run, at: Date.now(), instance });
                const { crashAfterPart } = options;
                const isPastCrash = Number(run.headers["last-event-id"] ?? 0) >= (crashAfterPart ?? 0);
                const fatal = options.isFatal(run.body, run.headers) && isPastCrash;
                if (fatal && options.crashDelayMilliseconds !== undefined) {
                    schedule(options.crashDelayMilliseconds, () => crash(port, instance, run.body));
                    return false;
                }
                if (fatal) {
                    recordCrash(port, instance, run.body);
                }
                return fatal;
            },
            ...(options.crashAfterPart === undefined ? {} : {
                shouldCrashAfter: (run, part) => {
                    const fatal = part === options.crashAfterPart && options.isFatal(run.body, run.headers);
                    if (fatal) {
                        recordCrash(port, instance, run.body);
                    }
                    return fatal;
                },
            }),
        });
        if (stopped) {
            await runner[Symbol.asyncDispose]();
            return;
        }
        running.set(port, runner);
        deployment.store.write("keyed.servers", instance, createServerRecord(runner.address, { born: Date.now() }));
    }

    deployment.stack.defer(async () => {
        stopped = true;
        timers.forEach(timer => clearTimeout(timer));
        await Promise.all([...running.values()].map(runner => runner[Symbol.asyncDispose]()));
    });
    await Promise.all(ports.map(start));
    return {
        crashes,
        runs,
        crashOne: () => {
            const [first] = running;
            if (first !== undefined) {
                const [port, runner] = first;
                crash(port, runner.id, "");
            }
        },
    };
}
