import { expect } from "earl";
import fastCheck from "fast-check";
import { describe, it } from "node:test";
import { computeRequestCost, createServerSpeed, recordSlowdown } from "../../../src/runtime/cost/index.js";
import {
    applyLoadReport,
    createRunnerRow,
    recordOutcome,
    resolveRoutingOptions,
    type RoutingInput,
    type RunnerLoadReport,
    type RunnerRow,
    selectRunner,
    selectSubset,
    type SubsetCandidate,
    updateSubset,
} from "../../../src/runtime/routing/index.js";
import { createSeededRandom } from "../../../src/utils/index.js";

const options = resolveRoutingOptions();
const now = 100_000;

function createRunner(instance: string, changes: Partial<RunnerRow> = {}): RunnerRow {
    const row = createRunnerRow("scribe", { instance, zone: "a", region: "south" });
    return Object.assign(row, { manifestDigest: "v1", phase: "serving", reportedAt: now, capacity: 8 }, changes);
}

function createInput(runners: RunnerRow[], changes: Partial<RoutingInput> = {}): RoutingInput {
    return {
        subset: { deployment: "scribe", runners },
        zone: "a",
        region: "south",
        manifestDigest: "v1",
        prefix: undefined,
        excluded: new Set(),
        now,
        random: createSeededRandom(1),
        options,
        ...changes,
    };
}

function countChoices(input: RoutingInput, times = 400): Record<string, number> {
    const counts: Record<string, number> = {};
    for (let index = 0; index < times; index++) {
        const decision = selectRunner(input);
        const choice = decision.kind === "selected" ? decision.runner.instance : decision.reason;
        counts[choice] = (counts[choice] ?? 0) + 1;
    }
    return counts;
}

describe("selection of a runner", () => {
    // Guards against sending a request to a runner that must not or cannot answer it.
    const unavailable: readonly (readonly [string, Partial<RunnerRow>, string])[] = [
        ["serves another set", { manifestDigest: "v2" }, "not-serving"],
        ["is not serving yet", { phase: "activating" }, "not-serving"],
        ["has asked to be sent no requests for a while", { pausedUntil: now + 1_000 }, "turned-away"],
        ["has its trial request in progress", { trial: "running" }, "turned-away"],
        ["drains", { draining: true }, "draining"],
        ["has not reported for longer than the expiry", { reportedAt: now - 5_001 }, "not-serving"],
    ];
    for (const [name, changes, reason] of unavailable) {
        it(`leaves out a runner that ${name}`, () => {
            const other = createRunner("other", changes);
            expect(countChoices(createInput([other, createRunner("good")]))).toEqual({ good: 400 });
            expect(countChoices(createInput([other]), 1)).toEqual({ [reason]: 1 });
        });
    }

    // Guards against a retry on the runner that has just failed, and against a missing reason for an empty subset.
    it("leaves out excluded runners", () => {
        const runners = [createRunner("first"), createRunner("second")];
        expect(countChoices(createInput(runners, { excluded: new Set(["first"]) }))).toEqual({ second: 400 });
        expect(countChoices(createInput([]), 1)).toEqual({ "no-runner": 1 });
    });

    // Guards against requests to ejected runners, and against ejecting so many runners that the others are overloaded.
    it("leaves out ejected runners unless more than half are ejected", () => {
        const runners = ["a", "b", "c", "d"].map(instance => createRunner(instance));
        const eject = (index: number) => {
            for (let failure = 0; failure < options.failuresUntilEjected; failure++) {
                recordOutcome(runners[index]!, "failed", now, options);
            }
        };
        eject(0);
        eject(1);
        expect(Object.keys(countChoices(createInput(runners))).sort()).toEqual(["c", "d"]);
        eject(2);
        expect(Object.keys(countChoices(createInput(runners))).sort()).toEqual(["a", "b", "c", "d"]);
        const later = createInput(runners, { now: now + options.ejectionDuration });
        expect(Object.keys(countChoices(later)).sort()).toEqual(["a", "b", "c", "d"]);
        recordOutcome(runners[0]!, "failed", now + options.ejectionDuration, options);
        expect(runners[0]!.ejectedUntil).toEqual(now + 3 * options.ejectionDuration);
        recordOutcome(runners[0]!, "succeeded", now, options);
        expect(runners[0]!.consecutiveFailures).toEqual(0);
    });

    // Guards against requests that cross zones or regions without need, and against requests that never cross them.
    it("prefers its zone, then its region, until the load differs", () => {
        const far = createRunner("far", { zone: "c", region: "north" });
        const near = createRunner("near", { zone: "b" });
        const own = createRunner("own");
        expect(countChoices(createInput([far, own]))).toEqual({ own: 400 });
        expect(countChoices(createInput([far, near]))).toEqual({ near: 400 });
        own.outstanding = 3;
        expect(countChoices(createInput([far, own]))).toEqual({ far: 400 });
    });

    // Guards against cold prefix caches, and against affinity that overloads the runner with the cached prefix.
    it("follows the prefix until its runner exceeds the load bound", () => {
        const warm = createRunner("warm", { cachedPrefixes: new Set(["prompt"]), outstanding: 1 });
        const runners = [warm, ...["a", "b", "c"].map(instance => createRunner(instance))];
        const input = createInput(runners, { prefix: "prompt" });
        expect(countChoices(input)).toEqual({ warm: 400 });
        warm.outstanding = 4;
        expect(countChoices(input)["warm"]).toEqual(undefined);
    });

    // Guards against a runner that looks idle because it does not report, and against counting own requests twice.
    it("ages reports toward the mean and leaves out its own requests", () => {
        const silent = createRunner("silent", { reportedLoad: 0, reportedAt: now - 4_500 });
        const fresh = createRunner("fresh", { reportedLoad: 5 });
        const busy = createRunner("busy", { reportedLoad: 9 });
        const counts = countChoices(createInput([silent, fresh, busy]), 900);
        expect(counts["silent"]!).toBeLessThan(700);
        const report: RunnerLoadReport = {
            manifestDigest: "v1",
            phase: "serving",
            draining: false,
            running: 5,
            queued: 2,
            capacity: 8,
            cachedPrefixes: [],
            age: 100,
        };
        fresh.outstanding = 3;
        applyLoadReport(fresh, report, now + 200);
        expect([fresh.reportedLoad, fresh.reportedAt]).toEqual([4, now + 100]);
        applyLoadReport(fresh, { ...report, running: 0, age: 500 }, now + 200);
        expect(fresh.reportedLoad).toEqual(4);
    });
});

