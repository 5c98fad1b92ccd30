import type { Server, Socket } from "node:net";

/**
 * Stops a server and closes its open connections.
 *
 * @param server - the server
 * @param sockets - open connections of the server
 * @returns resolves once the server has stopped
 */
export function closeServer(server: Server, sockets: ReadonlySet<Socket>): Promise<void> {
    return new Promise(resolve => {
        server.close(() => resolve());
        sockets.forEach(socket => socket.destroy());
    });
}
