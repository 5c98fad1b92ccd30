import type { Socket } from "node:net";
import { TLSSocket } from "node:tls";
import { buildConnector, Client, type Dispatcher, errors } from "undici";
import type { Milliseconds } from "../../types/index.js";

/** State of a connection. */
export interface ConnectionState {
    /** True once the peer has closed the connection gracefully and everything that it sent was read. */
    ended: boolean;
    /** True once the connection has failed. */
    failed: boolean;
    /** Call whose request was the last one written to the connection. */
    lastCall: CallState | undefined;
    /** True from the write of a request until the head of its response has arrived. */
    awaitsHead: boolean;
    /** @returns the beginning of the bytes that were read last while a head was awaited, as text */
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
    /**
     * Called when bytes are read from the connection while the call is the last one written to it, with the bytes that the
     * connection has received before these.
     */
    onReceived: ((parsedBytes: number) => void) | undefined;
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

/** Maximum bytes of one read. What is left of it when a response has to wait is copied, so it must not grow. */
const maximumReadBytes = 65_536;
/**
 * Maximum bytes of header fields and trailers for undici, which creates an error for each field after it. The limit on the
 * overhead of a response applies before.
 */
const maximumFieldBytes = 262_144;

/** Notes the beginning of each read that may bring a status line, and calls back before undici parses the bytes. */
function trackReads(socket: Socket, mayBeHead: () => boolean, onReceived: (parsedBytes: number) => void): () => string {
    const read = socket.read.bind(socket) as (size?: number) => unknown;
    let last = "";
    socket.read = (size?: number) => {
        const part = read(size ?? (socket.readableLength > maximumReadBytes ? maximumReadBytes : undefined));
        if (Buffer.isBuffer(part)) {
            last = mayBeHead() ? part.toString("latin1", 0, quotedBytes) : last;
            onReceived(socket.bytesRead - socket.readableLength - part.byteLength);
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
        awaitsHead: false,
        quoteLastRead: trackReads(
            socket,
            () => state.awaitsHead,
            parsedBytes => state.lastCall?.onReceived?.(parsedBytes),
        ),
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
            maxHeaderSize: maximumFieldBytes,
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