describe("late load reports", () => {
    // Guards against correcting a late report by the requests in progress now instead of those at the time of the
    // report.
    it("subtracts the own requests of the time of the report", () => {
        const runner = createRunner("runner", { reportedAt: 0, outstanding: 2 });
        const report: RunnerLoadReport = {
            manifestDigest: "v1",
            phase: "serving",
            draining: false,
            running: 5,
            queued: 0,
            capacity: 8,
            cachedPrefixes: [],
            age: 1_000,
        };
        applyLoadReport(runner, report, now);
        runner.outstanding = 0;
        applyLoadReport(runner, report, now + 1_000);
        expect(runner.reportedLoad).toEqual(3);
        applyLoadReport(runner, report, now + 2_000);
        expect(runner.reportedLoad).toEqual(5);
    });

    // Guards against entry instances that choose different runners for a prefix before the first report of it arrives.
    it("selects the same runner everywhere for a prefix that is not reported yet", () => {
        const create = (order: readonly string[]) => order.map(instance => createRunner(instance));
        const used = new Set<string>();
        for (let index = 0; index < 20; index++) {
            const prefix = `prompt-${index}`;
            const here = countChoices(createInput(create(["a", "b", "c", "d"]), { prefix }), 50);
            const there = countChoices(createInput(create(["d", "c", "b", "a"]), { prefix, zone: "b" }), 50);
            expect(there).toEqual(here);
            Object.keys(here).forEach(instance => used.add(instance));
        }
        expect(used.size).toEqual(4);
    });
});

describe("load of requests whose answers have not begun", () => {
    const waitingOptions = resolveRoutingOptions({ waitingWeight: 5, comparedCandidates: 4 });
    const report = {
        manifestDigest: "v1",
        phase: "serving",
        draining: false,
        capacity: 8,
        cachedPrefixes: [],
        age: 0,
    } as const;

    it("does not give an idle runner all requests that arrive at the same time", () => {
        const busy = createRunner("busy", { reportedLoad: 5 });
        const idle = createRunner("idle");
        const choices: string[] = [];
        for (let index = 0; index < 3; index++) {
            const decision = selectRunner(createInput([busy, idle], { options: waitingOptions }));
            if (decision.kind === "selected") {
                decision.runner.outstanding++;
                decision.runner.awaitingFirst++;
                choices.push(decision.runner.instance);
            }
        }
        expect(choices).toEqual(["idle", "busy", "idle"]);
    });

    it("counts what other entry instances have sent, for a short time", () => {
        const calm = createRunner("calm");
        const rushed = createRunner("rushed");
        applyLoadReport(calm, { ...report, running: 6, queued: 0 }, now);
        applyLoadReport(rushed, { ...report, running: 0, queued: 4 }, now);
        const choose = (later: number) => {
            const input = createInput([calm, rushed], { options: waitingOptions, now: now + later });
            return countChoices(input, 20);
        };
        expect(choose(0)).toEqual({ calm: 20 });
        expect(choose(1_600)).toEqual({ rushed: 20 });
    });
});

