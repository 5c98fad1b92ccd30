import { Command, InvalidArgumentError, Option } from "commander";
import { renderReport } from "./report.js";
import { topologies, type UserName } from "./topologies.js";
import { runUser, type UserReport } from "./userRun.js";

interface DemoOptions {
    readonly kill: boolean;
    readonly user: UserName | "both";
    readonly seed: number;
    readonly json: boolean;
    readonly logs?: string;
}

const users: Readonly<Record<DemoOptions["user"], readonly UserName[]>> = {
    "lone-star": ["lone-star"],
    "roots-and-branches": ["roots-and-branches"],
    both: ["lone-star", "roots-and-branches"],
};

const command = new Command("demo")
    .description(
        "Runs small copies of both users' topologies as processes on this machine, and measures the rollout of a " +
            "first version and a version change under load. Exits with code 1 if a guarantee is violated.",
    )
    .option("--kill", "kill an agent, an engine and an entry instance during the version change", false)
    .addOption(new Option("--user <name>", "topology to run").choices(Object.keys(users)).default("both"))
    .option("--seed <number>", "seed of the random choices of requests and of processes to kill", parseSeed, 1)
    .option(
        "--json",
        "print the results as one JSON document to standard output, and progress to standard error",
        false,
    )
    .option("--logs <folder>", "write the log of each entry instance and agent to a file in this folder")
    .parse();

// A signal would end this process without the exit listener that kills the started processes; process.exit runs it.
for (const signal of ["SIGINT", "SIGTERM"] as const) {
    process.once(signal, () => process.exit(1));
}

process.exitCode = await runDemo(command.opts<DemoOptions>());

async function runDemo(options: DemoOptions): Promise<number> {
    const startedAt = performance.now();
    const print = (text: string): void => void (options.json ? process.stderr : process.stdout).write(`${text}\n`);
    const results = await Promise.allSettled(users[options.user].map(async user => {
        const report = (line: string): void => {
            const seconds = ((performance.now() - startedAt) / 1_000).toFixed(1).padStart(5);
            print(`${seconds} s  ${user}: ${line}`);
        };
        const { kill, seed, logs: logFolder } = options;
        return runUser({ topology: topologies[user], kill, seed, logFolder, report });
    }));
    const reports = results.flatMap(result => result.status === "fulfilled" ? [result.value] : []);
    const failures = results.flatMap(result => result.status === "rejected" ? [String(result.reason)] : []);
    const seconds = (performance.now() - startedAt) / 1_000;
    if (options.json) {
        process.stdout.write(`${JSON.stringify({ seconds, users: reports, failures })}\n`);
    }
    else {
        print(reports.map(report => `\n${renderReport(report)}`).join("\n"));
        print(`\nfinished after ${seconds.toFixed(1)} s`);
    }
    failures.forEach(failure => print(`run failed: ${failure}`));
    return failures.length > 0 || reports.some(isBroken) ? 1 : 0;
}

function isBroken({ broken }: UserReport): boolean {
    return broken.length > 0;
}

function parseSeed(text: string): number {
    const seed = Number(text);
    if (!Number.isInteger(seed)) {
        throw new InvalidArgumentError("must be a whole number");
    }
    return seed;
}
