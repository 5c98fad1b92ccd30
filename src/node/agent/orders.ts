import type { Logger } from "pino";
import { type ActivationDecision, planOrders } from "../../runtime/activation/index.js";
import type {
    BackendServerPort,
    Clock,
    CopyAssignment,
    CopyPhase,
    EngineState,
    FencingToken,
    Milliseconds,
    Offset,
} from "../../types/index.js";

/** Set that an engine has active. */
export type ActiveSet = NonNullable<EngineState["active"]>;

/** What the order system needs to know in one tick. */
export interface OrderInput {
    readonly assignment: CopyAssignment | undefined;
    readonly held: boolean;
    readonly setComplete: boolean;
    readonly chunksTotal: number;
    readonly requestsInProgress: number;
    /** Tells whether a set is one of the assigned deployment's. */
    readonly belongsToDeployment: (active: ActiveSet) => boolean;
    readonly newestEpoch: Offset;
}

/** Gives orders to the backend server, one at a time. */
export interface OrderSystem {
    /** Phase of the assigned copy after the last tick. */
    readonly phase: CopyPhase;
    /** Newest state that was read; undefined if it cannot be read. */
    readonly engine: EngineState | undefined;
    /** True if the last read of the backend server's state succeeded. */
    readonly reachable: boolean;
    /**
     * Reads the state if that is due and gives the next order. A tick does nothing while an earlier one is in progress.
     *
     * @param input - what has to be held
     */
    tick(input: OrderInput): Promise<void>;
}

/** Options of {@link createOrderSystem}. */
export interface OrderSystemOptions {
    readonly backend: BackendServerPort;
    readonly clock: Clock;
    readonly logger: Logger;
    readonly startedAt: Milliseconds;
    readonly orderTimeLimit: Milliseconds;
    /** Time between two reads of the state without an order. */
    readonly stateInterval: Milliseconds;
    readonly onDecision: (decision: ActivationDecision) => void;
}

/**
 * Creates the order system.
 *
 * @param options - backend server, time limits and what to do with decisions
 * @returns the system
 */
export function createOrderSystem(options: OrderSystemOptions): OrderSystem {
    const { backend, clock, logger } = options;
    let engine: EngineState | undefined;
    let engineReadAt: Milliseconds | undefined;
    let reachable = false;
    let phase: CopyPhase = "waiting";
    let busy = false;
    // An order whose answer was lost may still take effect until then.
    let quietUntil = Number.NEGATIVE_INFINITY;
    let lastToken: FencingToken = { epoch: 0, agentStart: clock.now().getTime(), sequence: 0 };

    async function readState(): Promise<void> {
        const startedAt = clock.monotonic();
        const state = await backend.readState();
        reachable = state.isOk;
        engine = state.isOk ? state.value : undefined;
        engineReadAt = state.isOk ? startedAt : undefined;
    }

    function plan(input: OrderInput): ActivationDecision {
        return planOrders({
            ...input,
            engine,
            engineReadAt,
            activeBelongs: engine?.active === undefined || input.belongsToDeployment(engine.active),
            startedAt: options.startedAt,
            orderTimeLimit: options.orderTimeLimit,
            lastToken,
            now: clock.monotonic(),
        });
    }

    async function carryOut(decision: ActivationDecision): Promise<void> {
        const { order } = decision;
        if (order === undefined) {
            return;
        }
        lastToken = order.token;
        const result = await backend.order(order);
        if (result.isErr) {
            logger.warn({ order: order.kind, error: result.error }, "order failed");
            if (result.error.mayHaveTakenEffect) {
                quietUntil = clock.monotonic() + options.orderTimeLimit;
            }
        }
        // Whatever the answer was, the state that the engine reports decides what comes next.
        await readState();
    }

    async function run(input: OrderInput): Promise<void> {
        if (clock.monotonic() < quietUntil) {
            return;
        }
        const isDue = engineReadAt === undefined || engineReadAt < quietUntil ||
            clock.monotonic() - engineReadAt >= options.stateInterval;
        if (isDue) {
            await readState();
        }
        const decision = plan(input);
        options.onDecision(decision);
        phase = decision.phase;
        await carryOut(decision);
        phase = plan(input).phase;
    }

    return {
        get phase() {
            return phase;
        },
        get engine() {
            return engine;
        },
        get reachable() {
            return reachable;
        },
        tick: async input => {
            if (busy) {
                return;
            }
            busy = true;
            try {
                await run(input);
            }
            finally {
                busy = false;
            }
        },
    };
}
