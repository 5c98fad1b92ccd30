import { connect, createServer, type Socket } from "node:net";
import { findFreePorts } from "../../src/standIn/index.js";

/** Link to a peer that can be cut. */
export interface Link {
    /** `host:port` at which the peer is reached through the link. */
    readonly address: string;
    /** Resets the channels, and from now on each new one. */
    cut(): void;
    /** Lets new channels pass again. */
    heal(): void;
}

const host = "127.0.0.1";

/**
 * Opens a link.
 *
 * @param address - `host:port` of the peer
 * @returns the link, whole
 */
export async function openLink(address: string): Promise<Link> {
    const [port] = await findFreePorts(1) as [number];
    const [peerHost, peerPort] = address.split(":") as [string, string];
    const sockets = new Set<Socket>();
    let isCut = false;
    const server = createServer({ noDelay: true }, near => {
        near.on("error", () => {});
        if (isCut) {
            near.resetAndDestroy();
            return;
        }
        const far = connect({ host: peerHost, port: Number(peerPort), noDelay: true });
        far.on("error", () => near.destroy());
        far.on("close", () => near.destroy());
        near.on("close", () => far.destroy());
        for (const socket of [near, far]) {
            sockets.add(socket);
            socket.on("close", () => sockets.delete(socket));
        }
        near.pipe(far);
        far.pipe(near);
    });
    await new Promise<void>(resolve => {
        server.listen(port, host, resolve);
    });
    return {
        address: `${host}:${port}`,
        cut: () => {
            isCut = true;
            sockets.forEach(socket => socket.resetAndDestroy());
        },
        heal: () => {
            isCut = false;
        },
    };
}
