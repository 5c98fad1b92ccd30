import { expect } from "earl";
import { describe, it } from "node:test";
import { createRelaySilenceCheck } from "../../../src/node/daemon/index.js";
import { createManualClock } from "../../../src/utils/index.js";

describe("silence of the relays", () => {
    const cases: readonly [name: string, heardAt: number | undefined, random: number, silentFrom: number][] = [
        ["without jitter, before the first response", undefined, 0, 0],
        ["with jitter, before the first response", undefined, 0.5, 1_500],
        ["without jitter, after a response", 100_000, 0, 104_000],
        ["with jitter, after a response", 100_000, 0.5, 105_500],
    ];
    for (const [name, heardAt, random, silentFrom] of cases) {
        // Guards against agents that all start to read the log at the moment at which their relays fail.
        it(`begins at ${silentFrom} ms ${name}`, () => {
            const clock = createManualClock();
            const isSilent = createRelaySilenceCheck({
                clock,
                random: { next: () => random },
                readHeardAt: () => heardAt,
                silentAfter: 4_000,
                jitter: 3_000,
            });
            clock.advance(silentFrom);
            expect(isSilent()).toEqual(false);
            clock.advance(1);
            expect(isSilent()).toEqual(true);
        });
    }
});
