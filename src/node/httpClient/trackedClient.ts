import type { Socket } from "node:net";
import { buildConnector, Client, type Dispatcher } from "undici";
import type { Milliseconds } from "../../types/index.js";

/** What is known about the connection of one call. */
export interface ConnectionState {
    /** True once the peer has closed the connection in order and all that it sent was read. */
    ended: boolean;
    /** True once the connection has failed. */
    failed: boolean;
    /** Call whose request was written last. */
    lastCall: CallState | undefined;
    /** @returns bytes that were received in all */
    readonly readBytes: () => number;
    /** Closes the connection at once. */
    readonly close: () => void;
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
    readBefore: number;
    /** Bytes of the answer's body that have arrived. */
    bodyBytes: number;
}

/**
 * Creates the state of a call.
 *
 * @returns state of a call that has not begun
 */
export function createCallState(): CallState {
    return { written: false, findConnection: undefined, connection: undefined, readBefore: 0, bodyBytes: 0 };
}

function followConnection(socket: Socket): ConnectionState {
    const state: ConnectionState = {
        ended: false,
        failed: false,
        lastCall: undefined,
        readBytes: () => socket.bytesRead,
        close: () => {
            socket.destroy();
        },
    };
    socket.once("end", () => {
        // Node reports a reset that arrives together with the last bytes as an end, but the socket has no peer then. It
        // keeps the peer's address from the first read on, so nothing else may read it before.
        state.ended = socket.remoteAddress !== undefined;
    });
    socket.once("error", (error: NodeJS.ErrnoException) => {
        // Undici ends its connections with errors of its own, also after an orderly close.
        state.failed ||= error.code?.startsWith("UND_ERR_") !== true;
    });
    return state;
}

/** Client of one connection at a time that lets each of its calls find this connection. */
class TrackedClient extends Client {
    private connection: ConnectionState | undefined;

    constructor(origin: URL, options: Client.Options, connectTimeout: Milliseconds) {
        const connect = buildConnector({ timeout: connectTimeout });
        super(origin, {
            ...options,
            connect: (target, callback) => {
                connect(target, (...parameters) => {
                    // The listeners precede those of undici, which end the answer.
                    this.connection = parameters[1] ? followConnection(parameters[1]) : undefined;
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
 * Creates a client for one connection at a time to a peer.
 *
 * @param origin - peer
 * @param options - options of undici; its `connect` is not used
 * @param connectTimeout - time in which a connection must be established
 * @returns client whose calls state a {@link CallState} as `opaque`
 */
export function createTrackedClient(origin: URL, options: Client.Options, connectTimeout: Milliseconds): Client {
    return new TrackedClient(origin, options, connectTimeout);
}

/**
 * Undici ignores an abort after the last byte of an answer has arrived and keeps the connection. Bytes that follow such
 * an answer would be taken for the answer to the next request.
 */
function closeWhenAborted(controller: Dispatcher.DispatchController, call: CallState): Dispatcher.DispatchController {
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
            controller.abort(reason);
            // The connection may carry another call by now, which must not be cut off.
            if (call.connection?.lastCall === call) {
                call.connection.close();
            }
        },
        pause: () => controller.pause(),
        resume: () => controller.resume(),
    };
}

/**
 * Interceptor that completes the state of a call immediately before undici writes the request to an open connection, and
 * closes the connection of a call that is aborted, also if its answer has arrived completely but was not read.
 * After a refused or timed-out connection attempt, the request counts as not written.
 *
 * @param dispatch - next dispatch function
 * @returns dispatch function that completes call states
 */
export function trackWrittenRequests(dispatch: Dispatcher["dispatch"]): Dispatcher["dispatch"] {
    return (options, handler) => {
        const { opaque } = options as unknown as { readonly opaque: CallState; };
        return dispatch(options, {
            onRequestStart: (controller, context) => {
                handler.onRequestStart?.(closeWhenAborted(controller, opaque), context);
                opaque.written = !controller.aborted;
                opaque.connection = opaque.findConnection?.();
                if (opaque.connection !== undefined && opaque.written) {
                    opaque.connection.lastCall = opaque;
                    opaque.readBefore = opaque.connection.readBytes();
                }
            },
            onRequestUpgrade: (...parameters) => handler.onRequestUpgrade?.(...parameters),
            onResponseStart: (...parameters) => handler.onResponseStart?.(...parameters),
            onResponseData: (...parameters) => handler.onResponseData?.(...parameters),
            onResponseEnd: (...parameters) => handler.onResponseEnd?.(...parameters),
            onResponseError: (...parameters) => handler.onResponseError?.(...parameters),
        });
    };
}
