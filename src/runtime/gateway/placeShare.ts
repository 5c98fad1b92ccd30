import type { Milliseconds } from "../../types/index.js";
import type { RunnerRow } from "../routing/index.js";
import type { ServiceDemand } from "./demand.js";

/** Options of the share of the free places that a gateway takes. */
export interface PlaceShareOptions {
    /**
     * Requests beyond its slots that a backend server is given. More keep its slots busy between two reports; fewer
     * keep the wait in the gateway, where a request can still go to another server. May be negative.
     */
    readonly queuedPerServer: number;
    /** Time in which the weight of a stated load halves; a server without answers must not look full for good. */
    readonly loadHalfLife: Milliseconds;
}

/** Backend server with the source of its load. */
export interface SharedRunner {
    readonly runner: RunnerRow;
    /** True if its agent reports each change; the load that an answer stated grows old without a word. */
    readonly isFollowed: boolean;
}

/** Input of {@link computePlaceShare}. */
export interface PlaceShareInput {
    /** Backend servers that may take requests. */
    readonly runners: readonly SharedRunner[];
    /** Requests that this gateway has in progress at other backend servers of the service, such as those that leave. Default: 0. */
    readonly elsewhere?: number | undefined;
    /** Gateways that share the free places, this one included. */
    readonly gateways: number;
    /** How busy this gateway is with the service. */
    readonly demand: ServiceDemand;
    /** Number from 0 to 1, drawn anew now and then, that decides whether a gateway gets a place for a fraction of one. */
    readonly draw: number;
    readonly now: Milliseconds;
    readonly options: PlaceShareOptions;
}

/** Places of a gateway at a service, with what they follow from. */
export interface PlaceShare {
    /** Requests that the gateway may have in progress; at least 0. */
    readonly places: number;
    /** Requests that it has in progress at the backend servers that may take further ones. */
    readonly own: number;
    /** Places that no gateway has taken, as far as is known; a fraction, since the weight of a load falls with its age. */
    readonly free: number;
    /** Gateways that the service is open to, this one included. */
    readonly gateways: number;
    /** Gateways that are expected to want a place at the same time, this one included; at least 1. */
    readonly contenders: number;
}

/**
 * Computes how many gateways are expected to want the same free place. Two requests contend for a place if the second one
 * comes before the backend server has another place free. The other gateways are taken to be as busy as this one.
 */
function countContenders({ demand, gateways, runners }: PlaceShareInput): number {
    const slots = runners.reduce((sum, { runner }) => sum + runner.capacity, 0) / Math.max(1, runners.length);
    const contending = demand.arrivalRate * demand.serviceTime / Math.max(1, slots);
    return 1 + Math.max(0, gateways - 1) * Math.min(1, contending);
}

/**
 * Computes how many requests a gateway may have in progress at a service: those that it has, and its share of the places
 * that no gateway has taken. Only gateways that are expected to want a place at the same time share them, since a service
 * may have fewer places than there are gateways. Requests at backend servers that take no further ones need no place at
 * the others. The share is rounded down: rounded up everywhere, the last free places
 * would be given away several times, and their requests would wait at the backend server. A gateway that has nothing in
 * progress gets a place for a fraction of one by chance, else none would ever get the last places.
 *
 * @param input - backend servers, gateways and demand
 * @returns the places, with what they follow from
 */
export function computePlaceShare(input: PlaceShareInput): PlaceShare {
    const { draw, elsewhere = 0, gateways, now, options, runners } = input;
    let own = 0;
    let free = 0;
    for (const { isFollowed, runner } of runners) {
        const { capacity, outstanding, reportedAt, reportedLoad, trial } = runner;
        const weight = isFollowed ? 1 : 2 ** (-Math.max(0, now - reportedAt) / options.loadHalfLife);
        own += outstanding;
        const open = trial === "none" ? capacity + options.queuedPerServer - reportedLoad * weight : 1;
        free += Math.max(0, open - outstanding);
    }
    const contenders = countContenders(input);
    const share = free / contenders;
    const whole = own + Math.floor(share);
    const places = whole === 0 && draw < share ? 1 : whole;
    return { places: places + elsewhere, own, free, gateways, contenders };
}
