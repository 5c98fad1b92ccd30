import type { AccountRow, ClientAccount, GatewayConfiguration, RouteRow, ServiceRow } from "../../types/index.js";
import { scoreRendezvous } from "../../utils/index.js";
import { findRankedServices } from "./engineRanks.js";

/** Configuration with the indexes that serve to find the route and the account of a request. */
export interface RouteTable {
    readonly configuration: GatewayConfiguration;
    /** Routes of each host, longest prefix first. */
    readonly routesByHost: ReadonlyMap<string, readonly RouteRow[]>;
    readonly accountsByKey: ReadonlyMap<string, AccountRow>;
    readonly services: ReadonlyMap<string, ServiceRow>;
    /** Names of the services with an engine whose requests differ in rank. */
    readonly rankedServices: ReadonlySet<string>;
}

/** Properties of a request that determine its route and account. */
export interface RouteQuery {
    /** Value of the `host` header; undefined if the request has none. */
    readonly host: string | undefined;
    /** Path with query, as it was received. */
    readonly path: string;
    readonly apiKey: string | undefined;
}

/** Result of {@link resolveRoute}. */
export type RouteResolution =
    | {
        readonly kind: "found";
        readonly route: RouteRow;
        /** Undefined for public routes and without API keys. */
        readonly account: AccountRow | undefined;
    }
    | { readonly kind: "no-route"; }
    | { readonly kind: "unknown-key"; };

/** Account name for requests without an account. */
export const anonymousAccount: ClientAccount = "anonymous";

/**
 * Indexes a configuration.
 *
 * @param configuration - the configuration
 * @returns the table
 */
export function createRouteTable(configuration: GatewayConfiguration): RouteTable {
    const routesByHost = new Map<string, RouteRow[]>();
    for (const route of configuration.routes) {
        const routes = routesByHost.get(route.host) ?? [];
        routes.push(route);
        routesByHost.set(route.host, routes);
    }
    for (const routes of routesByHost.values()) {
        routes.sort((left, right) => right.pathPrefix.length - left.pathPrefix.length);
    }
    const accounts = configuration.accounts ?? [];
    return {
        configuration,
        routesByHost,
        accountsByKey: new Map(accounts.flatMap(account => account.apiKeys.map(key => [key, account]))),
        services: new Map(configuration.services.map(service => [service.name, service])),
        rankedServices: findRankedServices(configuration),
    };
}

function normalizeHost(host: string): string {
    return host.trim().toLowerCase().replace(/:\d+$/, "");
}

/**
 * Finds the route and the client account of a request.
 *
 * @param table - indexed configuration
 * @param query - host, path and key
 * @returns route and account, or the reason why the request is not allowed
 */
export function resolveRoute(table: RouteTable, query: RouteQuery): RouteResolution {
    const routes = table.routesByHost.get(normalizeHost(query.host ?? "")) ?? [];
    const path = query.path.split("?", 1)[0]!;
    const route = routes.find(({ pathPrefix }) => path.startsWith(pathPrefix));
    if (route === undefined) {
        return { kind: "no-route" };
    }
    const account = query.apiKey === undefined ? undefined : table.accountsByKey.get(query.apiKey);
    if (table.configuration.accounts !== undefined && !route.isPublic && account === undefined) {
        return { kind: "unknown-key" };
    }
    return { kind: "found", route, account };
}

/**
 * Selects the service of a request by the weights of its route. All gateways select the same service for the same
 * request.
 *
 * @param route - route of the request
 * @param requestId - identifier of the request
 * @returns name of the service; undefined if the route has none with a weight
 */
export function selectService(route: RouteRow, requestId: string): string | undefined {
    const total = route.destinations.reduce((sum, { weight }) => sum + weight, 0);
    let point = scoreRendezvous(route.name, requestId) / 2 ** 32 * total;
    for (const { service, weight } of route.destinations) {
        if (weight > 0 && point < weight) {
            return service;
        }
        point -= weight;
    }
    return undefined;
}
