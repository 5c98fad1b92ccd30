import type { RequestCost } from "../../../runtime/cost/index.js";
import {
    type AllowedRegions,
    type BackendServerRow,
    computePlaceShare,
    formatWeightName,
    mayBeginLate,
    parseWeightName,
    type PlaceShare,
    type ServiceDemand,
} from "../../../runtime/gateway/index.js";
import {
    type CandidateInput,
    type Candidates,
    type ExplainedRunner,
    explainIneligible,
    explainSelection,
    findCandidates,
    findIneligibility,
    type IneligibleReason,
    type RoutingDecision,
    type RoutingInput,
    type RoutingOptions,
    type RunnerSubset,
    selectRunner,
} from "../../../runtime/routing/index.js";
import type {
    AvailabilityZone,
    Clock,
    ListedBackendServer,
    Milliseconds,
    RandomSource,
    Region,
    ServiceRow,
} from "../../../types/index.js";
import { type GatewayState, listAcceptedWeights } from "../membership/gatewayState.js";

/** Dependencies of {@link createServerSelector}. */
export interface ServerSelectorInput {
    readonly state: GatewayState;
    readonly zone: AvailabilityZone;
    readonly region: Region;
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly options: RoutingOptions;
    /** Tells whether nothing may be sent to a zone. */
    readonly isEvacuated: (zone: AvailabilityZone) => boolean;
    /** Counts the gateways that share the backend servers, this one included. */
    readonly countGateways: () => number;
    readonly queuedPerServer: number;
    /** Reads how many connections this process may open to each backend server of a service; undefined if not known. */
    readonly readConnections: (listed: Pick<ListedBackendServer, "service">) => number | undefined;
}

/** Chosen backend server, with the decision for the log. */
export interface ServerSelection {
    readonly decision: RoutingDecision;
    /** Undefined if there is none. */
    readonly server: BackendServerRow | undefined;
    /** Version of the weights at the chosen backend server; undefined for plain services and if none was chosen. */
    readonly version: number | undefined;
    /** Monotonic time by which the head must have arrived; undefined for the newest version and plain services. */
    readonly headDeadline: Milliseconds | undefined;
    /** Cost of the request; undefined if it was not known. */
    readonly cost?: RequestCost | undefined;
}

/** Places of a gateway at a service, with the state of its backend servers. */
export interface ServiceShare extends PlaceShare {
    /** Number of backend servers that may receive requests. */
    readonly usable: number;
    /** Number of backend servers that may not receive requests, by the first reason that applies. */
    readonly leftOut: Candidates["leftOut"];
    /** Monotonic time at which the first pause of a backend server ends; undefined if none is paused. */
    readonly resumesAt: Milliseconds | undefined;
}

/** Why a request that was assigned to a backend server is not sent to it; `unlisted` if its entry is gone from the list. */
export type WithholdingReason = IneligibleReason | "draining" | "unlisted";

