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
    /** Copy that is assigned to this instance; undefined if there is none. */
    readonly assignment: CopyAssignment | undefined;
    /** False if the hold of this instance on the copy, which works like a lease, has lapsed. */
    readonly held: boolean;
    /** Newest state of the engine that was read after the last order; undefined if it has to be read. */
    readonly engine: EngineState | undefined;
    /** Monotonic time at which the read of `engine` began; undefined if `engine` is undefined. */
    readonly engineReadAt: Milliseconds | undefined;
    /**
     * False if the active weight set of the engine belongs to another deployment, as after a pause of the process in
     * which its copy was replaced.
     */
    readonly activeBelongsToDeployment: boolean;
    /** True if this agent process has verified and staged every chunk of the assigned weight set. */
    readonly setComplete: boolean;
    /** Number of chunks of the assigned weight set; 0 until its manifest is read. */
    readonly chunksTotal: number;
    /** Requests in progress on the active weight set. */
    readonly requestsInProgress: number;
    /** Monotonic time at which the agent process started. */
    readonly startedAt: Milliseconds;
    /** Longest time that an order may be in transit. */
    readonly orderTimeLimit: Milliseconds;
    /** Token of the last order that this agent process gave. */
    readonly lastToken: FencingToken;
    /** Offset of the newest known placement record of any deployment; orders carry it as their epoch. */
    readonly newestEpoch: Offset;
    readonly now: Milliseconds;
}

/** Result of `planOrders`. */
export interface ActivationDecision {
    readonly phase: CopyPhase;
    readonly order: EngineOrder | undefined;
    /** True if the agent has to read the engine's state again before it can give an order. */
    readonly readState: boolean;
    readonly reason: string;
}
