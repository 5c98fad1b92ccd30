import { type IncomingMessage, type RequestListener, Server, type ServerOptions } from "node:http";
import type { Socket } from "node:net";
import type { Clock, Milliseconds } from "../../types/index.js";
import { awaitPoll } from "../../utils/index.js";
import type { ConnectionObserver } from "./connectionObserver.js";
import { type ConnectionState, decideClose } from "./connectionState.js";
import { type IncompleteHeads, measureIncompleteHead } from "./incompleteHeads.js";
import { closeLingering } from "./lingeringClose.js";
import { OrderedResponse } from "./orderedResponse.js";
import { noteReceived, type ReceivedBytes } from "./receivedBytes.js";
import {
    findRequestFault,
    formatRefusal,
    headEndedForMemory,
    headTooLarge,
    type RequestFault,
    tunnelRequest,
} from "./requestFault.js";

/** Request whose response has not been handed over to the operating system completely. */
interface Exchange {
    readonly incoming: IncomingMessage;
    readonly response: OrderedResponse;
}

interface Connection extends ConnectionState, ReceivedBytes {
    /** Exchanges in the order of their requests. */
    readonly exchanges: Exchange[];
    receivedAtRest: number;
    /** Reason for which nothing more is read from the connection. */
    fault: RequestFault | undefined;
}

/** Interval at which connections to close are looked for. */
const checkInterval: Milliseconds = 250;
/** The same in a shutdown. */
const shutdownCheckInterval: Milliseconds = 50;
/** Delay of a check from which on the event loop was blocked. */
const stallThreshold: Milliseconds = 300;
/** Time after the event loop was blocked in which peers send again what the system could not take. */
const deliveryTime: Milliseconds = 1_000;
/** Time and bytes for which the rest of a request is discarded after the end of its connection. */
const lingerLimits = { time: 5_000, bytes: 8_388_608 };

/**
 * HTTP server that closes no connection on which a response is still being sent, or on which bytes have arrived. Node's
 * own counts a connection as idle once `end()` was called on the response, even if the rest of it is waiting for a slow
 * peer, and its timers close idle connections before the event loop has read what arrived on them.
 */