/** Selects the backend server for each attempt at a request. */
export interface ServerSelector {
    /**
     * Selects a backend server.
     *
     * @param service - service of the request
     * @param excluded - instances at which the request has failed
     * @param allowedRegions - regions in which the request may be served
     * @param cost - expected cost of the request; undefined if it is not known
     * @returns the selection, with the reason if there is none
     */
    select(
        service: ServiceRow,
        excluded: ReadonlySet<string>,
        allowedRegions: AllowedRegions,
        cost?: RequestCost,
    ): ServerSelection;
    /**
     * Explains where a request would be sent now, without any effect on later requests.
     *
     * @param service - service of the request
     * @param allowedRegions - regions in which the request may be served
     * @param cost - expected cost of the request; undefined if it is not known
     * @returns all backend servers of the service, candidates with the lowest score first
     */
    readonly explain: (
        service: ServiceRow,
        allowedRegions: AllowedRegions,
        cost: RequestCost | undefined,
    ) => readonly ExplainedRunner[];
    /**
     * Explains why no backend server of a service may get a request, whatever the state of the backend servers.
     *
     * @param service - service of the request
     * @param allowedRegions - regions in which the request may be served
     * @returns the reason; undefined if one may get it, or if none is listed
     */
    readonly explainIneligible: (
        service: ServiceRow,
        allowedRegions: AllowedRegions,
    ) => IneligibleReason | undefined;
    /**
     * Explains why a request that was assigned to a backend server earlier may no longer be sent to it.
     *
     * @param server - the backend server
     * @param allowedRegions - regions in which the request may be served
     * @returns the reason; undefined if it may get the request
     */
    findWithholding(server: BackendServerRow, allowedRegions: AllowedRegions): WithholdingReason | undefined;
    /**
     * Computes how many requests this gateway may have in progress at a service.
     *
     * @param service - the service
     * @param demand - demand for the service at this gateway
     * @param allowedRegions - counts the backend servers in these regions only. Default: all.
     * @returns the share, without free places if no backend server can answer
     */
    readonly computeServiceShare: (
        service: ServiceRow,
        demand: ServiceDemand,
        allowedRegions?: AllowedRegions,
    ) => ServiceShare;
    /**
     * Counts a request that is in progress. It has one place at the service, also while it has several attempts.
     *
     * @param service - service of the request
     * @returns function to call once when the request has ended
     */
    trackRequest(service: ServiceRow): () => void;
    /**
     * Counts an attempt that is in progress at a backend server.
     *
     * @param server - backend server of the attempt
     * @returns function to call once when the attempt has ended
     */
    trackAttempt(server: BackendServerRow): () => void;
}

/**
 * Longest time for which an admitted request waits until a cold backend server accepts it; half of the shortest target
 * latency that callers of streams have.
 */
const longestSlowStartWait: Milliseconds = 200;

/** Time between random draws for {@link computePlaceShare}; meanwhile, reports show which places others have taken. */
const placeDrawInterval: Milliseconds = 250;

/**
 * Creates the selector of backend servers.
 *
 * @param input - state, location of this gateway and options
 * @returns the selector
 */
