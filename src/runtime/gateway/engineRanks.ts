import type { GatewayConfiguration, RouteRow } from "../../types/index.js";

/** Lists the ranks that requests of a route can have; the rank of the account comes before that of the route. */
function listRanks({ isPublic, urgency }: RouteRow, { accounts }: GatewayConfiguration): number[] {
    const ranks = (accounts ?? []).map(account => account.urgency ?? urgency);
    return isPublic || accounts === undefined ? [...ranks, urgency] : ranks;
}

/**
 * Finds the services with an engine whose requests differ in rank. At the others, the order of the engine's queue stays
 * that of the arrivals.
 *
 * @param configuration - the configuration
 * @returns names of the services
 */
export function findRankedServices(configuration: GatewayConfiguration): ReadonlySet<string> {
    const ranks = new Map<string, Set<number>>();
    for (const route of configuration.routes) {
        for (const { service, weight } of route.destinations) {
            const known = ranks.get(service) ?? new Set();
            ranks.set(service, known);
            for (const rank of weight > 0 ? listRanks(route, configuration) : []) {
                known.add(rank);
            }
        }
    }
    const ranked = configuration.services.filter(({ engine, name }) =>
        engine !== undefined && (ranks.get(name)?.size ?? 0) > 1
    );
    return new Set(ranked.map(({ name }) => name));
}
