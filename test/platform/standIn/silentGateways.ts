import { once } from "node:events";
import { type AddressInfo, createServer, type Socket } from "node:net";
import type { StoreStandIn } from "./storeStandIn.js";

/** Addresses of the loopback network at which gateways were registered that no longer respond. */
export interface SilentGateways extends AsyncDisposable {
    /** Removes them from the loopback network: connections are refused from then on. */
    close(): Promise<void>;
}

/** Options of {@link registerSilentGateways}. */
export interface SilentGatewayOptions {
    readonly count: number;
    /** Prefix of their identifiers, which are sorted by number. */
    readonly prefix: string;
    readonly zone?: string;
}

/**
 * Registers gateways that were removed for good without a shutdown: connections to them are accepted, and nothing is
 * ever sent.
 *
 * @param store - store in which they are registered
 * @param options - how many, and their identifiers
 * @returns the listener at their addresses
 */
export async function registerSilentGateways(
    store: StoreStandIn,
    { count, prefix, zone = "zone-a" }: SilentGatewayOptions,
): Promise<SilentGateways> {
    const sockets = new Set<Socket>();
    const server = createServer(socket => {
        sockets.add(socket);
        socket.on("error", () => {});
        socket.once("close", () => sockets.delete(socket));
        socket.resume();
    });
    server.listen(0, "0.0.0.0");
    await once(server, "listening");
    const { port } = server.address() as AddressInfo;
    for (let number = 1; number <= count; number++) {
        store.write("keyed.goldcrestpoint-instances", `${prefix}${String(number).padStart(4, "0")}`, {
            address: `127.1.${Math.floor(number / 250)}.${number % 250 + 1}:${port}`,
            zone,
            region: "south",
            startedAt: 1,
        });
    }
    const close = async (): Promise<void> => {
        sockets.forEach(socket => socket.destroy());
        if (server.listening) {
            server.close();
            await once(server, "close");
        }
    };
    return { close, [Symbol.asyncDispose]: close };
}
