import { expect } from "earl";
import { describe, it } from "node:test";
import type { AgentContext } from "../../../src/node/agent/context.js";
import { recordOwnershipChanges } from "../../../src/node/agent/ownershipRecorder.js";
import { createStateStore } from "../../../src/node/relay/index.js";
import {
    createIdempotencyKey,
    createLedger,
    offerKey,
    resolveLedgerOptions,
} from "../../../src/runtime/idempotency/index.js";
import { beginAfterTruncation } from "../../../src/runtime/state/index.js";
import { createManualClock, createSeededRandom } from "../../../src/utils/index.js";
import { createCopy, createEntries } from "../daemonSupport.js";

const owned = { owners: ["agent-1"], copies: [createCopy("agent-1")] };
const moved = { owners: ["agent-2"], copies: [createCopy("agent-1")] };

describe("recorded owners of idempotency keys", () => {
    const cases: readonly [
        name: string,
        way: "records" | "snapshot" | "truncated",
        between: typeof owned,
        outcome: "run" | "key-predates-owner",
    ][] = [
        ["records that leave the owner", "records", owned, "run"],
        ["records that change the owner for a while", "records", moved, "key-predates-owner"],
        ["a snapshot", "snapshot", moved, "key-predates-owner"],
        ["a log that has lost records", "truncated", moved, "key-predates-owner"],
    ];
    for (const [name, way, between, expected] of cases) {
        // Guards against a key that runs again here after another instance owned it in between.
        it(`decides on an older key after ${name}`, () => {
            const clock = createManualClock();
            const store = createStateStore();
            const peer = createStateStore();
            const context = { self: "agent-1", clock, startedAt: 0, store, ownership: new Map() };
            recordOwnershipChanges(context as unknown as AgentContext);
            const entries = [
                ...createEntries(1, 1, owned),
                ...createEntries(2, 3, between),
                ...createEntries(4, 5, owned),
            ];
            clock.advance(10_000);
            store.applyEntries(entries.slice(0, 1));
            clock.advance(10_000);
            const key = createIdempotencyKey(clock.now().getTime(), createSeededRandom(1));
            clock.advance(10_000);
            peer.applyEntries(entries);
            if (way === "snapshot") {
                store.adoptSnapshot(peer.takeSnapshot());
            }
            else if (way === "truncated") {
                beginAfterTruncation(store.state, 4);
                store.applyEntries(entries.slice(3));
            }
            else {
                store.applyEntries(entries);
            }
            const decision = offerKey(
                createLedger(resolveLedgerOptions({})),
                (context as unknown as AgentContext).ownership.get("scribe")!,
                { key, clientAccount: "account", bodyDigest: "f", held: true, now: clock.now().getTime() },
            );
            expect(decision.kind === "refuse" ? decision.refusal.reason : decision.kind).toEqual(expected);
        });
    }
});
