import { expect } from "earl";
import { writeFileSync } from "node:fs";
import { join } from "node:path";
import { describe, it } from "node:test";
import type { RandomSource } from "../../src/types/index.js";
import { createDisposalStack, createSeededRandom, sleep } from "../../src/utils/index.js";
import { callerKeys, changeKinds, createConfigurationHistory } from "./standIn/configurationHistory.js";
import { callUntil, type SoakCall, type SoakCallerKind } from "./standIn/configurationLoad.js";
import { startGatewayFleet } from "./standIn/gatewayFleet.js";
import { writeOddRecords } from "./standIn/otherWriter.js";
import { between, pick } from "./standIn/seededChoice.js";
import { makeTrouble, startRunnerPool, type TroubledPlay, troubleKinds } from "./standIn/soakTroubles.js";
import { describeCall, faultVerdicts, judgeCalls, type JudgedCall, type SoakVerdict } from "./standIn/soakVerdicts.js";
import { startStoreStandIn } from "./standIn/storeStandIn.js";

const firstSeed = Number(process.env["CONFIGURATION_FIRST_SEED"] ?? 1);
const seeds = Number(process.env["CONFIGURATION_SEEDS"] ?? 1);
const playMilliseconds = Number(process.env["CONFIGURATION_SECONDS"] ?? 25) * 1_000;
const gatewayCount = Number(process.env["CONFIGURATION_GATEWAYS"] ?? 3);
const logFolder = process.env["CONFIGURATION_LOGS"];
const callerNames = process.env["CONFIGURATION_CALLERS"]?.split(",");
const isOtherWriterActive = process.env["CONFIGURATION_OTHER_WRITER"] !== "0";
const troubleNames = process.env["CONFIGURATION_TROUBLES"]?.split(",");

const drainTimeLimitSeconds = 8;
const serversPerService = 3;
const callersPerGateway: Readonly<Record<SoakCallerKind, number>> = {
    ordinary: 5,
    idle: 5,
    "slow-answer": 1,
    "slow-stream": 1,
    "slow-body": 2,
    "parted-body": 2,
    pipelined: 2,
    "early-part": 2,
    "line-break": 2,
    "large-head": 2,
};
/** Share of the changes that come in quick series. */
const stormShare = 0.15;
/** Time within which the log of a gateway arrives. */
const logDeliveryMilliseconds = 300;
/** Verdicts of requests that nothing went wrong with, and of which there are many. */
const silentVerdicts: ReadonlySet<SoakVerdict> = new Set([
    "whole",
    "refused",
    "justified",
    "cut-at-limit",
]);

interface Outcome {
    readonly tally: Readonly<Partial<Record<SoakVerdict, number>>>;
    /** Idempotent requests, by the number of backend servers that ran them. */
    readonly ranAt: Readonly<Record<number, number>>;
    readonly lines: readonly string[];
    readonly exitCodes: readonly (number | undefined)[];
    /** Longest time in milliseconds for which this process ran no timer. */
    readonly longestDelay: number;
}

type Act = (random: RandomSource) => Promise<void>;

/** Does something in intervals that depend on the seed, and waits for its end. */
async function repeat(seed: number, endsAt: number, least: number, most: number, act: Act): Promise<void> {
    const pending: Promise<void>[] = [];
    for (let number = 0; performance.now() < endsAt; number++) {
        // Each act draws from a source of its own, so that the ones that overlap do not change those that follow.
        const random = createSeededRandom(seed * 1_000 + number);
        await sleep(between(random, least, most));
        pending.push(act(random));
    }
    await Promise.all(pending);
}

function watchDelay(): Disposable & { readonly longest: () => number; } {
    let longest = 0;
    let last = performance.now();
    const timer = setInterval(() => {
        longest = Math.max(longest, performance.now() - last);
        last = performance.now();
    }, 20);
    return { longest: () => Math.round(longest), [Symbol.dispose]: () => clearInterval(timer) };
}

function count<Key extends string | number>(keys: readonly Key[]): Record<Key, number> {
    const counts = {} as Record<Key, number>;
    keys.forEach(key => {
        counts[key] = (counts[key] ?? 0) + 1;
    });
    return counts;
}

function countServers({ work }: JudgedCall): number {
    return new Set(work.map(({ instance }) => instance)).size;
}

