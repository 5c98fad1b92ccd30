import { findFreePorts } from "../../../src/standIn/index.js";
import type { TestDeployment } from "./deployment.js";
import { type RunnerRun, type RunnerStandIn, type RunnerStandInOptions, startRunnerStandIn } from "./runnerStandIn.js";
import { createServerRecord } from "./serverRecord.js";

/** End of a runner. */
export interface RunnerEnd {
    readonly at: number;
    readonly instance: string;
    /** Body of the request under which it ended. */
    readonly body: string;
}

/** Run of a request at one of the runners. */
export interface FleetRun extends RunnerRun {
    readonly at: number;
    readonly instance: string;
}

/** Runners that end under some requests and come back, each time as another instance at the same address. */
export interface CrashingFleet {
    readonly ends: readonly RunnerEnd[];
    readonly runs: readonly FleetRun[];
    /** Ends a runner that is up, under no request. */
    crashOne(): void;
}

/** Options of {@link startCrashingFleet}. */
export interface CrashingFleetOptions extends Pick<RunnerStandInOptions, "events" | "eventMilliseconds"> {
    readonly count: number;
    /** Tells whether a body ends the runner that begins to run it. */
    readonly isFatal: (body: string) => boolean;
    readonly workMilliseconds: number;
    /** Time until a runner that has ended is back. */
    readonly downMilliseconds: number;
    /** Time after which the entry of a runner that has ended lapses. */
    readonly lapseMilliseconds: number;
}

/**
 * Starts runners of the plain service and lists them.
 *
 * @param deployment - store and gateways
 * @param options - number of runners and what ends them
 * @returns the runners, which end with the deployment
 */
export async function startCrashingFleet(
    deployment: TestDeployment,
    options: CrashingFleetOptions,
): Promise<CrashingFleet> {
    const ends: RunnerEnd[] = [];
    const runs: FleetRun[] = [];
    const up = new Map<number, RunnerStandIn>();
    const timers = new Set<NodeJS.Timeout>();
    const ports = await findFreePorts(options.count);
    let starts = 0;
    let stopped = false;

    function after(milliseconds: number, action: () => void): void {
        const timer = setTimeout(() => {
            timers.delete(timer);
            action();
        }, milliseconds);
        timers.add(timer);
    }

    function end(port: number, instance: string, body: string): void {
        ends.push({ at: Date.now(), instance, body });
        up.delete(port);
        after(options.lapseMilliseconds, () => deployment.store.drop("keyed.servers", instance));
        after(options.downMilliseconds, () => void start(port));
    }

    async function start(port: number): Promise<void> {
        const instance = `i-${++starts}`;
        const runner = await startRunnerStandIn({
            ...options,
            id: instance,
            port,
            crashesOn: run => {
                runs.push({ ...run, at: Date.now(), instance });
                const fatal = options.isFatal(run.body);
                if (fatal) {
                    end(port, instance, run.body);
                }
                return fatal;
            },
        });
        if (stopped) {
            await runner[Symbol.asyncDispose]();
            return;
        }
        up.set(port, runner);
        deployment.store.write("keyed.servers", instance, createServerRecord(runner.address, { born: Date.now() }));
    }

    deployment.stack.defer(async () => {
        stopped = true;
        timers.forEach(timer => clearTimeout(timer));
        await Promise.all([...up.values()].map(runner => runner[Symbol.asyncDispose]()));
    });
    await Promise.all(ports.map(start));
    return {
        ends,
        runs,
        crashOne: () => {
            const [first] = up;
            if (first !== undefined) {
                const [port, runner] = first;
                runner.crash();
                end(port, runner.id, "");
            }
        },
    };
}
