import { expect } from "earl";
import { describe, it } from "node:test";
import type { RandomSource } from "../../src/types/index.js";
import { createSeededRandom } from "../../src/utils/index.js";
import { call, type GatewayResponse } from "./standIn/caller.js";
import { startDeployment, type TestDeployment } from "./standIn/deployment.js";
import { drawPlan, makeBody, planHeader, type ResponsePlan, startPlannedRunner } from "./standIn/plannedResponse.js";

const firstSeed = Number(process.env["ANSWER_FIRST_SEED"] ?? 1);
const seeds = Number(process.env["ANSWER_SEEDS"] ?? 2);
const requestsPerSeed = 240;
const callers = 16;
const instances = ["i-1", "i-2", "i-3"];

interface Exchange {
    readonly requestId: string;
    readonly plan: ResponsePlan;
    readonly answer: GatewayResponse;
}

async function startPlannedDeployment(): Promise<TestDeployment> {
    const deployment = await startDeployment({ "routing.failuresUntilEjected": "100" });
    for (const id of instances) {
        const { address } = deployment.stack.use(await startPlannedRunner());
        await deployment.addRunnerRecord(id, address, { slots: 100 });
    }
    return deployment;
}

async function exchange(deployment: TestDeployment, random: RandomSource, faults: boolean): Promise<Exchange[]> {
    const exchanges: Exchange[] = [];
    let next = 0;
    await Promise.all(Array.from({ length: callers }, async () => {
        while (next < requestsPerSeed) {
            const requestId = `request-${next++}`;
            const plan = drawPlan(random, faults);
            const answer = await call(deployment, "/unsafe/", {
                headers: { "attempt-id": requestId, [planHeader]: JSON.stringify(plan) },
            });
            exchanges.push({ requestId, plan, answer });
        }
    }));
    return exchanges;
}

function isOwnAndComplete({ answer, plan, requestId }: Exchange): boolean {
    return answer.complete && answer.body === makeBody(requestId, plan.bodyBytes);
}

describe("answers of backend servers that break off or answer twice", () => {
    for (let seed = firstSeed; seed < firstSeed + seeds; seed++) {
        it(`reach the right caller complete, or as a failure (seed ${seed})`, async () => {
            await using deployment = await startPlannedDeployment();
            const exchanges = await exchange(deployment, createSeededRandom(seed), true);
            const succeeded = exchanges.filter(({ answer }) => answer.status === 200);
            expect(succeeded.filter(row => !isOwnAndComplete(row))).toEqual([]);
            expect(succeeded.filter(({ plan }) => plan.ending === "reset" && plan.framing === "connection")).toEqual(
                [],
            );
            expect(exchanges.filter(({ answer }) => answer.status === 502).length > 0).toEqual(true);
        });
    }

    it("all succeed if none breaks off, regardless of their framing", async () => {
        await using deployment = await startPlannedDeployment();
        const exchanges = await exchange(deployment, createSeededRandom(firstSeed), false);
        expect(exchanges.filter(row => row.answer.status !== 200 || !isOwnAndComplete(row))).toEqual([]);
    });
});
