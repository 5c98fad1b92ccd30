import type { ListedBackendServer, Milliseconds } from "../../../types/index.js";
import { createHttpClient, type HttpClient } from "../../httpClient/index.js";
import type { UsedTurnLog } from "./usedTurnLog.js";

/** Options of the connections to backend servers. */
export interface BackendClientOptions {
    readonly connectTimeLimit: Milliseconds;
    /**
     * Maximum number of connections that this process opens to a backend server; undefined if it is not known, which
     * leaves it as it was, or 1.
     */
    readonly connections: (listed: ListedBackendServer) => number | undefined;
    /** Gets the turns of the event loop that responses have used up. */
    readonly usedTurns: UsedTurnLog;
}

/** Connections to backend servers, one pool for each of them. */
export interface BackendClients extends AsyncDisposable {
    /**
     * Finds the client of a backend server.
     *
     * @param listed - the backend server
     * @returns its client; the same one as long as instance, address, start time and number of connections stay the same
     */
    find(listed: ListedBackendServer): HttpClient;
    /**
     * Closes the connections to backend servers that are no longer listed, once their calls have ended.
     *
     * @param instances - backend servers that are still listed
     */
    keepOnly(instances: ReadonlySet<string>): void;
}

interface ClientRow {
    readonly address: string;
    readonly startedAt: number | undefined;
    readonly connections: number;
    readonly client: HttpClient;
}

/** Maximum bytes of one answer that are held in memory; an answer with more unread bytes is abandoned. */
export const maximumAnswerBytes = 16 * 1024 * 1024;

/** Share of the connections of a backend server that the gateways divide among them; the rest is left for others. */
const gatewayConnectionShare = 0.8;

/**
 * Computes how many connections one gateway may open to a backend server.
 *
 * @param maximum - connections that the backend server accepts in total; undefined if it is not known
 * @param gateways - number of gateways
 * @returns the share of this gateway, at least 1; undefined if the maximum is not known
 */
export function divideConnections(maximum: number | undefined, gateways: number): number | undefined {
    return maximum === undefined ? undefined : Math.max(1, Math.floor(maximum * gatewayConnectionShare / gateways));
}

/**
 * Creates the connections to backend servers.
 *
 * @param options - limits of the connections
 * @returns the clients; disposing of them ends all calls
 */
export function createBackendClients(options: BackendClientOptions): BackendClients {
    const rows = new Map<string, ClientRow>();
    /** Clients that are closed once their calls have ended. */
    const retired = new Set<HttpClient>();

    function retire(instance: string, { client }: ClientRow): void {
        rows.delete(instance);
        retired.add(client);
        // Calls in progress continue, since a backend server that is shutting down finishes its work.
        void client.close().finally(() => retired.delete(client));
    }

    return {
        find: listed => {
            const { address, instance, startedAt } = listed;
            const known = rows.get(instance);
            const connections = options.connections(listed) ?? known?.connections ?? 1;
            const isSameServer = known?.address === address && known.startedAt === startedAt;
            if (isSameServer && known.connections === connections) {
                return known.client;
            }
            if (known !== undefined) {
                retire(instance, known);
            }
            const client = createHttpClient({
                baseUrl: `http://${address}`,
                connections,
                timeouts: { connect: options.connectTimeLimit },
                maximumBodyBytes: maximumAnswerBytes,
                onTurnUsed: used => options.usedTurns.record(listed, used),
            });
            rows.set(instance, { address, startedAt, connections, client });
            return client;
        },
        keepOnly: instances => {
            for (const [instance, row] of rows) {
                if (!instances.has(instance)) {
                    retire(instance, row);
                }
            }
        },
        [Symbol.asyncDispose]: async () => {
            const clients = [...[...rows.values()].map(({ client }) => client), ...retired];
            rows.clear();
            await Promise.all(clients.map(client => client[Symbol.asyncDispose]()));
        },
    };
}
