import { expect } from "earl";
import fastCheck from "fast-check";
import { describe, it } from "node:test";
import {
    createRetryBudget,
    createSuspectTable,
    decideRetry,
    mergeSuspects,
    readStanding,
    reportCrash,
    reportSuccessAlone,
    resolveRetryOptions,
    type SuspectRow,
    type SuspectStanding,
    type SuspectTable,
} from "../../../src/runtime/retry/index.js";
import type { RandomSource, RequestRow } from "../../../src/types/index.js";
import { createSeededRandom } from "../../../src/utils/index.js";

const options = resolveRetryOptions();
const crasher = "crasher";

interface Attempt {
    readonly fingerprint: string;
    readonly entry: number;
    readonly alone: boolean;
    readonly attempts: number;
}

/**
 * Entry instances that exchange suspects with a delay, in front of servers that run batches of requests. A server whose
 * batch contains the crashing request crashes.
 */
class Simulation {
    readonly tables: SuspectTable[];
    readonly queue: Attempt[] = [];
    readonly gossip: { readonly round: number; readonly from: number; readonly rows: readonly SuspectRow[]; }[] = [];
    readonly answered = new Set<string>();
    readonly refused = new Set<string>();
    crashes = 0;
    round = 0;

    constructor(readonly entries: number, readonly delay: number, readonly random: RandomSource) {
        this.tables = Array.from({ length: entries }, () => createSuspectTable(options));
    }

    offer(fingerprint: string, entry: number, attempts = 1): void {
        const standing = readStanding(this.tables[entry]!, fingerprint, this.round * 100);
        if (standing === "condemned") {
            this.refused.add(fingerprint);
            return;
        }
        this.queue.push({ fingerprint, entry, alone: standing === "suspect", attempts });
    }

    share(from: number, rows: readonly SuspectRow[]): void {
        if (rows.length > 0) {
            this.gossip.push({ round: this.round + this.delay, from, rows });
        }
    }

    deliver(): void {
        for (const { round, from, rows } of this.gossip) {
            for (let entry = 0; round === this.round && entry < this.entries; entry++) {
                if (entry !== from) {
                    mergeSuspects(this.tables[entry]!, rows, this.round * 100);
                }
            }
        }
    }

    /** The standing is read when a request leaves the queue, since crashes may have been reported meanwhile. */
    takeBatch(): Attempt[] {
        const batch: Attempt[] = [];
        for (const attempt of this.queue.splice(0)) {
            const standing = readStanding(this.tables[attempt.entry]!, attempt.fingerprint, this.round * 100);
            const alone = attempt.alone || standing === "suspect";
            if (standing === "condemned") {
                this.refused.add(attempt.fingerprint);
            }
            else if (batch.length === 0 || (!alone && !batch[0]!.alone && batch.length < 6)) {
                batch.push({ ...attempt, alone });
            }
            else {
                this.queue.push(attempt);
            }
        }
        return batch;
    }

    crash(batch: readonly Attempt[]): void {
        this.crashes += 1;
        for (let entry = 0; entry < this.entries; entry++) {
            const own = batch.filter(attempt => attempt.entry === entry);
            if (own.length > 0) {
                const fingerprints = own.map(({ fingerprint }) => fingerprint);
                this.share(entry, reportCrash(this.tables[entry]!, fingerprints, this.round * 100, own[0]!.alone));
            }
        }
        for (const attempt of batch) {
            this.retry(attempt);
        }
    }

    retry({ fingerprint, entry, attempts }: Attempt): void {
        const now = this.round * 100;
        const decision = decideRetry({
            request: { requestId: fingerprint, fingerprint, idempotent: true, deadline: now + 1_000 } as RequestRow,
            refusal: { ran: "unknown", reason: "backend-server-crashed", retryAfterSeconds: 1 },
            backendServerCrashed: true,
            attempts,
            answerBegun: false,
            standing: readStanding(this.tables[entry]!, fingerprint, now),
            budget: createRetryBudget(now, options),
            now,
            options,
        });
        if (decision.kind === "retry") {
            this.queue.push({ fingerprint, entry, alone: decision.alone, attempts: attempts + 1 });
        }
        else {
            this.refused.add(fingerprint);
        }
    }

    run(batch: readonly Attempt[]): void {
        if (batch.some(({ fingerprint }) => fingerprint === crasher)) {
            this.crash(batch);
            return;
        }
        for (const { fingerprint, entry, alone } of batch) {
            this.answered.add(fingerprint);
            if (alone) {
                this.share(entry, reportSuccessAlone(this.tables[entry]!, fingerprint, this.round * 100));
            }
        }
    }

    /** Two servers run one batch each in a round; the caller sends the crashing request again in every round. */
    advance(innocents: readonly string[]): void {
        this.round += 1;
        this.deliver();
        const pick = () => Math.floor(this.random.next() * this.entries);
        this.offer(crasher, pick());
        for (const fingerprint of innocents) {
            this.offer(fingerprint, pick());
        }
        this.run(this.takeBatch());
        this.run(this.takeBatch());
    }
}

