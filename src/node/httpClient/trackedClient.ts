import type { Socket } from "node:net";
import { TLSSocket } from "node:tls";
import { buildConnector, Client, type Dispatcher, errors } from "undici";
import type { Milliseconds } from "../../types/index.js";
import { createStatusError, isHttpStatus } from "./responseStatus.js";

/** State of a connection. */
export interface ConnectionState {
    /** True once the peer has closed the connection gracefully and everything that it sent was read. */
    ended: boolean;
    /** True once the connection has failed. */
    failed: boolean;
    /** Call whose request was the last one written to the connection. */
    lastCall: CallState | undefined;
    /** @returns the beginning of the bytes that were read last, as text */
    readonly quoteLastRead: () => string;
    /** @returns bytes that the connection has received in total */
    readonly countReceivedBytes: () => number;
    /** Resets the connection, so that bytes that were written and have not left yet do not reach the peer. */
    readonly reset: () => void;
}

/** State of one call, to be passed as its `opaque` option. */
export interface CallState {
    /** True once the request may have reached the peer. */
    written: boolean;
    /** Finds the connection of the client that carries the call; undefined before the call has a client. */
    findConnection: (() => ConnectionState | undefined) | undefined;
    /** Connection that carries the call; undefined before the request is written. */
    connection: ConnectionState | undefined;
    /** Bytes that the connection had received before the request was written. */
    receivedBeforeCall: number;
    /** Bytes of the response body that have arrived. */
    bodyBytes: number;
    /** Called when bytes are read from the connection while the call is the last one written to it. */
    onReceived: (() => void) | undefined;
    /** Tells, right before the request is written, whether it still may be. */
    readonly mayWrite: () => boolean;
}

/**
 * Creates the state of a call.
 *
 * @param mayWrite - tells, right before the request is written, whether it still may be
 * @returns state of a call that has not started
 */
export function createCallState(mayWrite: () => boolean = () => true): CallState {
    return {
        written: false,
        findConnection: undefined,
        connection: undefined,
        receivedBeforeCall: 0,
        bodyBytes: 0,
        onReceived: undefined,
        mayWrite,
    };
}

/**
 * Resets a connection. Node destroys the socket without an error then, which undici would take for the end of a response
 * that has no length.
 */
function resetSocket(socket: Socket): void {
    const error = new errors.InformationalError("reset");
    if (socket instanceof TLSSocket) {
        socket.destroy(error);
        return;
    }
    const destroy = socket.destroy.bind(socket);
    socket.destroy = () => destroy(error);
    socket.resetAndDestroy();
}

/** Bytes of each read that are kept for the message of an unreadable status line. */
const quotedBytes = 256;

/** Notes the beginning of each read of a socket, and calls back before undici parses the bytes. */
function trackReads(socket: Socket, onReceived: () => void): () => string {
    const read = socket.read.bind(socket) as (size?: number) => unknown;
    let last = "";
    socket.read = (size?: number) => {
        const part = read(size);
        if (Buffer.isBuffer(part)) {
            last = part.toString("latin1", 0, quotedBytes);
            onReceived();
        }
        return part;
    };
    return () => last;
}

function trackConnection(socket: Socket): ConnectionState {
    const state: ConnectionState = {
        ended: false,
        failed: false,
        lastCall: undefined,
        quoteLastRead: trackReads(socket, () => state.lastCall?.onReceived?.()),
        countReceivedBytes: () => socket.bytesRead,
        reset: () => resetSocket(socket),
    };
    socket.once("end", () => {
        // Node reports a reset that arrives together with the last bytes as `end`, but then `remoteAddress` is
        // undefined. The socket caches the address at its first use, so no other code may read it before this listener.
        state.ended = socket.remoteAddress !== undefined;
    });
    socket.once("error", (error: NodeJS.ErrnoException) => {
        // Undici destroys its sockets with errors of its own, also after the peer closed the connection gracefully.
        state.failed ||= error.code?.startsWith("UND_ERR_") !== true;
    });
    return state;
}