export class DrainableServer extends Server {
    /** Time for which the head of a request may be incomplete. */
    headTimeLimit: Milliseconds = 60_000;
    /** Bytes that an incomplete head may have. */
    headSizeLimit = Infinity;
    /** Memory of heads that have not arrived completely; undefined if it is not limited. */
    heads: IncompleteHeads | undefined;
    private readonly tracked = new Map<Socket, Connection>();
    private isClosing = false;
    private accepted = 0;
    /** Set only while there are connections. */
    private timer: NodeJS.Timeout | undefined;
    private checkedAt: Milliseconds;
    private idleChecksResumeAt: Milliseconds = 0;

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
        private readonly clock: Pick<Clock, "monotonic">,
        private readonly observer: ConnectionObserver = {},
    ) {
        super({ ...options, ServerResponse: OrderedResponse });
        // Node looks for slow heads every 30 s only, and counts from the time at which the connection was opened.
        this.headersTimeout = 0;
        this.checkedAt = clock.monotonic();
        // With a listener, Node leaves it to this class to close idle connections.
        this.on("timeout", () => {});
        this.on("connection", (socket: Socket) => {
            this.accepted++;
            this.tracked.set(socket, {
                exchanges: [],
                lastIncoming: undefined,
                lastComplete: undefined,
                tail: "",
                fault: undefined,
                owed: 0,
                hasAnswered: false,
                receivedAtRest: 0,
                restingSince: clock.monotonic(),
                headSince: undefined,
                statedIdleLimit: 0,
            });
            if (this.tracked.size === 1) {
                this.checkedAt = clock.monotonic();
                this.updateChecks();
            }
            socket.once("close", () => {
                this.tracked.delete(socket);
                if (this.tracked.size === 0) {
                    this.updateChecks();
                }
            });
            socket.on("data", (part: Buffer) => this.handleReceived(socket, part));
            // Node calls this after a response with `connection: close`, while the peer may still send its request.
            socket.destroySoon = () => closeLingering(socket, lingerLimits, clock);
        });
        this.on("request", (incoming, response: OrderedResponse) => {
            const { socket } = incoming;
            const connection = this.tracked.get(socket);
            if (socket.writableEnded || connection?.exchanges.at(-1)?.response.endsConnection() === true) {
                // The request arrived after this side had closed the connection or said so, so it is not served.
                if (connection?.fault === undefined) {
                    observer.onUnanswerable?.(incoming);
                }
                incoming.resume();
                return;
            }
            if (connection !== undefined) {
                this.addExchange(connection, { incoming, response });
            }
            handle(incoming, response);
        });
        // Without this listener, Node answers 417 itself, and the exchange is not known.
        this.on("checkExpectation", (...exchange) => void this.emit("request", ...exchange));
        this.on("connect", (...[, socket]) => this.refuseTunnel(socket as Socket));
        this.on("clientError", (error: NodeJS.ErrnoException, socket: Socket) => {
            const fault = findRequestFault(error.code);
            if (fault === undefined) {
                socket.destroy();
            }
            else {
                this.refuse(socket, fault);
            }
        });
    }

    /**
     * Counts the responses that have not been handed over to the operating system completely.
     *
     * @returns their number
     */
    countOwed(): number {
        return [...this.tracked.values()].reduce((sum, { owed }) => sum + owed, 0);
    }

    /**
     * Closes the connections that have carried a response and owe none, and from then on each other one as soon as it
     * owes none. Called by `close` too.
     */
    override closeIdleConnections(): void {
        if (!this.isClosing) {
            this.isClosing = true;
            this.updateChecks();
        }
        this.scheduleCheck();
    }

    /**
     * Stops listening after accepting the connections that wait for it, which would be reset otherwise.
     *
     * @param timeLimit - time in which they are accepted
     */
    async stopAccepting(timeLimit: Milliseconds): Promise<void> {
        await this.acceptWaiting(timeLimit);
        this.close();
    }

    /**
     * Stops listening and closes all connections, as soon as they owe no response.
     *
     * @param timeLimit - time after which the connections that are left are destroyed
     */
    async stop(timeLimit: Milliseconds): Promise<void> {
        const endsAt = this.clock.monotonic() + timeLimit;
        await this.acceptWaiting(timeLimit / 2);
        await new Promise<void>(resolve => {
            const timer = setTimeout(
                () => setImmediate(() => this.tracked.forEach((...[, socket]) => socket.destroy())),
                Math.max(0, endsAt - this.clock.monotonic()),
            );
            this.close(() => {
                clearTimeout(timer);
                resolve();
            });
        });
    }

    private async acceptWaiting(timeLimit: Milliseconds): Promise<void> {
        const endsAt = this.clock.monotonic() + timeLimit;
        let before: number;
        // The event loop can accept a single connection in each iteration, while others arrive.
        do {
            before = this.accepted;
            await awaitPoll();
        }
        while (this.accepted > before && this.clock.monotonic() < endsAt);
    }

    private addExchange(connection: Connection, exchange: Exchange): void {
        const { incoming, incoming: { socket }, response } = exchange;
        const previous = connection.exchanges.at(-1);
        if (previous !== undefined) {
            previous.response.isFollowed = true;
        }
        connection.exchanges.push(exchange);
        connection.lastIncoming = incoming;
        connection.owed++;
        connection.headSince = undefined;
        connection.statedIdleLimit = this.keepAliveTimeout;
        response.once("close", () => {
            connection.exchanges.splice(connection.exchanges.indexOf(exchange), 1);
            connection.owed--;
            connection.hasAnswered = true;
            if (incoming.complete && connection.lastIncoming === incoming && connection.lastComplete !== incoming) {
                // The parser was paused and has read the end of the request later than its last bytes were received.
                connection.lastComplete = incoming;
                connection.receivedAtRest = socket.bytesRead;
            }
            connection.restingSince = this.clock.monotonic();
            if (connection.fault !== undefined && connection.owed === 0 && !socket.writableEnded) {
                this.closeFaulty(socket, connection, connection.fault);
            }
        });
    }

    private handleReceived(socket: Socket, part: Buffer): void {
        this.observer.onReceive?.(part.length);
        const connection = this.tracked.get(socket);
        if (connection !== undefined && connection.fault === undefined && !socket.writableEnded) {
            noteReceived(connection, part, socket.bytesRead);
            if (this.hasLargeHead(socket, connection)) {
                this.refuse(socket, headTooLarge);
            }
            else {
                this.heads?.count(socket, connection, () => this.endHead(socket, connection));
            }
        }
    }

    /** Refuses a request whose head has not arrived, and frees its memory at once, which a lingering close would not. */
    private endHead(socket: Socket, connection: Connection): void {
        connection.fault = headEndedForMemory;
        this.observer.onRefuse?.(headEndedForMemory, undefined);
        socket.write(formatRefusal(headEndedForMemory.status), () => socket.destroy());
        socket.pause();
    }

    private hasLargeHead(socket: Socket, connection: Connection): boolean {
        return measureIncompleteHead(socket, connection) > this.headSizeLimit;
    }

    /** Refuses the request that arrives on a connection, after the responses to those before it. */
    private refuse(socket: Socket, fault: RequestFault): void {
        const connection = this.tracked.get(socket);
        // Node reports further bytes of a request that it could not parse as another error each.
        if (connection === undefined || connection.fault !== undefined || socket.writableEnded) {
            return;
        }
        connection.fault = fault;
        const { exchanges, lastIncoming } = connection;
        const last = exchanges.at(-1);
        const isBodyFaulty = lastIncoming?.complete === false;
        if (isBodyFaulty && fault.reason === "incomplete") {
            // The peer has ended its side within a body.
            socket.destroy();
            return;
        }
        this.observer.onRefuse?.(fault, isBodyFaulty ? lastIncoming : undefined);
        if (last === undefined) {
            this.closeFaulty(socket, connection, fault);
        }
        else if (!last.response.headersSent) {
            last.response.setHeader("connection", "close");
            if (isBodyFaulty) {
                last.response.writeHead(fault.status, { "content-length": 0 }).end();
            }
        }
    }

    private refuseTunnel(socket: Socket): void {
        // Node has removed its listeners, on which the responses that are owed rely.
        socket.on("error", () => {});
        socket.on("drain", () => this.tracked.get(socket)?.exchanges[0]?.response.emit("drain"));
        socket.resume();
        this.refuse(socket, tunnelRequest);
    }

    /** Closes a connection without an open response, and refuses the request of which a part has arrived. */
    private closeFaulty(socket: Socket, { lastIncoming }: Connection, { status }: RequestFault): void {
        // After a response to a request whose body is incomplete, the peer would assign a refusal to the next one.
        if (lastIncoming?.complete !== false) {
            socket.write(formatRefusal(status));
        }
        closeLingering(socket, lingerLimits, this.clock);
    }

    /** Starts the checks with the first connection, and ends them with the last one. */
    private updateChecks(): void {
        const interval = this.isClosing ? shutdownCheckInterval : checkInterval;
        clearInterval(this.timer);
        this.timer = this.tracked.size === 0 ? undefined : setInterval(() => this.scheduleCheck(), interval).unref();
    }

    private scheduleCheck(): void {
        // If the event loop was blocked, requests that arrived in time are read before this callback runs.
        setImmediate(() => this.closeExpired());
    }

    private closeExpired(): void {
        const now = this.clock.monotonic();
        const hasStalled = now - this.checkedAt > checkInterval + stallThreshold;
        this.checkedAt = now;
        if (hasStalled) {
            this.idleChecksResumeAt = now + deliveryTime;
        }
        const limits = {
            idle: now < this.idleChecksResumeAt ? Infinity : this.keepAliveTimeout,
            head: this.headTimeLimit,
            isClosing: this.isClosing,
        };
        for (const [socket, state] of this.tracked) {
            if (socket.writableEnded || state.fault !== undefined) {
                continue;
            }
            if (state.owed === 0) {
                const hasHead = socket.bytesRead !== state.receivedAtRest;
                state.headSince = hasHead ? hasStalled ? now : state.headSince ?? now : undefined;
            }
            if (this.hasLargeHead(socket, state)) {
                this.refuse(socket, headTooLarge);
                continue;
            }
            const close = decideClose(state, socket.bytesRead, limits, now);
            if (close !== undefined) {
                this.observer.onClose?.(close.reason, close.lateness);
                if (close.reason === "head-timeout" && state.lastIncoming?.complete !== false) {
                    socket.write(formatRefusal(408));
                }
                closeLingering(socket, lingerLimits, this.clock);
            }
        }
    }
}
