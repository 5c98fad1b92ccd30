import { type IncomingMessage, type RequestListener, Server, type ServerOptions } from "node:http";
import type { Socket } from "node:net";
import type { Clock, Milliseconds } from "../../types/index.js";

/** What a connection has carried. */
interface ConnectionState {
    /** Responses that have not been handed over to the operating system completely. */
    owed: number;
    /** Bytes received when the last response was complete; undefined before the first. */
    receivedAtRest: number | undefined;
    /** Monotonic time at which the last response was complete, or at which the connection was accepted. */
    restingSince: Milliseconds;
}

/** Reason for which a server closes a connection that owes no response. */
export type ConnectionCloseReason = "idle" | "shutdown";

/** Observer of a {@link DrainableServer}. */
export interface ConnectionObserver {
    /**
     * Called when the server closes a connection that owes no response.
     *
     * @param reason - why it is closed
     * @param lateness - time by which its idle limit had been exceeded
     */
    onClose?(reason: ConnectionCloseReason, lateness: Milliseconds): void;
    /** Called for a request that arrived after the server had closed its connection, and that gets no response. */
    onUnanswerable?(incoming: IncomingMessage): void;
}

/** Time that Node adds to the idle limit that it states to peers. */
const keepAliveMargin: Milliseconds = 1_000;

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
     * @param clock - time source
     * @param observer - called when connections are closed
     */
    constructor(
        options: ServerOptions,
        handle: RequestListener,
        clock: Pick<Clock, "monotonic">,
        private readonly observer: ConnectionObserver = {},
    ) {
        super(options);
        this.on("connection", socket => {
            this.states.set(socket, { owed: 0, receivedAtRest: undefined, restingSince: clock.monotonic() });
            socket.once("close", () => this.states.delete(socket));
        });
        this.on("timeout", (socket: Socket) => {
            const idleSince = this.states.get(socket)?.restingSince ?? clock.monotonic();
            const idleFor = clock.monotonic() - idleSince;
            observer.onClose?.("idle", Math.max(0, idleFor - this.keepAliveTimeout - keepAliveMargin));
            socket.destroy();
        });
        this.on("request", (incoming, response) => {
            const { socket } = incoming;
            if (socket.writableEnded) {
                // The request arrived after this side had closed the connection, so it is not served.
                observer.onUnanswerable?.(incoming);
                incoming.resume();
                return;
            }
            const state = this.states.get(socket);
            if (state !== undefined) {
                state.owed++;
                response.once("close", () => {
                    state.owed--;
                    state.receivedAtRest = socket.bytesRead;
                    state.restingSince = clock.monotonic();
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
            this.observer.onClose?.("shutdown", 0);
            // Unlike `destroy`, this lets the peer read what the operating system still holds.
            socket.end();
        }
    }
}
