import { expect } from "earl";
import fc from "fast-check";
import { createManualClock } from "../../../src/utils/index.js";
import { chunkCount, createAgent, createChunks, LateEngine, type TestAgent } from "./engineSupport.js";

type Fault =
    | "run"
    | "declare"
    | "hold-orders"
    | "hold-writes"
    | "answer"
    | "deliver-one"
    | "deliver-all"
    | "corrupt"
    | "replace"
    | "restart-agent"
    | "restart-engine"
    | "load-slowly"
    | "finish"
    | "wait";

interface Step {
    readonly fault: Fault;
    readonly index: number;
    /** Calls to the engine before the fault occurs, so that it falls between the calls of one operation. */
    readonly afterCalls: number;
}

const steps: fc.Arbitrary<readonly Step[]> = fc.array(
    fc.record<Step>({
        fault: fc.constantFrom<Fault>(
            "run",
            "run",
            "run",
            "declare",
            "hold-orders",
            "hold-writes",
            "answer",
            "deliver-one",
            "deliver-all",
            "corrupt",
            "replace",
            "restart-agent",
            "restart-engine",
            "load-slowly",
            "finish",
            "wait",
        ),
        index: fc.nat(chunkCount - 1),
        afterCalls: fc.nat(12),
    }),
    { minLength: 10, maxLength: 60 },
);

class Schedule {
    readonly clock = createManualClock();
    readonly engine = new LateEngine(1, this.clock);
    readonly agents: TestAgent[] = [createAgent(this.engine, [1, 2], this.clock)];

    private readonly pending: { step: Step; calls: number; }[] = [];

    constructor(private readonly maximumRestarts: number) {
        this.engine.onCall = () => {
            const due = this.pending.filter(entry => --entry.calls === 0);
            due.forEach(({ step }) => void this.actions[step.fault](step.index));
        };
    }

    /** Applies a step now, or a fault after some calls to the engine. */
    async apply(step: Step): Promise<void> {
        const isAction = step.fault === "run" || step.fault === "restart-agent" || step.fault === "wait";
        if (isAction || step.afterCalls === 0) {
            await this.actions[step.fault](step.index);
        }
        else {
            this.pending.push({ step, calls: step.afterCalls });
        }
    }

    get agent(): TestAgent {
        return this.agents.at(-1)!;
    }

    readonly actions: Readonly<Record<Fault, (index: number) => Promise<void> | void>> = {
        run: () => this.agent.run(),
        declare: () => {
            this.agent.versions.push(Math.max(...this.agent.versions) + 1);
        },
        "hold-orders": () => {
            this.engine.holdsOrders = true;
        },
        "hold-writes": () => {
            this.engine.holdsWrites = true;
        },
        answer: () => {
            this.engine.holdsOrders = false;
            this.engine.holdsWrites = false;
        },
        "deliver-one": () => this.engine.deliver(1),
        "deliver-all": () => this.engine.deliver(),
        corrupt: index => {
            this.engine.corrupt(index);
        },
        replace: index => {
            this.engine.staged.set(index, createChunks(1)[index]!);
        },
        "restart-agent": () => {
            if (this.agents.length <= this.maximumRestarts) {
                this.agents.push(createAgent(this.engine, [...this.agent.versions], this.clock));
            }
        },
        "restart-engine": () => this.engine.restart(),
        "load-slowly": () => {
            this.engine.loadsSlowly = !this.engine.loadsSlowly;
        },
        finish: () => this.engine.finish(),
        wait: () => this.clock.advance(3_500),
    };
}

/** Which random schedules are played. */
export interface ScheduleOptions {
    readonly seed: number;
    readonly schedules: number;
    /** Restarts of the agent in one schedule. */
    readonly agentRestarts: number;
}

/**
 * Plays random schedules of faults. Weights have to be right whenever they are published as verified, and the newest
 * version has to be loaded right once the faults have ended.
 *
 * @param options - seed, number and restarts
 */
export async function checkFaultSchedules({ agentRestarts, schedules, seed }: ScheduleOptions): Promise<void> {
    await fc.assert(
        fc.asyncProperty(steps, async schedule => {
            const state = new Schedule(agentRestarts);
            for (const step of schedule) {
                await state.apply(step);
            }
            state.engine.onCall = () => {};
            await state.actions.answer(0);
            state.engine.deliver();
            for (let round = 0; round < 12; round++) {
                state.engine.finish();
                state.clock.advance(3_500);
                await state.agent.run();
            }
            const { engine } = state;
            expect(state.agents.map(agent => agent.countMistakes())).toEqual(state.agents.map(() => 0));
            expect([engine.loaded?.version, engine.isWrong, state.agent.status()?.weightsVerified]).toEqual([
                Math.max(...state.agent.versions),
                false,
                true,
            ]);
        }),
        { seed, numRuns: schedules },
    );
}
