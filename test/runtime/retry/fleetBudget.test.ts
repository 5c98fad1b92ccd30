import { expect } from "earl";
import { describe, it } from "node:test";
import {
    createRetryBudget,
    creditRequest,
    divideRetryAllowance,
    resolveRetryOptions,
    takeRetry,
} from "../../../src/runtime/retry/index.js";

const fleetRetryWindow = 10_000;
const fleetRetryShare = 0.2;
const second = 1_000;

/** Takes as many retries as the budgets of all gateways allow in one window, after 60 s without requests. */
function spendWindow(gateways: number, fleetRetries: number, requests: number, restart: boolean): number {
    const options = divideRetryAllowance(
        resolveRetryOptions(),
        { fleetRetries, fleetRetryShare, fleetRetryWindow },
        gateways,
    );
    let taken = 0;
    for (let gateway = 0; gateway < gateways; gateway++) {
        let budget = createRetryBudget(0, options);
        for (let step = 0; step <= fleetRetryWindow / second; step++) {
            const now = 60 * second + step * second;
            for (let request = 0; request < requests / gateways / (fleetRetryWindow / second); request++) {
                creditRequest(budget, now, options);
            }
            while (takeRetry(budget, now, options)) {
                taken++;
            }
            if (restart && step === 5) {
                budget = createRetryBudget(now, options);
            }
        }
    }
    return taken;
}

describe("retry budgets of all gateways", () => {
    // Guards against retries that grow with the number of gateways beyond the allowance.
    const fleets: readonly (readonly [number, number, number])[] = [
        [1, 104, 1_000],
        [5, 104, 1_090],
        [13, 128, 3_700],
        [13, 128, 0],
        [35, 200, 6_230],
        [35, 200, 0],
        [60, 200, 0],
    ];
    for (const [gateways, allowance, requests] of fleets) {
        for (const restart of [false, true]) {
            it(`stay within what is allowed: ${gateways} gateways${restart ? " that start anew" : ""}`, () => {
                const taken = spendWindow(gateways, allowance, requests, restart);
                expect(taken).toBeLessThanOrEqual(fleetRetryShare * requests + allowance);
                expect(taken).toBeGreaterThan(0);
            });
        }
    }

    it("are those of each process where no allowance is stated", () => {
        const options = resolveRetryOptions();
        expect(divideRetryAllowance(options, { fleetRetries: 0, fleetRetryShare: 0, fleetRetryWindow }, 9)).toEqual(
            options,
        );
    });
});
