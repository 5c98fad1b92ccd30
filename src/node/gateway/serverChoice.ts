import {
    type BackendServerRow,
    computePlaceShare,
    nameWeights,
    type PlaceShare,
    type ServiceDemand,
    splitWeights,
} from "../../runtime/gateway/index.js";
import { type RoutingDecision, type RoutingOptions, selectRunner } from "../../runtime/routing/index.js";
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
    /** Backend servers that may be sent requests. */
    readonly usable: number;
    /** Backend servers that may not be sent requests now, by the first reason that holds. */
    readonly unusable: Readonly<Record<UnusableReason, number>>;
}

/** Why a backend server is sent no requests. */
export type UnusableReason = "draining" | "ejected" | "not-serving";

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
}

/** Time for which a draw of {@link computePlaceShare} holds; in it, gateways learn what the others have taken. */
const drawInterval: Milliseconds = 250;

function findUnusableReason(
    { runner: { draining, ejectedUntil, manifestDigest, phase } }: BackendServerRow,
    newest: string | undefined,
    accepted: ReadonlySet<string>,
    now: Milliseconds,
): UnusableReason | undefined {
    if (draining) {
        return "draining";
    }
    const holdsAccepted = manifestDigest === newest || (manifestDigest !== undefined && accepted.has(manifestDigest));
    if (phase !== "serving" || !holdsAccepted) {
        return "not-serving";
    }
    return ejectedUntil > now ? "ejected" : undefined;
}

/**
 * Creates the choice of backend servers.
 *
 * @param input - state, place and options
 * @returns the choice
 */
export function createServerChoice(input: ServerChoiceInput): ServerChoice {
    const { clock, options, state } = input;
    let draw = { value: input.random.next(), until: clock.monotonic() + drawInterval };

    function readDraw(now: Milliseconds): number {
        if (now >= draw.until) {
            draw = { value: input.random.next(), until: now + drawInterval };
        }
        return draw.value;
    }

    function listAccepted(service: ServiceRow): {
        readonly rows: readonly BackendServerRow[];
        readonly newest: string | undefined;
        readonly accepted: ReadonlySet<string>;
    } {
        const rows = state.listServers(service.name);
        if (service.engine === undefined) {
            return { rows, newest: undefined, accepted: new Set() };
        }
        const { model } = service.engine;
        const { accepted, newest } = listAcceptedWeights(model, state.readVersions(model), rows);
        // Engines without weights must not pass for plain services.
        return { rows, newest: newest ?? nameWeights(model, 0), accepted };
    }

    return {
        select: (service, excluded) => {
            const { accepted, newest, rows } = listAccepted(service);
            const decision = selectRunner({
                subset: { deployment: service.name, runners: rows.map(({ runner }) => runner) },
                zone: input.zone,
                region: input.region,
                manifestDigest: newest,
                acceptedDigests: accepted,
                prefix: undefined,
                excluded,
                now: clock.monotonic(),
                random: input.random,
                options,
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
            const { accepted, newest, rows } = listAccepted(service);
            const now = clock.monotonic();
            const usable: BackendServerRow[] = [];
            const unusable = { draining: 0, ejected: 0, "not-serving": 0 };
            for (const row of rows) {
                const reason = findUnusableReason(row, newest, accepted, now);
                if (reason === undefined) {
                    usable.push(row);
                }
                else {
                    unusable[reason]++;
                }
            }
            const share = computePlaceShare({
                runners: usable.map(({ reportedAt, runner }) => ({ runner, isFollowed: reportedAt !== undefined })),
                gateways: input.countGateways(),
                demand,
                draw: readDraw(now),
                now,
                options: { queuedPerServer: input.queuedPerServer, loadHalfLife: options.loadHalfLife },
            });
            return { ...share, usable: usable.length, unusable };
        },
    };
}