/** Client with one connection at a time, which gives each of its calls access to the state of this connection. */
class TrackedClient extends Client {
    private connection: ConnectionState | undefined;

    constructor(origin: URL, options: Client.Options, connectTimeout: Milliseconds) {
        const connect = buildConnector({ timeout: connectTimeout });
        super(origin, {
            ...options,
            connect: (target, callback) => {
                connect(target, (...parameters) => {
                    // These listeners have to run before those of undici, which end the response.
                    this.connection = parameters[1] ? trackConnection(parameters[1]) : undefined;
                    callback(...parameters);
                });
            },
        });
    }

    override dispatch(options: Dispatcher.DispatchOptions, handler: Dispatcher.DispatchHandler): boolean {
        const { opaque } = options as unknown as { readonly opaque: CallState; };
        opaque.findConnection = () => this.connection;
        return super.dispatch(options, handler);
    }
}

/**
 * Creates a client with one connection at a time to a peer.
 *
 * @param origin - peer
 * @param options - options of undici; `connect` is replaced
 * @param connectTimeout - time limit for opening a connection
 * @returns client whose calls have to pass a {@link CallState} as `opaque`
 */
export function createTrackedClient(origin: URL, options: Client.Options, connectTimeout: Milliseconds): Client {
    return new TrackedClient(origin, options, connectTimeout);
}

/**
 * Resets the connection when a call is aborted. Undici would close it gracefully, so that a request that a slow network
 * still holds back would arrive and run. It also ignores an abort after the last byte of a response has arrived and keeps
 * the connection; further bytes would be parsed as the response to the next request.
 */
function resetWhenAborted(controller: Dispatcher.DispatchController, call: CallState): Dispatcher.DispatchController {
    return {
        get aborted() {
            return controller.aborted;
        },
        get paused() {
            return controller.paused;
        },
        get reason() {
            return controller.reason;
        },
        abort: reason => {
            // The connection may already carry another call, which must not be interrupted.
            if (call.connection?.lastCall === call) {
                call.connection.reset();
            }
            controller.abort(reason);
        },
        pause: () => controller.pause(),
        resume: () => controller.resume(),
    };
}

/**
 * Interceptor that updates the state of a call immediately before undici writes the request to an open connection, and
 * resets the connection of a call that is aborted, even if its response has arrived completely but was not read. After
 * a connection attempt that was refused or timed out, the request counts as not written.
 *
 * @param dispatch - next dispatch function
 * @returns dispatch function that updates call states
 */
export function trackWrittenRequests(dispatch: Dispatcher["dispatch"]): Dispatcher["dispatch"] {
    return (options, handler) => {
        const { opaque } = options as unknown as { readonly opaque: CallState; };
        return dispatch(options, {
            onRequestStart: (controller, context) => {
                handler.onRequestStart?.(resetWhenAborted(controller, opaque), context);
                if (!controller.aborted && !opaque.mayWrite()) {
                    controller.abort(new Error("the request must not be written any more"));
                }
                opaque.written = !controller.aborted;
                opaque.connection = opaque.findConnection?.();
                if (opaque.connection !== undefined && opaque.written) {
                    opaque.connection.lastCall = opaque;
                    opaque.receivedBeforeCall = opaque.connection.countReceivedBytes();
                }
            },
            onRequestUpgrade: (...parameters) => handler.onRequestUpgrade?.(...parameters),
            onResponseStart: (controller, status, ...rest) => {
                if (isHttpStatus(status)) {
                    handler.onResponseStart?.(controller, status, ...rest);
                }
                else {
                    resetWhenAborted(controller, opaque).abort(createStatusError(status));
                }
            },
            onResponseData: (...parameters) => handler.onResponseData?.(...parameters),
            onResponseEnd: (...parameters) => handler.onResponseEnd?.(...parameters),
            onResponseError: (...parameters) => handler.onResponseError?.(...parameters),
        });
    };
}
