import type { Milliseconds } from "../../types/index.js";
import type { StandInServerOptions } from "../http/index.js";

/** Behaviour of the service stand-in. */
export interface ServiceBehaviour {
    /** Requests that run at the same time; further ones wait. Default: 32. */
    readonly capacity: number;
    /** Requests that may wait; further ones are refused. Default: 64. */
    readonly queueLimit: number;
    /** Time that a request takes. Default: 1 ms. */
    readonly workMilliseconds: Milliseconds;
    /** Text in a request's body that makes the service crash. Default: `crash-backend-server`. */
    readonly crashMarker: string;
    /** Time from a crash until the service listens again. Default: 200 ms. */
    readonly restartMilliseconds: Milliseconds;
}

/** Options of {@link startServiceStandIn}. */
export interface ServiceStandInOptions extends StandInServerOptions {
    /** Settings that differ from their defaults. */
    readonly behaviour?: Partial<ServiceBehaviour> | undefined;
}

/**
 * Fills in the defaults of the settings that are not given.
 *
 * @param partial - settings that differ from the defaults
 * @returns all settings
 */
export function resolveServiceBehaviour(partial: Partial<ServiceBehaviour> = {}): ServiceBehaviour {
    return {
        capacity: 32,
        queueLimit: 64,
        workMilliseconds: 1,
        crashMarker: "crash-backend-server",
        restartMilliseconds: 200,
        ...partial,
    };
}
