import { expect } from "earl";
import { describe, it } from "node:test";
import { call } from "./standIn/caller.js";
import { startDeployment, waitUntil } from "./standIn/deployment.js";
import { startTestGateway } from "./standIn/gateway.js";

/** Blocks the event loop until the clock shows the given fraction of a millisecond. */
function awaitFraction(fraction: number): void {
    while (Math.abs(performance.now() % 1 - fraction) > 0.02) {
        // Busy wait.
    }
}

describe("gateway whose backend server stays silent", () => {
    for (const path of ["/unsafe/", "/stream/"]) {
        // Guards against a time limit of the attempt that expires up to a millisecond before that of its request.
        it(`answers 504 at the deadline of the request: ${path}`, async () => {
            await using deployment = await startDeployment();
            const ids = Array.from({ length: 16 }, (...[, index]) => `i-${index}`);
            const runners = await Promise.all(ids.map(id => deployment.addRunner({ id })));
            runners.forEach(runner => runner.setBehaviour("silent"));
            let decisions = 0;
            await using gateway = await startTestGateway({
                instance: "gateway-2",
                storeAddress: deployment.store.address,
                flags: { "gateway.switchAfterMilliseconds": "5000", "log.decisionSampleShare": "1" },
                onLogLine: line => {
                    if (line.includes("routing decision")) {
                        awaitFraction(decisions++ % 16 / 16);
                    }
                },
            });
            await waitUntil("it is ready", async () => (await fetch(gateway.readyUrl)).status === 200);
            const answers = await Promise.all(ids.map(() => call(gateway, path)));
            expect(answers.map(({ status }) => status)).toEqual(answers.map(() => 504));
        });
    }
});
