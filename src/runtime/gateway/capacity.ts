import type { Milliseconds } from "../../types/index.js";
import type { RunnerRow } from "../routing/index.js";

/** Options of the share of the free places that a gateway takes. */
export interface CapacityOptions {
    /**
     * Requests beyond its slots that a backend server is given. More keep its slots busy between two reports; fewer
     * keep the wait in the gateway, where a request can still go to another server. May be negative.
     */
    readonly queuedPerServer: number;
    /** Time in which the weight of a stated load halves; a server without answers must not look full for good. */
    readonly loadHalfLife: Milliseconds;
}

/** Backend server with the source of its load. */
export interface CapacityRunner {
    readonly runner: RunnerRow;
    /** True if its agent reports each change; the load that an answer stated grows old without a word. */
    readonly isFollowed: boolean;
}

/** Input of {@link computePlaceShare}. */
export interface CapacityInput {
    /** Backend servers that may take requests. */
    readonly runners: readonly CapacityRunner[];
    /** Gateways that share the free places, this one included. */
    readonly gateways: number;
    readonly now: Milliseconds;
    readonly options: CapacityOptions;
}

/** Places of a gateway at a service, with what they follow from. */
export interface PlaceShare {
    /** Requests that the gateway may have in progress; at least 0. */
    readonly places: number;
    /** Requests that it has in progress at the backend servers. */
    readonly own: number;
    /** Places that no gateway has taken, as far as is known; a fraction, since the weight of a load falls with its age. */
    readonly free: number;
    /** Gateways that share the free places, this one included. */
    readonly gateways: number;
}

/**
 * Computes how many requests a gateway may have in progress at a service: those that it has, and its share of the places
 * that no gateway has taken. The share is rounded down: rounded up everywhere, the last free places would be given away
 * several times, and their requests would wait at the backend server.
 *
 * @param input - backend servers and number of gateways
 * @returns the places, with what they follow from
 */
export function computePlaceShare({ gateways, now, options, runners }: CapacityInput): PlaceShare {
    let own = 0;
    let free = 0;
    for (const { isFollowed, runner } of runners) {
        const { capacity, outstanding, reportedAt, reportedLoad } = runner;
        const weight = isFollowed ? 1 : 2 ** (-Math.max(0, now - reportedAt) / options.loadHalfLife);
        own += outstanding;
        free += Math.max(0, capacity + options.queuedPerServer - outstanding - reportedLoad * weight);
    }
    return { places: own + Math.floor(free / Math.max(1, gateways)), own, free, gateways };
}
