import { expect } from "earl";
import fastCheck from "fast-check";
import { describe, it } from "node:test";
import {
    createIdempotencyKey,
    createLedger,
    createOwnershipHistory,
    finishKey,
    type KeyOffer,
    offerKey,
    parseKeyTime,
    recordInterruption,
    recordOwners,
    resolveKeyOwner,
    resolveLedgerOptions,
} from "../../../src/runtime/idempotency/index.js";
import { createSeededRandom, rankByRendezvous } from "../../../src/utils/index.js";

const start = 1_800_000_000_000;
const random = createSeededRandom(3);

function createPlacement(offset: number, owners: readonly string[], nextOwners?: readonly string[]) {
    const writtenAt = new Date(start).toISOString();
    return { deployment: "members", offset, configurationOffset: 1, writtenAt, copies: [], owners, nextOwners };
}

function prepare(options = {}) {
    const ledger = createLedger(resolveLedgerOptions(options));
    const history = createOwnershipHistory("self", start);
    recordOwners(history, createPlacement(1, ["self"]), start);
    function offer(key: string, changes: Partial<KeyOffer> = {}): string {
        const base = { key, clientAccount: "account", bodyDigest: "body", held: true, now: start + 10_000 };
        const decision = offerKey(ledger, history, { ...base, ...changes });
        return decision.kind === "refuse" ? `${decision.refusal.reason}: ${decision.refusal.ran}` : decision.kind;
    }
    return { ledger, history, offer };
}

function createAnswer(bytes: number) {
    return { status: 200, contentType: "text/plain", body: new Uint8Array(bytes) };
}

describe("ledger", () => {
    // Guards against a refusal with a wrong `ran`: the caller would repeat a request that ran, or not repeat one that
    // did not run.
    const newKeys = [
        { name: "a key of this owner", age: 0, expected: "run" },
        { name: "a key from the future", age: -2_001, expected: "key-invalid: no" },
        { name: "a key ahead within the allowance", age: -2_000, expected: "run" },
        { name: "a key from before the owner began", age: 8_000, expected: "key-predates-owner: unknown" },
        { name: "a key past the maximum age", age: 600_001, expected: "key-expired: unknown" },
        { name: "a lapsed hold", age: 0, changes: { held: false }, expected: "hold-lapsed: unknown" },
        {
            name: "a key from before the hold lapsed",
            age: 4_000,
            changes: { held: false, lapsedAt: start + 9_000 },
            expected: "hold-lapsed: no",
        },
    ];
    for (const { name, age, changes, expected } of newKeys) {
        it(`decides on ${name}`, () => {
            const { offer } = prepare();
            expect(offer(createIdempotencyKey(start + 10_000 - age, random), changes)).toEqual(expected);
        });
    }

    // Guards against a repeat that runs again, or that receives the answer to another account or body.
    const repeats = [
        { state: undefined, changes: {}, expected: "key-in-progress: unknown" },
        { state: "finished" as const, changes: {}, expected: "replay" },
        { state: "unknown" as const, changes: {}, expected: "key-already-accepted: unknown" },
        { state: "not-run" as const, changes: {}, expected: "run" },
        { state: "finished" as const, changes: { bodyDigest: "other" }, expected: "key-reused-with-other-body: no" },
        { state: "finished" as const, changes: { clientAccount: "b" }, expected: "key-reused-with-other-body: no" },
        { state: "finished" as const, changes: { held: false }, expected: "replay" },
    ];
    for (const { state, changes, expected } of repeats) {
        it(`decides on a repeat of a ${state ?? "running"} key with ${JSON.stringify(changes)}`, () => {
            const { ledger, offer } = prepare();
            const key = createIdempotencyKey(start + 9_000, random);
            expect(offer(key)).toEqual("run");
            if (state !== undefined) {
                finishKey(ledger, key, state, createAnswer(5));
            }
            expect(offer(key, changes)).toEqual(expected);
        });
    }

    // Guards against two owners that both accept a key during the change from one to the other.
    it("accepts during a change only the keys whose owner stays", () => {
        const { history, offer } = prepare();
        recordOwners(history, createPlacement(2, ["self"], ["self", "other"]), start + 1_000);
        const keys = Array.from({ length: 200 }, () => createIdempotencyKey(start + 9_000, random));
        for (const key of keys) {
            const stays = resolveKeyOwner(["self", "other"], key) === "self";
            expect(offer(key)).toEqual(stays ? "run" : "not-key-owner: unknown");
        }
    });

    // Guards against a history that looks uninterrupted because a state was copied without the records in between.
    it("refuses keys from before an interruption", () => {
        const { history, offer } = prepare();
        recordInterruption(history, start + 9_000);
        expect(offer(createIdempotencyKey(start + 9_500, random))).toEqual("key-predates-owner: unknown");
    });

    // Guards against accepting a key again after its row was removed and the wall clock was set back.
    it("refuses a forgotten key after the clock was set back", () => {
        const { offer } = prepare();
        const key = createIdempotencyKey(start + 9_000, random);
        expect(offer(key)).toEqual("run");
        expect(offer(createIdempotencyKey(start + 700_000, random), { now: start + 700_000 })).toEqual("run");
        expect(offer(key)).toEqual("key-expired: unknown");
    });

    // Guards against unbounded memory; a dropped answer must not turn into a second run.
    it("bounds entries and stored answers", () => {
        const { ledger, offer } = prepare({ maximumEntries: 3, maximumAnswerBytes: 10 });
        const keys = Array.from({ length: 4 }, () => createIdempotencyKey(start + 9_000, random));
        for (const key of keys.slice(0, 3)) {
            expect(offer(key)).toEqual("run");
            finishKey(ledger, key, "finished", createAnswer(5));
        }
        expect(offer(keys[3]!)).toEqual("queue-full: no");
        expect(ledger.storedBytes).toEqual(10);
        expect(offer(keys[0]!)).toEqual("key-already-accepted: unknown");
        expect(offer(keys[2]!)).toEqual("replay");
    });

    // Guards against two processes that disagree on the creation time or the owner of a key.
    it("reads the time of its keys and agrees with the ranking on the owner", () => {
        const owners = [...Array(20).keys()].map(index => `agent-${index}`);
        fastCheck.assert(
            fastCheck.property(fastCheck.integer({ min: 0, max: 2 ** 47 }), fastCheck.integer(), (time, seed) => {
                const key = createIdempotencyKey(time, createSeededRandom(seed));
                expect(parseKeyTime(key)).toEqual(time);
                expect(resolveKeyOwner(owners, key)).toEqual(rankByRendezvous(key, owners)[0]);
            }),
            { seed: 11, numRuns: 200 },
        );
        for (const text of ["", "x", "01890a5d-ac96-4b7e-8f3a-0123456789ab", "01890A5D-AC96-7B7E-8F3A-0123456789AB"]) {
            expect(parseKeyTime(text)).toEqual(undefined);
        }
    });
});
