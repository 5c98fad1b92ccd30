import {
    type AllowedRegions,
    intersectAllowedRegions,
    resolveRoute,
    type RouteTable,
} from "../../../runtime/gateway/index.js";
import type { GatewayRequest } from "../types.js";

/** Regions in which requests may be served by the configuration that is in force. */
export interface RegionLimits {
    /**
     * Finds the allowed regions of a request. A configuration that came into force after its arrival applies, unless it
     * no longer has its route or API key.
     *
     * @param request - the request
     * @returns the regions; the same set for all requests of a route and account while a configuration is in force
     */
    readonly find: (
        request: Pick<GatewayRequest, "account" | "call" | "headers" | "path" | "route">,
    ) => AllowedRegions;
}

/** Regions by account within a route, which can be compared by identity. */
type RegionCache = Map<object, Map<object | undefined, AllowedRegions>>;

/** Regions of a request, which are read several times while it is served. */
type RequestRegions = WeakMap<object, { readonly allowed: AllowedRegions; }>;

/**
 * Creates the limits on regions.
 *
 * @param readRoutes - reads the configuration in force; undefined if there is none
 * @returns the limits
 */
export function createRegionLimits(readRoutes: () => RouteTable | undefined): RegionLimits {
    let resolvedWith: RouteTable | undefined;
    let cache: RegionCache = new Map();
    let byRequest: RequestRegions = new WeakMap();

    return {
        find: request => {
            const routes = readRoutes();
            if (routes !== resolvedWith) {
                resolvedWith = routes;
                cache = new Map();
                byRequest = new WeakMap();
            }
            const known = byRequest.get(request);
            if (known !== undefined) {
                return known.allowed;
            }
            const { account: arrivedAccount, call, headers, path, route: arrivedRoute } = request;
            const resolution = routes && resolveRoute(routes, { host: headers["host"], path, apiKey: call.apiKey });
            const { account, route } = resolution?.kind === "found" ?
                resolution :
                { account: arrivedAccount, route: arrivedRoute };
            const byAccount = cache.get(route) ?? new Map<object | undefined, AllowedRegions>();
            cache.set(route, byAccount);
            if (!byAccount.has(account)) {
                byAccount.set(account, intersectAllowedRegions([route, account]));
            }
            const allowed = byAccount.get(account);
            byRequest.set(request, { allowed });
            return allowed;
        },
    };
}