async function play(seed: number): Promise<Outcome> {
    await using stack = createDisposalStack();
    const store = stack.use(await startStoreStandIn());
    const runners = stack.use(await startRunnerPool(store, serversPerService));
    const history = createConfigurationHistory(store);
    const fleet = stack.use(
        await startGatewayFleet({ count: gatewayCount, storeAddress: store.address, drainTimeLimitSeconds }),
    );
    await sleep(3_000);
    const current: TroubledPlay = { fleet, store, runners, standstills: [] };
    const startedAt = performance.now();
    const endsAt = startedAt + playMilliseconds;
    const events: string[] = [];
    const note = (text: string): void => {
        events.push(`${((performance.now() - startedAt) / 1_000).toFixed(3)} ${text}`);
    };
    using delay = watchDelay();
    const callers = Object.entries(callersPerGateway).filter(([caller]) => callerNames?.includes(caller) ?? true);
    const load = callers.flatMap(([caller, number]) =>
        Array.from({ length: number * gatewayCount }, (...[, index]) =>
            callUntil({
                caller: caller as SoakCallerKind,
                name: `${caller}-${index}`,
                key: callerKeys[index % callerKeys.length]!,
                random: createSeededRandom(seed * 100_000 + caller.length * 100 + index),
                fleet,
                history,
                isOver: () => performance.now() >= endsAt,
            }))
    );
    const troubles = troubleKinds.filter(kind => troubleNames?.includes(kind) ?? true);
    await Promise.all([
        repeat(seed, endsAt, 50, 2_300, async random => {
            const number = random.next() < stormShare ? between(random, 3, 8) : 1;
            for (let changed = 0; changed < number; changed++) {
                const kind = pick(random, changeKinds);
                history.change(kind, random);
                note(`version ${history.newest().version}: ${kind}`);
                await sleep(between(random, 50, 400));
            }
        }),
        repeat(seed + 500_000, troubles.length === 0 ? 0 : endsAt, 200, 2_500, async random => {
            const kind = pick(random, troubles);
            note(kind);
            await makeTrouble(kind, current, random);
            note(`${kind} has ended`);
        }),
        repeat(seed + 900_000, isOtherWriterActive ? endsAt : 0, 300, 3_000, random => {
            note(writeOddRecords(store, random));
            return Promise.resolve();
        }),
    ]);
    const calls: readonly SoakCall[] = (await Promise.all(load)).flat();
    const exitCodes = await fleet.close();
    await sleep(logDeliveryMilliseconds);
    const judged = judgeCalls(calls, {
        history,
        runners: runners.all,
        standstills: current.standstills,
        drainTimeLimitMilliseconds: drainTimeLimitSeconds * 1_000,
    });
    const lines = judged.filter(each => !silentVerdicts.has(each.verdict) || countServers(each) > 2)
        .map(each => describeCall(each, startedAt));
    if (logFolder !== undefined) {
        fleet.writeLogs(logFolder, `${seed}`);
        writeFileSync(join(logFolder, `${seed}-events.txt`), events.join("\n"));
        writeFileSync(join(logFolder, `${seed}-requests.txt`), lines.join("\n"));
    }
    const idempotent = judged.filter(({ call: { kind } }) => kind !== "unsafe");
    return {
        tally: count(judged.map(({ verdict }) => verdict)),
        ranAt: count(idempotent.map(countServers)),
        lines,
        exitCodes: [...exitCodes.values()],
        longestDelay: delay.longest(),
    };
}

describe("gateways whose configuration changes beside silent servers, standstills and restarts", () => {
    for (let seed = firstSeed; seed < firstSeed + seeds; seed++) {
        // Guards against whole requests that get neither an answer nor a refusal.
        it(`answer or refuse every request, seed ${seed}`, async () => {
            const { exitCodes, lines, longestDelay, ranAt, tally } = await play(seed);
            console.log(
                `seed ${seed}: ${JSON.stringify(tally)}, backend servers ${JSON.stringify(ranAt)}, ` +
                    `exit codes ${exitCodes.join(" ")}, longest delay ${longestDelay} ms`,
            );
            lines.forEach(line => console.log(line));
            expect(faultVerdicts.filter(verdict => tally[verdict] !== undefined)).toEqual([]);
            expect(tally.whole ?? 0).toBeGreaterThan(tally.refused ?? 0);
            expect(exitCodes.every(code => code === 0)).toEqual(true);
        });
    }
});
