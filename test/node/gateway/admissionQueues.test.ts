import { expect } from "earl";
import { describe, it } from "node:test";
import { createAdmissionQueues } from "../../../src/node/gateway/selection/admissionQueues.js";
import { resolveAdmissionOptions } from "../../../src/runtime/admission/index.js";
import type { ServiceRow } from "../../../src/types/index.js";
import { createSystemClock } from "../../../src/utils/index.js";
import { createRequest } from "../../runtime/admission/requests.js";

const service: ServiceRow = {
    name: "scribe",
    maximumConnections: 10,
    engine: undefined,
    originAddress: undefined,
    zone: undefined,
};

function prepare() {
    const clock = createSystemClock();
    let computed = 0;
    const queues = createAdmissionQueues({
        clock,
        options: resolveAdmissionOptions(),
        computeServiceShare: () => {
            computed++;
            return {
                places: 1,
                own: 1,
                free: 1,
                gateways: 1,
                contenders: 1,
                usable: 1,
                leftOut: {
                    "outside-regions": 0,
                    evacuated: 0,
                    draining: 0,
                    "not-serving": 0,
                    unverified: 0,
                    paused: 0,
                    "rate-limited": 0,
                    "slow-start": 0,
                    ejected: 0,
                },
                resumesAt: undefined,
            };
        },
    });
    const request = createRequest({ deadline: clock.monotonic() + 60_000 });
    return {
        queues,
        countComputed: () => computed,
        admit: () => queues.admit(service, request, { isAborted: () => false, signal: new AbortController().signal }),
    };
}

describe("admission queues", () => {
    // Guards against requests that are forgotten, and places that are never free again.
    it("start each request that has the identifier of another one, as places become free", async () => {
        const { admit, queues } = prepare();
        const waiting = [admit(), admit(), admit(), admit()];
        for (const admission of waiting) {
            const outcome = await admission;
            if (outcome.kind === "refused") {
                throw new Error(`refused: ${outcome.refusal.reason}`);
            }
            outcome.finish();
        }
        expect(queues.countOpen()).toEqual(0);
    });

    // Guards against places that are computed over all backend servers at each end, although no request waits for one.
    it("compute the places at the end of a request only if others wait", async () => {
        const { admit, countComputed } = prepare();
        const [first, second] = [admit(), admit()];
        const counts: number[] = [];
        for (const admission of [first, second]) {
            const outcome = await admission;
            const before = countComputed();
            if (outcome.kind === "started") {
                outcome.finish();
            }
            counts.push(countComputed() - before);
        }
        expect(counts).toEqual([1, 0]);
    });
});
