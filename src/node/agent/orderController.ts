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

/** Active set of an engine. */
export type ActiveSet = NonNullable<EngineState["active"]>;

/** Input of one tick of an {@link OrderController}. */
export interface OrderInput {
    readonly assignment: CopyAssignment | undefined;
    readonly held: boolean;
    readonly setComplete: boolean;
    readonly chunksTotal: number;
    readonly requestsInProgress: number;
    /** Returns whether a set belongs to the assigned deployment. */
    readonly belongsToDeployment: (active: ActiveSet) => boolean;
    readonly newestEpoch: Offset;
}

/** Gives orders to the backend server, one at a time. */
export interface OrderController {
    /** Phase of the assigned copy after the last tick. */
    readonly phase: CopyPhase;
    /** Backend server's state at the last read; undefined if there was none or it failed. */
    readonly engine: EngineState | undefined;
    /** True if the last read of the backend server's state succeeded. */
    readonly reachable: boolean;
    /**
     * Reads the state if that is due and gives the next order. A tick does nothing while an earlier one is in progress.
     *
     * @param readInput - reads the assigned copy, the hold and the progress of the transfer; called after the state was
     * read, since the process may have stood still meanwhile
     */
    tick(readInput: () => OrderInput): Promise<void>;
}

/** Options of {@link createOrderController}. */
export interface OrderControllerOptions {
    readonly backend: BackendServerPort;
    readonly clock: Clock;
    readonly logger: Logger;
    readonly startedAt: Milliseconds;
    readonly orderTimeLimit: Milliseconds;
    /** Time between two reads of the state while no order is given. */
    readonly stateInterval: Milliseconds;
    readonly onDecision: (decision: ActivationDecision) => void;
}

/**
 * Creates the controller of the orders to a backend server.
 *
 * @param options - backend server, time limits and listener for decisions
 * @returns the controller
 */
export function createOrderController(options: OrderControllerOptions): OrderController {
    const { backend, clock, logger } = options;
    let engine: EngineState | undefined;
    let engineReadAt: Milliseconds | undefined;
    let reachable = false;
    let phase: CopyPhase = "waiting";
    let isTickRunning = false;
    // Until then, an order whose answer was lost may still take effect, so no other order is given.
    let noOrdersUntil = Number.NEGATIVE_INFINITY;
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
            activeBelongsToDeployment: engine?.active === undefined || input.belongsToDeployment(engine.active),
            startedAt: options.startedAt,
            orderTimeLimit: options.orderTimeLimit,
            lastToken,
            now: clock.monotonic(),
        });
    }

    async function giveOrder(decision: ActivationDecision): Promise<void> {
        const { order } = decision;
        if (order === undefined) {
            return;
        }
        lastToken = order.token;
        const result = await backend.order(order);
        if (result.isErr) {
            logger.warn({ order: order.kind, error: result.error }, "order failed");
            if (result.error.mayHaveTakenEffect) {
                noOrdersUntil = clock.monotonic() + options.orderTimeLimit;
            }
        }
        // The next decision depends on the state that the engine reports, whatever the answer was.
        await readState();
    }

    function isReadDue(): boolean {
        return engineReadAt === undefined || clock.monotonic() - engineReadAt >= options.stateInterval;
    }

    /** Reads the state while an order of unknown outcome may still take effect; requests depend on the active set. */
    async function observe(readInput: () => OrderInput): Promise<void> {
        if (isReadDue()) {
            await readState();
        }
        const next = plan(readInput()).phase;
        // The order may still load the copy.
        phase = next === "released" ? phase : next;
    }

    async function run(readInput: () => OrderInput): Promise<void> {
        if (clock.monotonic() < noOrdersUntil) {
            await observe(readInput);
            return;
        }
        if (isReadDue() || engineReadAt! < noOrdersUntil) {
            await readState();
        }
        const decision = plan(readInput());
        options.onDecision(decision);
        phase = decision.phase;
        await giveOrder(decision);
        phase = plan(readInput()).phase;
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
        tick: async readInput => {
            if (isTickRunning) {
                return;
            }
            isTickRunning = true;
            try {
                await run(readInput);
            }
            finally {
                isTickRunning = false;
            }
        },
    };
}
