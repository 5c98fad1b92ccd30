import { type RequestListener, Server, type ServerOptions } from "node:http";
import type { Socket } from "node:net";

/** What a connection has carried. */
interface ConnectionState {
    /** Responses that have not been handed over to the operating system completely. */
    owed: number;
    /** Bytes received when the last response was complete; undefined before the first. */
    receivedAtRest: number | undefined;
}

/**
 * HTTP server that closes no connection on which a response is still being sent. Node's own counts a connection as idle
 * once `end()` was called on the response, even if the rest of it is waiting for a slow peer.
 */
export class DrainableServer extends Server {
    private readonly states = new Map<Socket, ConnectionState>();
    private isClosing = false;

    /**
     * Creates a server that does not listen yet.
     *
     * @param options - options of Node's HTTP server
     * @param handle - handles each request
     */
    constructor(options: ServerOptions, handle: RequestListener) {
        super(options);
        this.on("connection", socket => {
            this.states.set(socket, { owed: 0, receivedAtRest: undefined });
            socket.once("close", () => this.states.delete(socket));
        });
        this.on("request", (incoming, response) => {
            const { socket } = incoming;
            if (socket.writableEnded) {
                // The request arrived after this side had closed the connection, so it is not served.
                incoming.resume();
                return;
            }
            const state = this.states.get(socket);
            if (state !== undefined) {
                state.owed++;
                response.once("close", () => {
                    state.owed--;
                    state.receivedAtRest = socket.bytesRead;
                    if (this.isClosing) {
                        this.closeIfIdle(socket, state);
                    }
                });
            }
            handle(incoming, response);
        });
    }

    /**
     * Counts the responses that have not been handed over to the operating system completely.
     *
     * @returns their number
     */
    countOwed(): number {
        return [...this.states.values()].reduce((sum, { owed }) => sum + owed, 0);
    }

    /**
     * Closes the connections that have carried a response and owe none, and from then on each other one as soon as it
     * owes none. Called by `close` too.
     */
    override closeIdleConnections(): void {
        this.isClosing = true;
        this.states.forEach((state, socket) => this.closeIfIdle(socket, state));
    }

    private closeIfIdle(socket: Socket, { owed, receivedAtRest }: ConnectionState): void {
        if (owed === 0 && socket.bytesRead === receivedAtRest) {
            // Unlike `destroy`, this lets the peer read what the operating system still holds.
            socket.end();
        }
    }
}
