import type { ListedBackendServer, Milliseconds } from "../../types/index.js";
import { createHeldBytes, createHttpClient, type HttpClient } from "../httpClient/index.js";

/** Options of the connections to backend servers. */
export interface BackendClientOptions {
    readonly connectTimeLimit: Milliseconds;
    /** Connections that this process opens to one backend server at most. */
    readonly connections: (listed: ListedBackendServer) => number;
    /** Most bytes of all answers that are kept in memory; the largest are given up if there are more. */
    readonly maximumHeldBytes: number;
}

/** Connections to backend servers, one pool for each of them. */
export interface BackendClients extends AsyncDisposable {
    /**
     * Finds the client of a backend server.
     *
     * @param listed - the backend server
     * @returns its client; the same one as long as instance and address stay the same
     */
    find(listed: ListedBackendServer): HttpClient;
    /**
     * Closes the connections to backend servers that are gone.
     *
     * @param instances - backend servers that are still listed
     */
    keepOnly(instances: ReadonlySet<string>): void;
}

interface ClientRow {
    readonly address: string;
    readonly startedAt: number | undefined;
    readonly client: HttpClient;
}

/** Most bytes of an answer that are kept in memory; an answer of which more waits is given up. */
export const maximumAnswerBytes = 16 * 1024 * 1024;

/** Time that a closed pool has to finish its calls; streams end with their route's timeout before it. */
const retireAfter: Milliseconds = 30_000;

/**
 * Creates the connections to backend servers.
 *
 * @param options - limits of the connections
 * @returns the clients; disposing of them ends all calls
 */
export function createBackendClients(options: BackendClientOptions): BackendClients {
    const rows = new Map<string, ClientRow>();
    const heldBytes = createHeldBytes(options.maximumHeldBytes);

    function retire(instance: string, { client }: ClientRow): void {
        rows.delete(instance);
        // Calls in progress go on: a backend server that leaves finishes its work.
        setTimeout(() => void client[Symbol.asyncDispose](), retireAfter).unref();
    }

    return {
        find: listed => {
            const { address, instance, startedAt } = listed;
            const known = rows.get(instance);
            if (known?.address === address && known.startedAt === startedAt) {
                return known.client;
            }
            if (known !== undefined) {
                retire(instance, known);
            }
            const client = createHttpClient({
                baseUrl: `http://${address}`,
                connections: options.connections(listed),
                timeouts: { connect: options.connectTimeLimit },
                maximumBodyBytes: maximumAnswerBytes,
                heldBytes,
            });
            rows.set(instance, { address, startedAt, client });
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
            const clients = [...rows.values()].map(({ client }) => client);
            rows.clear();
            await Promise.all(clients.map(client => client[Symbol.asyncDispose]()));
        },
    };
}
