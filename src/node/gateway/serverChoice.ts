import {
    type BackendServerRow,
    computePlaceShare,
    nameWeights,
    type PlaceShare,
    type ServiceDemand,
    splitWeights,
} from "../../runtime/gateway/index.js";
import {
    type CandidateInput,
    type Candidates,
    findCandidates,
    type RoutingDecision,
    type RoutingOptions,
    selectRunner,
} from "../../runtime/routing/index.js";
import type { AvailabilityZone, Clock, Milliseconds, RandomSource, Region, ServiceRow } from "../../types/index.js";
import { type GatewayState, listAcceptedWeights } from "./gatewayState.js";

/** Dependencies of {@link createServerChoice}. */
export interface ServerChoiceInput {
    readonly state: GatewayState;
    readonly zone: AvailabilityZone;
    readonly region: Region;
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly options: RoutingOptions;
    /** Gateways that share the backend servers, this one included. */
    readonly countGateways: () => number;
    readonly queuedPerServer: number;
}

/** Chosen backend server, with the decision for the log. */
export interface ServerSelection {
    readonly decision: RoutingDecision;
    /** Undefined if there is none. */
    readonly server: BackendServerRow | undefined;
    /** Version of the weights that must answer; undefined for plain services and before one was declared. */
    readonly version: number | undefined;
    /** Monotonic time by which the answer must have begun; undefined for the newest version and plain services. */
    readonly beginLimit: Milliseconds | undefined;
}

/** Places of a gateway at a service, and which backend servers they are at. */
export interface ServiceShare extends PlaceShare {
    /** Backend servers that requests may be sent to. */
    readonly usable: number;
    /** Backend servers that requests may not be sent to. */
    readonly leftOut: Candidates["leftOut"];
    /** Monotonic time at which the first paused backend server may be asked again; undefined if none is paused. */
    readonly resumesAt: Milliseconds | undefined;
}

/** Choice of the backend server of a request. */
export interface ServerChoice {
    /**
     * Chooses a backend server.
     *
     * @param service - service of the request
     * @param excluded - instances that the request has failed on
     * @returns the choice, or why there is none
     */
    select(service: ServiceRow, excluded: ReadonlySet<string>): ServerSelection;
    /**
     * Computes how many requests this gateway may have in progress at a service.
     *
     * @param service - the service
     * @param demand - how busy this gateway is with it
     * @returns places; none if no backend server can answer
     */
    readonly measureShare: (service: ServiceRow, demand: ServiceDemand) => ServiceShare;
    /**
     * Counts a request that is in progress at a backend server.
     *
     * @param service - service of the request
     * @param server - where it is in progress
     * @returns function to call once when it has ended
     */
    occupy(service: ServiceRow, server: BackendServerRow): () => void;
}

/** Time for which a draw of {@link computePlaceShare} holds; in it, gateways learn what the others have taken. */
const drawInterval: Milliseconds = 250;

/**
 * Creates the choice of backend servers.
 *
 * @param input - state, place and options
 * @returns the choice
 */
export function createServerChoice(input: ServerChoiceInput): ServerChoice {
    const { clock, options, state } = input;
    let draw = { value: input.random.next(), until: clock.monotonic() + drawInterval };

    /** Requests in progress by service. They may outlast the row of their backend server. */
    const inProgress = new Map<string, number>();

    function readDraw(now: Milliseconds): number {
        if (now >= draw.until) {
            draw = { value: input.random.next(), until: now + drawInterval };
        }
        return draw.value;
    }

    /** The same input decides how many requests may start and where they go. */
    function describeCandidates(service: ServiceRow, excluded: ReadonlySet<string>): CandidateInput {
        const rows = state.listServers(service.name);
        const subset = { deployment: service.name, runners: rows.map(({ runner }) => runner) };
        const common = { subset, excluded, now: clock.monotonic(), options };
        if (service.engine === undefined) {
            return { ...common, manifestDigest: undefined };
        }
        const { model } = service.engine;
        const { accepted, newest } = listAcceptedWeights(model, state.readVersions(model), rows);
        // Engines without weights must not pass for plain services.
        return { ...common, manifestDigest: newest ?? nameWeights(model, 0), acceptedDigests: accepted };
    }

    return {
        occupy: ({ name }, { runner }) => {
            runner.outstanding++;
            inProgress.set(name, (inProgress.get(name) ?? 0) + 1);
            return () => {
                runner.outstanding--;
                inProgress.set(name, inProgress.get(name)! - 1);
            };
        },
        select: (service, excluded) => {
            const decision = selectRunner({
                ...describeCandidates(service, excluded),
                zone: input.zone,
                region: input.region,
                prefix: undefined,
                random: input.random,
            });
            const server = decision.kind === "selected" ? state.servers.get(decision.runner.instance) : undefined;
            const digest = server?.runner.manifestDigest;
            const version = digest === undefined ? undefined : splitWeights(digest).version;
            const model = service.engine?.model;
            const beginLimit = model === undefined || version === undefined ?
                undefined :
                state.readBeginLimit(model, version);
            return { decision, server, version, beginLimit };
        },
        measureShare: (service, demand) => {
            const described = describeCandidates(service, new Set());
            const { now } = described;
            const { candidates, leftOut, resumesAt } = findCandidates(described);
            const here = candidates.reduce((sum, { outstanding }) => sum + outstanding, 0);
            const share = computePlaceShare({
                inProgressElsewhere: (inProgress.get(service.name) ?? 0) - here,
                runners: candidates.map(runner => ({
                    runner,
                    isFollowed: state.servers.get(runner.instance)?.reportedAt !== undefined,
                })),
                gateways: input.countGateways(),
                demand,
                draw: readDraw(now),
                now,
                options: { queuedPerServer: input.queuedPerServer, loadHalfLife: options.loadHalfLife },
            });
            return { ...share, usable: candidates.length, leftOut, resumesAt };
        },
    };
}
