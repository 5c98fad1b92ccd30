import type {
    CopyAssignment,
    CopyPhase,
    EngineOrder,
    EngineState,
    FencingToken,
    Milliseconds,
    Offset,
} from "../../types/index.js";

/** Input of `planOrders`. */
export interface ActivationInput {
    /** The copy that this instance has to hold; undefined if none. */
    readonly assignment: CopyAssignment | undefined;
    /** False if the hold has lapsed. */
    readonly held: boolean;
    /** Newest state that was read from the engine after the last order; undefined if it has to be read. */
    readonly engine: EngineState | undefined;
    /** Monotonic time at which the read of `engine` began; undefined if `engine` is. */
    readonly engineReadAt: Milliseconds | undefined;
    /** False if the engine has a set of another deployment active, as after a pause in which its copy was replaced. */
    readonly activeBelongs: boolean;
    /** True if every chunk of the assigned set is staged and verified by this agent process. */
    readonly setComplete: boolean;
    readonly chunksTotal: number;
    /** Requests in progress on the active set. */
    readonly requestsInProgress: number;
    /** Monotonic time at which the agent started. */
    readonly startedAt: Milliseconds;
    /** Time that an order may be on its way. */
    readonly orderTimeLimit: Milliseconds;
    /** Token of the last order that this agent process gave. */
    readonly lastToken: FencingToken;
    /** Offset of the newest placement record known, of any deployment. Orders carry it as their epoch. */
    readonly newestEpoch: Offset;
    readonly now: Milliseconds;
}

/** Result of `planOrders`. */
export interface ActivationDecision {
    readonly phase: CopyPhase;
    readonly order: EngineOrder | undefined;
    /** True if the agent has to read the engine's state before it gives an order. */
    readonly readState: boolean;
    readonly reason: string;
}
