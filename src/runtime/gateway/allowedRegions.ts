import type { AccountRow, GatewayConfiguration, Region, RouteRow } from "../../types/index.js";

/** Regions in which a request may be served; undefined for any, empty if no region satisfies all limits. */
export type AllowedRegions = ReadonlySet<Region> | undefined;

type RegionLimit = Pick<RouteRow | AccountRow, "allowedRegions">;

/**
 * Intersects the limits that apply to a request together.
 *
 * @param limits - route and client account; undefined for a request without an account
 * @returns the regions that satisfy all limits
 */
export function intersectAllowedRegions(limits: readonly (RegionLimit | undefined)[]): AllowedRegions {
    let allowed: AllowedRegions;
    for (const limit of limits) {
        const regions = limit?.allowedRegions ?? [];
        if (regions.length > 0) {
            const previous = allowed;
            allowed = new Set(regions.filter(region => previous?.has(region) !== false));
        }
    }
    return allowed;
}

/**
 * Finds allowed regions that do not exist. They stay part of their limit, since leaving out the only region of a limit
 * would allow any.
 *
 * @param configuration - routes and client accounts
 * @param known - all regions; empty if they are not known
 * @returns one line for each route and each account with such regions
 */
export function describeUnknownRegions(
    { accounts, routes }: Pick<GatewayConfiguration, "accounts" | "routes">,
    known: ReadonlySet<Region>,
): readonly string[] {
    if (known.size === 0) {
        return [];
    }
    const limits = [
        ...routes.map(route => ({ owner: `route ${route.name}`, ...route })),
        ...(accounts ?? []).map(account => ({ owner: `account ${account.name}`, ...account })),
    ];
    return limits.flatMap(({ allowedRegions = [], owner }) => {
        const unknown = allowedRegions.filter(region => !known.has(region));
        return unknown.length === 0 ?
            [] :
            [`${owner}: the allowed regions include unknown ones: ${unknown.join(", ")}`];
    });
}
