import type { GatewayConfiguration, ListedBackendServer, RouteRow } from "../../../src/types/index.js";

/** Creates a route with defaults. */
export function createRoute(changes: Partial<RouteRow> = {}): RouteRow {
    return {
        name: "route",
        host: "members.example",
        pathPrefix: "/",
        kind: "safe",
        destinations: [{ service: "archive", weight: 1 }],
        timeout: 800,
        targetLatency: 200,
        targetGap: undefined,
        urgency: 1,
        maximumAttempts: 2,
        isPublic: false,
        resumable: false,
        ...changes,
    };
}

/** Creates a configuration with one account and a model service. */
export function createConfiguration(changes: Partial<GatewayConfiguration> = {}): GatewayConfiguration {
    return {
        revision: 1,
        routes: [createRoute()],
        services: [
            {
                name: "archive",
                maximumConnections: 10,
                engine: undefined,
                originAddress: undefined,
                zone: undefined,
            },
        ],
        limits: { headerBytes: 16_384, bodyBytes: 100_000, headerTimeout: 3_000, idleTimeout: 15_000 },
        accounts: [{ name: "family", apiKeys: ["key-1", "key-2"], urgency: undefined }],
        ...changes,
    };
}

/** Creates an entry of the list of backend servers. */
export function createListed(changes: Partial<ListedBackendServer> = {}): ListedBackendServer {
    return {
        instance: "i-1",
        service: "archive",
        address: "10.0.0.1:8000",
        zone: "zone-a",
        slots: 4,
        state: "ready",
        weights: undefined,
        startedAt: 1,
        ...changes,
    };
}