describe("subset of an entry instance", () => {
    const zones = [["a", "south"], ["b", "south"], ["c", "north"]] as const;

    function createCandidates(count: number): SubsetCandidate[] {
        return [...Array(count).keys()].map(index => {
            const [zone, region] = zones[index % zones.length]!;
            return { instance: `runner-${index}`, zone, region };
        });
    }

    function select(candidates: readonly SubsetCandidate[], entry = "entry-1"): readonly SubsetCandidate[] {
        return selectSubset({ entry, deployment: "scribe", zone: "a", region: "south", candidates, size: 32 });
    }

    // Guards against a subset that grows with the fleet, is empty, or contains no runner of another zone.
    it("is bounded, never empty and prefers its own zone", () => {
        for (const count of [1, 2, 10, 33, 300, 3_200]) {
            const chosen = select(createCandidates(count));
            expect(chosen.length).toEqual(Math.min(count, 32));
        }
        const chosen = select(createCandidates(3_200));
        expect(chosen.filter(({ zone }) => zone === "a").length).toEqual(24);
        const elsewhere = createCandidates(300).filter(({ zone }) => zone === "c");
        expect(select(elsewhere).length).toEqual(32);
        const avoided = createCandidates(90).map(row => ({ ...row, avoided: row.instance !== "runner-5" }));
        expect(select(avoided).length).toEqual(32);
        expect(select(avoided)[0]!.instance).toEqual("runner-5");
    });

    // Guards against replacing all connections when a runner is added or removed.
    it("replaces at most two runners when one runner is added or removed", () => {
        fastCheck.assert(
            fastCheck.property(fastCheck.integer({ min: 2, max: 400 }), fastCheck.nat(), fastCheck.string(), (
                count,
                pick,
                entry,
            ) => {
                const candidates = createCandidates(count);
                const before = new Set(select(candidates, entry).map(({ instance }) => instance));
                const gone = candidates[pick % count]!.instance;
                const after = select(candidates.filter(({ instance }) => instance !== gone), entry);
                const added = after.filter(({ instance }) => !before.has(instance));
                expect(added.length).toBeLessThanOrEqual(before.has(gone) ? 2 : 0);
            }),
            { seed: 12, numRuns: 300 },
        );
    });

    // Guards against losing the counts of requests in progress when the subset changes.
    it("keeps the rows of runners that stay", () => {
        const subset = { deployment: "scribe", runners: [] as RunnerRow[] };
        updateSubset(subset, select(createCandidates(2)));
        const stays = subset.runners.find(({ instance }) => instance === "runner-0")!;
        stays.outstanding = 3;
        const changes = updateSubset(subset, [createCandidates(1)[0]!, {
            instance: "new",
            zone: "a",
            region: "south",
        }]);
        expect(changes).toEqual({ added: ["new"], removed: ["runner-1"] });
        expect(subset.runners[0]).toEqual(stays);
    });
});

describe("selection by expected time", () => {
    const timing = {
        stepTime: 9,
        stepTimePerRequest: 0,
        stepTimePerThousandTokens: 0,
        promptTokensPerSecond: 20_000,
        timePerMillionPairs: 0,
        passTokens: 512,
        stepsPerPass: 5,
        memoryTokens: 10_000,
    };
    const usual = { promptTokens: 800, outputTokens: 110 };
    const cost = computeRequestCost({ slots: 8, timing }, usual, usual);
    const costAware = { ...options, costAware: true };

    function createSlow(instance: string, slowdown: number, changes: Partial<RunnerRow> = {}): RunnerRow {
        const speed = createServerSpeed();
        recordSlowdown(speed, slowdown, now);
        return createRunner(instance, { ...changes, speed });
    }

    // Guards against a server that gets as many requests as others of the same load although it takes twice as long.
    it("prefers a fast runner to a slow one of less load", () => {
        const runners = [createSlow("slow", 3), createRunner("fast", { reportedLoad: 3 })];
        expect(countChoices(createInput(runners, { options: costAware, cost }))).toEqual({ fast: 400 });
        expect(countChoices(createInput(runners, { cost }))).toEqual({ slow: 400 });
    });

    // Guards against a request that makes an engine preempt what it runs, and against one that is refused instead.
    it("leaves out a runner without memory while another one has some", () => {
        const full = ["a", "b", "c", "d"].map(instance => createRunner(instance, { reportedLoad: 12 }));
        const runners = [...full, createSlow("roomy", 4)];
        expect(countChoices(createInput(runners, { options: costAware, cost }))).toEqual({ roomy: 400 });
        expect(countChoices(createInput(full.slice(0, 1), { options: costAware, cost }), 1)).toEqual({ a: 1 });
    });

    // Guards against all gateways sending to the same runner between two reports.
    it("does not send all requests to a single runner", () => {
        const runners = [...Array(20).keys()].map(index => createRunner(`r${index}`, { reportedLoad: index / 20 }));
        const counts = countChoices(createInput(runners, { options: costAware, cost }));
        expect(Math.max(...Object.values(counts))).toBeBetween(20, 60);
    });

    // Guards against slow servers of plain services, whose timing is not known.
    it("scales the load by the stated slowdown where the cost is not known", () => {
        const runners = [createSlow("slow", 3), createRunner("fast", { reportedLoad: 1 })];
        expect(countChoices(createInput(runners, { options: costAware }))).toEqual({ fast: 400 });
        expect(countChoices(createInput(runners))).toEqual({ slow: 400 });
    });
});
