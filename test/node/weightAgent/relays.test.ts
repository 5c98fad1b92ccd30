import { expect } from "earl";
import { describe, it } from "node:test";
import { pino } from "pino";
import { ok } from "true-myth/result";
import type { RecordStore } from "../../../src/node/replica/index.js";
import { createDirectGatewayReader } from "../../../src/node/weightAgent/relays.js";
import type { KeyedLogPort } from "../../../src/types/index.js";
import { createManualClock } from "../../../src/utils/index.js";

describe("direct reads of the list of gateways", () => {
    const cases: readonly (readonly [string, readonly number[], number])[] = [
        ["start 1 s after the last relay was lost", [1, 1, 1, 0, 0, 0, 0, 0, 0], 1],
        ["do not start while relays are connected", [1, 1, 1, 1, 1, 1, 1, 1, 1], 0],
        ["start over when a relay was connected meanwhile", [0, 0, 0, 0, 1, 0, 0, 0, 0], 0],
        ["are repeated after another second", [0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0], 2],
    ];
    for (const [name, connected, expected] of cases) {
        // Guards against an agent that stays without gateways when those of its settings no longer exist, and against
        // agents that read the log although relays send them the list.
        it(name, async () => {
            const clock = createManualClock();
            let reads = 0;
            const check = createDirectGatewayReader({
                log: {
                    readNewest: () => {
                        reads++;
                        return Promise.resolve(ok({ records: [], nextOffset: 0 }));
                    },
                } as unknown as KeyedLogPort,
                store: { receive: () => {} } as unknown as RecordStore,
                clock,
                random: { next: () => 0 },
                logger: pino({ level: "silent" }),
            });
            for (const count of connected) {
                check(count);
                clock.advance(210);
                await new Promise(resolve => setImmediate(resolve));
            }
            expect(reads).toEqual(expected);
        });
    }
});
