import type { Logger } from "pino";
import type { Milliseconds } from "../../../types/index.js";
import type { RecordStore, StallMonitor } from "../../replica/index.js";
import type { GatewaySettings } from "../../settings/index.js";
import type { GatewayPorts } from "../gatewayDaemon.js";
import { createEvacuations, type Evacuations } from "./evacuations.js";
import { createGatewayList, type GatewayList } from "./gatewayList.js";
import { createGatewayState, type GatewayState } from "./gatewayState.js";
import { createRateLimits, type RateLimits } from "./rateLimits.js";
import { createServerNotices, type ServerNotices } from "./serverNotices.js";
import { createSlowStarts, type SlowStarts } from "./slowStarts.js";

/** Dependencies of {@link createMembership}. */
export interface MembershipInput {
    readonly settings: GatewaySettings;
    readonly ports: GatewayPorts;
    readonly store: RecordStore;
    readonly stalls: StallMonitor;
    readonly logger: Logger;
    /** Monotonic time at which the gateway started. */
    readonly startedAt: Milliseconds;
}

/** What a gateway knows of the configuration, the backend servers and the other gateways. */
export interface Membership {
    readonly evacuations: Evacuations;
    readonly gateways: GatewayList;
    readonly notices: ServerNotices;
    readonly rateLimits: RateLimits;
    readonly slowStarts: SlowStarts;
    readonly state: GatewayState;
}

/**
 * Creates the state of a gateway from the records of its store.
 *
 * @param input - settings, external systems and records
 * @returns the state, empty
 */
export function createMembership(input: MembershipInput): Membership {
    const { logger, ports, settings, stalls, store } = input;
    const { clock, random } = ports;
    const { gateway, instance } = settings;
    const notices = createServerNotices({
        clock,
        logger,
        memory: gateway.noticeMemory,
        maximumPause: gateway.maximumPause,
    });
    const gateways = createGatewayList(store, settings, clock, ports.readSeeds ?? (() => gateway.seeds));
    const rateLimits = createRateLimits({
        self: instance.id,
        listGateways: gateways.listIdentifiers,
        clock,
        random,
        logger,
        settleTime: gateway.settleTime,
        memory: gateway.noticeMemory,
    });
    const regions = new Map(gateway.zoneRegions.map(text => text.split(":") as [string, string]));
    const evacuations = createEvacuations({
        decoder: ports.decoder,
        clock,
        logger,
        knownZones: new Set(regions.keys()),
    });
    const slowStarts = createSlowStarts({
        self: instance.id,
        listGateways: gateways.listIdentifiers,
        listAddresses: gateways.listAddresses,
        areGatewaysKnown: () => store.topic("instances").currentAt !== undefined,
        readSlowStart: service => state.routes()?.services.get(service)?.slowStart,
        readLiftedAt: evacuations.readLiftedAt,
        clock,
        random,
        logger,
        confirmWithin: gateway.returnTime,
        gatewaysWithin: gateway.settleTime,
    });
    const state: GatewayState = createGatewayState({
        store,
        decoder: ports.decoder,
        clock,
        stalls,
        logger,
        regions,
        membership: gateway,
        versions: gateway,
        startedAt: input.startedAt - (ports.readProcessAge?.() ?? 0),
        notices,
        evacuations,
        slowStarts,
        rateLimits,
    });
    return { evacuations, gateways, notices, rateLimits, slowStarts, state };
}
