import { expect } from "earl";
import { describe, it } from "node:test";
import { chooseRelay, type RelayFailure } from "../../../src/runtime/replica/index.js";

const tickInterval = 200;
const silentAfter = 1_500;
const reconnectAfter = 300;

/**
 * Simulates a process that starts with a list in which only the last address responds.
 *
 * @param silent - number of addresses before it that accept connections and send nothing
 * @returns time until the last address is tried, and the most streams that were open at the same time
 */
function findLast(silent: number): { readonly time: number; readonly streams: number; } {
    const addresses = Array.from({ length: silent + 1 }, (...[, index]) => `gateway-${index}`);
    const openedAt = new Map<string, number>();
    const failures = new Map<string, RelayFailure>();
    let streams = 0;
    for (let now = 0; now < 600_000; now += tickInterval) {
        for (const [address, at] of [...openedAt]) {
            if (now - at > silentAfter) {
                openedAt.delete(address);
                failures.set(address, { failedAt: now, retryAt: now + reconnectAfter });
            }
        }
        const choose = (): string | undefined =>
            chooseRelay({
                addresses,
                open: new Set(openedAt.keys()),
                connected: 0,
                failures,
                disconnectedSince: 0,
                now,
                options: { parents: 2 },
            });
        for (let address = choose(); address !== undefined; address = choose()) {
            if (address === addresses.at(-1)) {
                return { time: now, streams };
            }
            openedAt.set(address, now);
            streams = Math.max(streams, openedAt.size);
        }
    }
    return { time: Infinity, streams };
}

describe("choice of a relay", () => {
    // Guards against addresses that are never tried, since those before them take turns.
    for (const silent of [3, 8, 20, 100, 359]) {
        it(`reaches the only one that runs behind ${silent} that do not respond`, () => {
            const { streams, time } = findLast(silent);
            expect(time <= 2_000 + silent * 70).toEqual(true);
            expect(streams <= 32).toEqual(true);
        });
    }

    it("prefers the first ones, and tries two more than are wanted", () => {
        const open = new Set<string>();
        const input = { connected: 0, failures: new Map(), disconnectedSince: 0, now: 0, options: { parents: 2 } };
        const addresses = ["a", "b", "c", "d", "e"];
        for (let address = chooseRelay({ ...input, addresses, open }); address !== undefined;) {
            open.add(address);
            address = chooseRelay({ ...input, addresses, open });
        }
        expect([...open]).toEqual(["a", "b", "c", "d"]);
    });

    it("is none while enough relays are connected, or before the failed ones may be tried again", () => {
        const failures = new Map([["a", { failedAt: 900, retryAt: 1_200 }]]);
        const input = { addresses: ["a"], open: new Set<string>(), failures, now: 1_000, options: { parents: 1 } };
        expect(chooseRelay({ ...input, connected: 1, disconnectedSince: undefined })).toEqual(undefined);
        expect(chooseRelay({ ...input, connected: 0, disconnectedSince: 900 })).toEqual(undefined);
        expect(chooseRelay({ ...input, connected: 0, disconnectedSince: 900, now: 1_200 })).toEqual("a");
    });
});