describe("suspect requests", () => {
    // Guards against one request that crashes server after server while its caller keeps sending it through several
    // entry instances, and against refusing the requests that were in progress beside it.
    it("bounds the crashes of one request and answers its neighbours", () => {
        fastCheck.assert(
            fastCheck.property(
                fastCheck.integer({ min: 1, max: 5 }),
                fastCheck.integer({ min: 1, max: 8 }),
                fastCheck.integer(),
                (entries, delay, seed) => {
                    const simulation = new Simulation(entries, delay, createSeededRandom(seed));
                    const innocents: string[] = [];
                    for (let round = 0; round < 60; round++) {
                        const fresh = round < 30 ? [`${round}-a`, `${round}-b`] : [];
                        innocents.push(...fresh);
                        simulation.advance(fresh);
                    }
                    for (let round = 0; round < 200; round++) {
                        simulation.advance([]);
                    }
                    // Each entry instance that has not heard of a crash sees at most two of its own.
                    expect(simulation.crashes).toBeLessThanOrEqual(2 * entries);
                    expect(innocents.filter(fingerprint => !simulation.answered.has(fingerprint))).toEqual([]);
                    expect(innocents.filter(fingerprint => simulation.refused.has(fingerprint))).toEqual([]);
                    expect(simulation.refused.has(crasher)).toEqual(true);
                },
            ),
            { seed: 5, numRuns: 300 },
        );
    });

    // Guards against a suspect that runs beside other requests, a request that stays suspect after it has finished
    // alone, and a request that is condemned for its first crash.
    const standings: readonly (readonly [string, (table: SuspectTable) => void, SuspectStanding])[] = [
        ["no crash", () => undefined, "clear"],
        ["a crash beside others", table => reportCrash(table, ["a", "b"], 0), "suspect"],
        ["a first crash alone", table => reportCrash(table, ["a"], 0), "suspect"],
        ["a success alone", table => [reportCrash(table, ["a", "b"], 0), reportSuccessAlone(table, "a", 1)], "clear"],
        [
            "a second crash alone",
            table => [reportCrash(table, ["a", "b"], 0), reportCrash(table, ["a"], 1, true)],
            "condemned",
        ],
        [
            "a second crash that may have had neighbours",
            table => [1, 2].map(now => reportCrash(table, ["a"], now, false)),
            "suspect",
        ],
        ["a crash long ago", table => reportCrash(table, ["a"], -60_000), "clear"],
    ];
    for (const [name, change, expected] of standings) {
        it(`have the expected standing after ${name}`, () => {
            const table = createSuspectTable(options);
            change(table);
            expect(readStanding(table, "a", 10)).toEqual(expected);
        });
    }

    // Guards against a merge whose result depends on the order or the number of messages.
    it("merges in any order and any number of times to the same rows", () => {
        const row = fastCheck.record({
            fingerprint: fastCheck.constantFrom("a", "b"),
            crashes: fastCheck.integer({ min: 1, max: 3 }),
            crashesAlone: fastCheck.integer({ min: 0, max: 2 }),
            condemned: fastCheck.boolean(),
            cleared: fastCheck.boolean(),
            changedAt: fastCheck.integer({ min: 0, max: 100 }),
        });
        const read = (rows: readonly SuspectRow[]) => {
            const table = createSuspectTable(options);
            for (const part of rows) {
                mergeSuspects(table, [part], 100);
            }
            return Object.fromEntries(table.rows);
        };
        fastCheck.assert(
            fastCheck.property(fastCheck.array(row, { maxLength: 6 }), rows => {
                const expected = read(rows);
                expect(read([...rows].reverse())).toEqual(expected);
                expect(read([...rows, ...rows])).toEqual(expected);
            }),
            { seed: 6, numRuns: 500 },
        );
    });

    // Guards against a table that grows without bound, and against evicting condemned requests before suspects.
    it("drops the oldest suspects but keeps condemned requests", () => {
        const table = createSuspectTable(resolveRetryOptions({ maximumSuspects: 3 }));
        reportCrash(table, ["bad"], 0);
        reportCrash(table, ["bad"], 1, true);
        for (let index = 0; index < 10; index++) {
            reportCrash(table, [`neighbour-${index}`, `other-${index}`], 2 + index);
        }
        expect(table.rows.size).toEqual(3);
        expect(readStanding(table, "bad", 20)).toEqual("condemned");
        expect(readStanding(table, "neighbour-0", 20)).toEqual("clear");
    });

    // Guards against a condemned request that crashes servers again each time its row expires.
    it("keeps a request condemned while its caller keeps sending it", () => {
        const table = createSuspectTable(options);
        reportCrash(table, ["bad"], 0);
        reportCrash(table, ["bad"], 1, true);
        for (let now = 0; now < 3_600_000; now += 500_000) {
            expect(readStanding(table, "bad", now)).toEqual("condemned");
        }
    });
});
