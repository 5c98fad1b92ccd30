import { once } from "node:events";
import { connect, createServer, type Socket } from "node:net";

/**
 * What happens to bytes that a link holds back when their sender resets the connection: `lost`, as during a network
 * partition, or `delivered`, as in the queue of a narrow link.
 */
export type HeldBytes = "lost" | "delivered";

/** Link to a server that can hold back bytes. */
export interface HeldLink extends AsyncDisposable {
    /** `host:port` of the end at which clients connect. */
    readonly address: string;
    /** Holds back all bytes towards the server from now on; connections are accepted at once. */
    hold(): void;
    /** Delivers the bytes that are held back, then the ends of connections. */
    release(): void;
    /** Drops all further bytes in both directions of the open connections, without closing them; new ones work. */
    silence(): void;
}

/** Connection through the link. */
interface LinkedPair {
    readonly client: Socket;
    readonly server: Socket;
    held: Buffer[];
    ending: "open" | "closed" | "reset";
    isSilent: boolean;
}

/**
 * Starts a link on loopback.
 *
 * @param target - `host:port` of the server
 * @param heldBytes - what happens to bytes that are held back when their sender resets the connection
 * @returns the link, which delivers everything at once
 */
export async function startHeldLink(target: string, heldBytes: HeldBytes): Promise<HeldLink> {
    const [host, port] = target.split(":") as [string, string];
    const pairs = new Set<LinkedPair>();
    let isHolding = false;

    function deliver({ ending, held, isSilent, server }: LinkedPair): void {
        if (isSilent) {
            return;
        }
        held.splice(0).forEach(part => server.write(part));
        if (ending !== "open") {
            server.end();
        }
    }

    const listener = createServer({ allowHalfOpen: true }, client => {
        const pair: LinkedPair = {
            client,
            server: connect(Number(port), host),
            held: [],
            ending: "open",
            isSilent: false,
        };
        pairs.add(pair);
        const answer = (action: () => void): void => {
            if (!pair.isSilent) {
                action();
            }
        };
        pair.server.on("error", () => {}).on("data", part => answer(() => client.write(part))).on(
            "close",
            () => answer(() => client.destroy()),
        );
        client.on("data", part => {
            pair.held.push(part);
            if (!isHolding) {
                deliver(pair);
            }
        });
        const end = (ending: LinkedPair["ending"]): void => {
            pair.ending = pair.ending === "open" ? ending : pair.ending;
            if (pair.ending === "reset" && heldBytes === "lost") {
                pair.held = [];
            }
            if (!isHolding) {
                deliver(pair);
            }
        };
        client.on("end", () => end("closed")).on("error", () => end("reset")).on("close", () => end("closed"));
    });
    listener.listen(0, "127.0.0.1");
    await once(listener, "listening");
    const { port: ownPort } = listener.address() as { readonly port: number; };
    return {
        address: `127.0.0.1:${ownPort}`,
        hold: () => {
            isHolding = true;
        },
        release: () => {
            isHolding = false;
            pairs.forEach(deliver);
        },
        silence: () => {
            pairs.forEach(pair => {
                pair.isSilent = true;
            });
        },
        [Symbol.asyncDispose]: () => {
            listener.close();
            pairs.forEach(({ client, server }) => {
                client.destroy();
                server.destroy();
            });
            return Promise.resolve();
        },
    };
}
