import { createSystemClock } from "../../utils/index.js";
import {
    createJsonResponse,
    type StandInServer,
    type StandInServerOptions,
    startStandInServer,
} from "../http/index.js";
import { createInstanceRoutes } from "./instanceRoutes.js";
import { createInstanceStore, type InstanceStore, type InstanceStoreOptions } from "./instanceStore.js";
import { createLink, type Link } from "./link.js";
import { createLogRoutes } from "./logRoutes.js";
import { createLogStore, type LogStore, type LogStoreOptions } from "./logStore.js";
import {
    createWeightCatalogue,
    createWeightRoutes,
    type GeneratedSizes,
    type WeightCatalogue,
} from "./weightRoutes.js";
import type { WeightSetDeclaration } from "./weightSets.js";

/** Options of {@link startPlatformStandIn}. */
export interface PlatformStandInOptions extends StandInServerOptions {
    readonly log?: LogStoreOptions | undefined;
    readonly instances?: InstanceStoreOptions | undefined;
    /** Weight sets that are published at the start. Default: none. */
    readonly weightSets?: readonly WeightSetDeclaration[] | undefined;
    /** Sizes of the sets that are generated when a name that was not published is resolved. Default: none are generated. */
    readonly generatedWeightSets?: GeneratedSizes | undefined;
    /** Rate of the origin's network link. Default: no limit. */
    readonly originBytesPerSecond?: number | undefined;
    /** Rate limit of the weight store. Default: 200 manifests per second. */
    readonly manifestReadsPerSecond?: number | undefined;
}

/** Running stand-in for the platform. */
export interface PlatformStandIn extends StandInServer {
    readonly log: LogStore;
    readonly instances: InstanceStore;
    readonly weights: WeightCatalogue;
    /** Network link of the origin; `sentBytes` counts the bytes that were read from the origin. */
    readonly originLink: Link;
}

/**
 * Starts the stand-in for the platform: log, instance list, weight store and origin at one address.
 * `GET /control/statistics` returns `{ originBytes, logHead }`.
 *
 * @param options - address, limits, weight sets and faults
 * @returns the stand-in once it listens; rejects if the address cannot be bound
 */
export async function startPlatformStandIn(options: PlatformStandInOptions = {}): Promise<PlatformStandIn> {
    const clock = options.clock ?? createSystemClock();
    const log = createLogStore(clock, options.log);
    const instances = createInstanceStore(clock, options.instances);
    const weights = createWeightCatalogue(options.generatedWeightSets);
    const originLink = createLink(clock, options.originBytesPerSecond ?? Infinity);
    options.weightSets?.forEach(declaration => weights.publish(declaration));
    const server = await startStandInServer(options, () => [
        ...createLogRoutes(log),
        ...createInstanceRoutes(instances),
        ...createWeightRoutes(weights, originLink, clock, options.manifestReadsPerSecond ?? 200),
        {
            operation: "control",
            method: "GET",
            path: "/control/statistics",
            handle: () =>
                createJsonResponse(200, { originBytes: originLink.sentBytes, logHead: log.read(0, 0).headOffset }),
        },
    ]);
    return { ...server, log, instances, weights, originLink };
}
