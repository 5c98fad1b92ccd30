import type { Milliseconds } from "../../types/index.js";
import type { RunnerRow } from "../routing/index.js";
import type { ServiceDemand } from "./demand.js";

/**
 * Options of the share of the free places that a gateway takes. A place allows one request to be in progress at a
 * service.
 */
export interface PlaceShareOptions {
    /**
     * Requests that a backend server is given beyond its slots. A higher number keeps its slots busy between two
     * reports; a lower one makes requests wait in the gateway, from where they can still go to another server. May be
     * negative.
     */
    readonly queuedPerServer: number;
    /** Time in which the weight of a load from an answer halves; a server that stops answering must not stay full. */
    readonly loadHalfLife: Milliseconds;
}

/** Backend server with the source of its load. */
export interface SharedRunner {
    readonly runner: RunnerRow;
    /** True if its agent reports each change of the load; a load stated in an answer goes stale unnoticed. */
    readonly isFollowed: boolean;
    /** Connections that this process may open to it, each of which carries one request. Default: no limit. */
    readonly connections?: number | undefined;
}

/** Input of {@link computePlaceShare}. */
export interface PlaceShareInput {
    /** Backend servers that may take requests. */
    readonly runners: readonly SharedRunner[];
    /**
     * Requests that this gateway has in progress at other backend servers of the service, such as draining ones, less
     * the further attempts at requests, which share the place of the first one. Default: 0.
     */
    readonly inProgressElsewhere?: number | undefined;
    /** Gateways that share the free places, this one included. */
    readonly gateways: number;
    /** Demand for the service at this gateway. */
    readonly demand: ServiceDemand;
    /** Random number from 0 to 1, drawn at intervals, that decides whether a fraction of a place counts as one. */
    readonly draw: number;
    readonly now: Milliseconds;
    readonly options: PlaceShareOptions;
}

/** Places of a gateway at a service, with the values that they were computed from. */
export interface PlaceShare {
    /** Requests that the gateway may have in progress; at least 0. */
    readonly places: number;
    /** Requests that it has in progress at the backend servers that may take further ones. */
    readonly own: number;
    /** Places that no gateway is known to have taken; a fraction, since the weight of a load decays with its age. */
    readonly free: number;
    /** Gateways that share the service, this one included. */
    readonly gateways: number;
    /** Gateways expected to compete for the same place, this one included; at least 1. */
    readonly contenders: number;
}

/**
 * Computes how many gateways are expected to compete for the same free place. Two requests compete if the second one
 * arrives before the backend server has another place free. The other gateways are assumed to be as busy as this one.
 */
function countContenders({ demand, gateways, runners }: PlaceShareInput): number {
    const slots = runners.reduce((sum, { runner }) => sum + runner.capacity, 0) / Math.max(1, runners.length);
    const contending = demand.arrivalRate * demand.serviceTime / Math.max(1, slots);
    return 1 + Math.max(0, gateways - 1) * Math.min(1, contending);
}

/**
 * Computes how many requests a gateway may have in progress at a service: its current ones plus its share of the places
 * that no gateway has taken. Only gateways expected to compete for a place share it, since a service may have fewer
 * places than there are gateways. Requests at backend servers that accept no further ones need no place at the others.
 *
 * The share is rounded down: if every gateway rounded up, the last free places would be given away several times, and
 * their requests would queue at the backend server. A gateway with no requests in progress gets a whole place with the
 * probability of its fraction, since otherwise no gateway would ever get the last places.
 *
 * A place at a backend server also takes a free connection, which this gateway shares with no other.
 *
 * A candidate with a rate limit, or a cold one, adds one whole place: its limit is divided among the gateways already, and leaves this
 * one a single request before the next pause.
 *
 * @param input - backend servers, gateways and demand
 * @returns the places, with the values that they were computed from
 */
export function computePlaceShare(input: PlaceShareInput): PlaceShare {
    const { draw, inProgressElsewhere = 0, gateways, now, options, runners } = input;
    let own = 0;
    let free = 0;
    let paced = 0;
    let connectable = 0;
    for (const { connections = Infinity, isFollowed, runner } of runners) {
        const { capacity, outstanding, pace, reportedAt, reportedLoad, slowStart, trial } = runner;
        const weight = isFollowed ? 1 : 2 ** (-Math.max(0, now - reportedAt) / options.loadHalfLife);
        own += outstanding;
        const available = trial === "none" ? capacity + options.queuedPerServer - reportedLoad * weight : 1;
        const freeConnections = Math.max(0, connections - outstanding);
        const freeAtRunner = freeConnections === 0 ? 0 : Math.max(0, available - outstanding);
        if (pace === undefined && slowStart === undefined) {
            free += freeAtRunner;
            connectable += Math.min(freeConnections, freeAtRunner);
        }
        else {
            paced += Math.min(1, Math.ceil(freeAtRunner));
        }
    }
    const contenders = countContenders(input);
    const share = free / contenders;
    const wholePlaces = own + Math.floor(Math.min(share, connectable)) + paced;
    const places = wholePlaces === 0 && draw < share ? 1 : wholePlaces;
    return { places: places + inProgressElsewhere, own, free: free + paced, gateways, contenders };
}