export function createServerSelector(input: ServerSelectorInput): ServerSelector {
    const { clock, isEvacuated, options, state } = input;
    let draw = { value: input.random.next(), until: clock.monotonic() + placeDrawInterval };

    /** Requests in progress by service, including those whose backend server is no longer in the table. */
    const inProgress = new Map<string, number>();

    function readDraw(now: Milliseconds): number {
        if (now >= draw.until) {
            draw = { value: input.random.next(), until: now + placeDrawInterval };
        }
        return draw.value;
    }

    /** Subsets by the rows of a service, whose list stays the same until one of them is added, replaced or removed. */
    const subsets = new WeakMap<readonly BackendServerRow[], RunnerSubset>();

    function findOrCreateSubset({ name }: ServiceRow, rows: readonly BackendServerRow[]): RunnerSubset {
        const known = subsets.get(rows);
        if (known !== undefined) {
            return known;
        }
        const subset = { deployment: name, runners: rows.map(({ runner }) => runner) };
        subsets.set(rows, subset);
        return subset;
    }

    /** Creates the input that decides both how many requests may start and where they are sent. */
    function createCandidateInput(
        service: ServiceRow,
        excluded: ReadonlySet<string>,
        allowedRegions: AllowedRegions,
    ): CandidateInput {
        const rows = state.listServers(service.name);
        const subset = findOrCreateSubset(service, rows);
        const common = { subset, excluded, allowedRegions, isEvacuated, now: clock.monotonic(), options };
        if (service.engine === undefined) {
            return { ...common, manifestDigest: undefined };
        }
        const { model } = service.engine;
        const { accepted, newest } = listAcceptedWeights(model, state.readVersions(model), rows);
        return {
            ...common,
            excluded: excludeLate(model, rows.filter(({ runner }) => runner.manifestDigest !== newest), common),
            // Version 0 stands for no declared version, since undefined would mean a plain service.
            manifestDigest: newest ?? formatWeightName(model, 0),
            acceptedDigests: accepted,
        };
    }

    /** Reads the monotonic time by which the head of an answer must arrive; undefined for the newest version. */
    function readHeadDeadline(model: string, { runner }: BackendServerRow): Milliseconds | undefined {
        const { manifestDigest } = runner;
        return manifestDigest === undefined ?
            undefined :
            state.computeHeadDeadline(model, parseWeightName(manifestDigest).version);
    }

    /** Excludes backend servers with an older version at which an answer could begin only after the deadline for it. */
    function excludeLate(
        model: string,
        outdated: readonly BackendServerRow[],
        { excluded, now }: Pick<CandidateInput, "excluded" | "now">,
    ): ReadonlySet<string> {
        const late = outdated.filter(row => {
            const deadline = readHeadDeadline(model, row);
            return deadline !== undefined && mayBeginLate(row.answerDelay, deadline, now);
        });
        return late.length === 0 ? excluded : new Set([...excluded, ...late.map(({ listed }) => listed.instance)]);
    }

    /** Lists the backend servers at which a further request would wait for a connection. */
    function listFullyConnected(service: ServiceRow): readonly string[] {
        const connections = input.readConnections({ service: service.name }) ?? Infinity;
        return state.listServers(service.name)
            .filter(({ runner }) => runner.outstanding >= connections)
            .map(({ listed }) => listed.instance);
    }

    function createRoutingInput(
        service: ServiceRow,
        excluded: ReadonlySet<string>,
        allowedRegions: AllowedRegions,
        cost: RequestCost | undefined,
    ): RoutingInput {
        return {
            ...createCandidateInput(service, excluded, allowedRegions),
            zone: input.zone,
            region: input.region,
            prefix: undefined,
            random: input.random,
            cost,
        };
    }

    return {
        trackRequest: ({ name }) => {
            inProgress.set(name, (inProgress.get(name) ?? 0) + 1);
            return () => {
                inProgress.set(name, inProgress.get(name)! - 1);
            };
        },
        trackAttempt: ({ runner }) => {
            runner.outstanding++;
            return () => {
                runner.outstanding--;
            };
        },
        explainIneligible: (service, allowedRegions) =>
            explainIneligible({
                subset: findOrCreateSubset(service, state.listServers(service.name)),
                allowedRegions,
                isEvacuated,
            }),
        findWithholding: ({ listed }, allowedRegions) => {
            const current = state.servers.get(listed.instance);
            if (current?.listed.address !== listed.address) {
                return "unlisted";
            }
            return findIneligibility(current.runner, { allowedRegions, isEvacuated }) ??
                (current.runner.draining ? "draining" : undefined);
        },
        explain: (service, allowedRegions, cost) =>
            explainSelection(createRoutingInput(service, new Set(listFullyConnected(service)), allowedRegions, cost)),
        select: (service, excluded, allowedRegions, cost) => {
            const full = listFullyConnected(service);
            const decide = (left: ReadonlySet<string>): RoutingDecision =>
                selectRunner(createRoutingInput(service, left, allowedRegions, cost));
            const connectable = decide(full.length === 0 ? excluded : new Set([...excluded, ...full]));
            const decision = connectable.kind === "selected" || full.length === 0 ?
                connectable :
                decide(excluded);
            const server = decision.kind === "selected" ? state.servers.get(decision.runner.instance) : undefined;
            const digest = server?.runner.manifestDigest;
            const version = digest === undefined ? undefined : parseWeightName(digest).version;
            const model = service.engine?.model;
            const headDeadline = model === undefined || server === undefined ?
                undefined :
                readHeadDeadline(model, server);
            return { decision, server, version, headDeadline, cost };
        },
        computeServiceShare: (service, demand, allowedRegions) => {
            const described = {
                ...createCandidateInput(service, new Set(), allowedRegions),
                slowStartAhead: longestSlowStartWait,
            };
            const { now } = described;
            const { candidates, leftOut, resumesAt } = findCandidates(described);
            const attemptsAtCandidates = candidates.reduce((sum, { outstanding }) => sum + outstanding, 0);
            const connections = input.readConnections({ service: service.name });
            const share = computePlaceShare({
                inProgressElsewhere: (inProgress.get(service.name) ?? 0) - attemptsAtCandidates,
                runners: candidates.map(runner => ({
                    runner,
                    isFollowed: state.servers.get(runner.instance)?.reportedAt !== undefined,
                    connections,
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
