import { Command } from "commander";
import { mkdirSync } from "node:fs";
import { join } from "node:path";
import { faultMixes } from "./faults.js";
import { buildPrograms } from "./programs.js";
import { runWeightSoak, type WeightSoakResult } from "./weightSoak.js";

interface Flags {
    readonly mix: readonly string[];
    readonly first: string;
    readonly seeds: string;
    readonly duration?: string;
    readonly gateways: string;
    readonly engines: string;
    readonly timelines?: string;
    readonly build?: string;
}

function format(result: WeightSoakResult): string {
    const { failed, lateOrders, lateWrites, loadedAfter, loads, mix, refused, seed, servedAfter, settled } = result;
    const { reached, tokens, versions, violations, whole, wrongLoads, wrongTokens } = result;
    return [
        `${mix} seed ${seed}: ${tokens} tokens, ${wrongTokens} wrong, ${loads} loads, ${wrongLoads} wrong`,
        `late orders ${lateOrders}, late writes ${lateWrites}`,
        `requests whole ${whole}, refused ${refused}, failed ${failed}`,
        `versions ${reached}/${versions}, loaded after ${loadedAfter.join("/")} ms, served after ${
            servedAfter.join("/")
        } ms (median/maximum)`,
        ...(settled ? [] : ["NOT SETTLED"]),
        ...(violations.length === 0 ? [] : [`first: ${violations[0]}`]),
    ].join("; ");
}

async function run(flags: Flags): Promise<void> {
    using build = flags.build === undefined ? await buildPrograms() : undefined;
    const folder = flags.build ?? build?.folder ?? "";
    let broken = 0;
    if (flags.timelines !== undefined) {
        mkdirSync(flags.timelines, { recursive: true });
    }
    const first = Number(flags.first);
    for (let seed = first; seed < first + Number(flags.seeds); seed++) {
        for (const mix of flags.mix) {
            const result = await runWeightSoak({
                seed,
                mix,
                build: folder,
                duration: flags.duration === undefined ? undefined : Number(flags.duration),
                gateways: Number(flags.gateways),
                engines: Number(flags.engines),
                timelinePath: flags.timelines && join(flags.timelines, `${mix}-${seed}.txt`),
            });
            broken += result.wrongTokens > 0 || !result.settled ? 1 : 0;
            console.log(format(result));
        }
    }
    console.log(`${broken} broken`);
    process.exitCode = broken > 0 ? 1 : 0;
}

for (const signal of ["SIGINT", "SIGTERM"] as const) {
    process.once(signal, () => process.exit(1));
}
await new Command("weight-soak")
    .description("declares versions while faults act, and counts tokens that were made with wrong weights")
    .option("--mix <names...>", `mixes of faults: ${Object.keys(faultMixes).join(", ")}`, ["all"])
    .option("--first <seed>", "first seed", "1")
    .option("--seeds <count>", "number of seeds", "1")
    .option("--duration <milliseconds>", "time during which faults are drawn; default: 30 to 45 s, drawn by the seed")
    .option("--gateways <count>", "number of gateways", "2")
    .option("--engines <count>", "number of engines, each with an agent", "4")
    .option("--timelines <folder>", "folder to write the timelines to")
    .option("--build <folder>", "folder of an earlier build, to compare with. Default: the working tree is built")
    .action(run)
    .parseAsync();
