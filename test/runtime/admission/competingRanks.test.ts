import { expect } from "earl";
import { describe, it } from "node:test";
import {
    type AdmissionOptions,
    cancelRequest,
    createAdmissionTable,
    expireRequests,
    finishRequest,
    offerRequest,
    resolveAdmissionOptions,
} from "../../../src/runtime/admission/index.js";
import type { RandomSource } from "../../../src/types/index.js";
import { createSeededRandom } from "../../../src/utils/index.js";
import { createRequest } from "./requests.js";

const tick = 5;
/** Accounts by their share of the load. */
const accounts = [0.5, 0.2, 0.1, 0.1, 0.05, 0.05];
const serviceTime = 200;

interface LoadClass {
    /** Default: one of several accounts, of which few are large. */
    readonly account?: string;
    readonly priority: number;
    readonly perSecond: number;
    readonly permittedWait: number;
}

/** Requests of the engraving deployment: the most urgent may wait for the shortest time. */
const ranks: readonly LoadClass[] = [
    { priority: 9, perSecond: 43, permittedWait: 200 },
    { priority: 8, perSecond: 24, permittedWait: 200 },
    { priority: 7, perSecond: 33, permittedWait: 500 },
];

function drawAccount(random: RandomSource): string {
    let remaining = random.next();
    return `account-${accounts.findIndex(share => (remaining -= share) < 0)}`;
}

/**
 * Plays a load against a server that runs 20 requests at once for 200 ms each: 100 requests a second.
 *
 * @returns started share of each class, in the order of the classes
 */
function play(classes: readonly LoadClass[], load: number, changes: Partial<AdmissionOptions>, seed = 1): number[] {
    const table = createAdmissionTable(resolveAdmissionOptions({ maximumInProgress: 20, ...changes }));
    const random = createSeededRandom(seed);
    const endings: { readonly requestId: string; readonly at: number; }[] = [];
    const classOf = new Map<string, number>();
    const offered = classes.map(() => 0);
    const started = classes.map(() => 0);
    function start(requestId: string, now: number): void {
        started[classOf.get(requestId)!]!++;
        endings.push({ requestId, at: now + serviceTime });
    }
    for (let now = 0; now < 20_000; now += tick) {
        while (endings[0] !== undefined && endings[0].at <= now) {
            finishRequest(table, endings.shift()!.requestId, now).start.forEach(row => start(row.requestId, now));
        }
        classes.forEach(({ account, perSecond, permittedWait, priority }, index) => {
            if (random.next() < perSecond * load * tick / 1_000) {
                const times = { receivedAt: now, deadline: now + permittedWait };
                const request = createRequest({ clientAccount: account ?? drawAccount(random), priority, ...times });
                offered[index]!++;
                classOf.set(request.requestId, index);
                if (offerRequest(table, request, now).kind === "start") {
                    start(request.requestId, now);
                }
            }
        });
        expireRequests(table, now).start.forEach(row => start(row.requestId, now));
    }
    return started.map((count, index) => count / offered[index]!);
}

describe("competing ranks", () => {
    // Guards against less urgent requests that outlast more urgent ones in the queue since they may wait longer, and
    // take each slot that becomes free, in particular if the urgent ones come from a large account and the others from
    // small ones.
    for (const load of [1.3, 1.5, 2]) {
        it(`serve the most urgent requests at ${load} times the capacity, unlike the order by account`, () => {
            const byRank = play(ranks, load, { rankReservation: true });
            expect(byRank[0]!).toBeGreaterThan(load < 2 ? 0.95 : 0.8);
            expect(byRank[0]!).toBeGreaterThan(play(ranks, load, {})[0]!);
            expect(byRank[1]! + 0.05).toBeGreaterThan(byRank[2]!);
            const ofAccounts = ranks.map((rank, index) => ({
                ...rank,
                account: index === 0 ? "large" : `small-${index}`,
            }));
            const ofAccountsByRank = play(ofAccounts, load, { rankReservation: true });
            expect(ofAccountsByRank[0]!).toBeGreaterThan(load < 2 ? 0.95 : 0.8);
            expect(ofAccountsByRank[0]!).toBeGreaterThan(play(ofAccounts, load, {})[0]! + 0.2);
        });

        // Guards against a less urgent rank that gets no slot at all.
        it(`serve each rank at least a quarter as often as all at ${load} times the capacity`, () => {
            for (const share of play(ranks, load, { rankReservation: true })) {
                expect(share).toBeGreaterThan(0.25 * Math.min(1, 1 / load));
            }
        });
    }

    // Guards against a small account whose requests are the least urgent ones of all, and wait behind a large one.
    it("serve an account with few and less urgent requests at least a quarter as often as all", () => {
        const small = { account: "small", priority: 1, perSecond: 5, permittedWait: 200 };
        const byRank = play([...ranks, small], 2, { rankReservation: true });
        const withoutMinimum = play([...ranks, small], 2, { rankReservation: true, minimumRankShare: 0 });
        expect(withoutMinimum[3]!).toBeLessThan(0.125);
        expect(byRank[3]!).toBeGreaterThan(0.125);
    });

    // Guards against slots that stay empty while less urgent requests wait.
    it("use the whole capacity", () => {
        const shares = play(ranks, 2, { rankReservation: true });
        const perSecond = shares.reduce((sum, share, index) => sum + share * ranks[index]!.perSecond * 2, 0);
        expect(perSecond).toBeGreaterThan(95);
    });

    // Guards against a change for deployments whose routes have the same rank.
    it("change nothing with one rank", () => {
        const classes = ["large", "middle", "small"].map((account, index) => ({
            account,
            priority: 5,
            perSecond: 80 / 2 ** index,
            permittedWait: 300,
        }));
        for (let seed = 1; seed <= 5; seed++) {
            expect(play(classes, 1.3, { rankReservation: true }, seed)).toEqual(play(classes, 1.3, {}, seed));
        }
    });

    // Guards against urgent requests that may not wait and find all slots taken by less urgent ones.
    it("leave slots to urgent requests that may not wait, and none to those that find a slot in time", () => {
        function countStarted(interval: number, permittedWait: number): number {
            const table = createAdmissionTable(resolveAdmissionOptions({
                maximumInProgress: 10,
                rankReservation: true,
                initialServiceTime: 1_000,
            }));
            for (let now = 0; now < 1_000; now += interval) {
                const urgent = createRequest({ priority: 9, deadline: now + permittedWait });
                offerRequest(table, urgent, now);
                cancelRequest(table, urgent.requestId, now);
            }
            const others = Array.from({ length: 10 }, () => createRequest({ priority: 5, deadline: 1_500 }));
            return others.filter(request => offerRequest(table, request, 1_000).kind === "start").length;
        }
        expect(countStarted(20, 50)).toBeLessThan(10);
        expect(countStarted(500, 2_000)).toEqual(10);
    });
});
