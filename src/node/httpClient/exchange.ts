import type { Dispatcher } from "undici";
import type { HeaderTable, Milliseconds } from "../../types/index.js";
import { type ArrivingBody, createArrivingBody, type ReadAheadLimits } from "./bodyReader.js";
import { isMixedHead, resolveFraming } from "./framing.js";
import type { Interruption } from "./interruption.js";
import type { ReadTurn, ReadTurns } from "./readTurns.js";
import { createStatusError, isHttpStatus } from "./responseStatus.js";
import type { SilenceWatch } from "./silenceWatch.js";
import type { CallState, ConnectionState } from "./trackedClient.js";
import type { BodyFraming, HttpHead, HttpRequest, ReceivedBody } from "./types.js";

/** What an exchange needs of its call. */
export interface ExchangeCall {
    readonly interruption: Interruption;
    readonly state: CallState;
    readonly silence: Pick<SilenceWatch, "heard">;
    readonly limits: ReadAheadLimits;
    /** Turns in which responses are read. */
    readonly turns: ReadTurns;
    /** Called when the response has used up its turn, with the time for which its parser has run. */
    onTurnUsed(busy: Milliseconds): void;
    /** Called when the head of the response has arrived. */
    onHead(): void;
    /** Called when a part of the body has arrived. */
    onPart(): void;
    /** Called when nothing more of the response can arrive. */
    onClose(): void;
    /** Describes why the body ended early. */
    describe(cause: unknown, received: ReceivedBody): Error;
}

/** Response whose head has arrived. */
export interface OpenedExchange extends HttpHead {
    readonly framing: BodyFraming;
    readonly body: ArrivingBody;
}

/** Handler of an exchange, with its result. */
export interface Exchange {
    readonly handler: Dispatcher.DispatchHandler;
    /** Resolves when the head has arrived; rejects once none can arrive. */
    readonly opened: Promise<OpenedExchange>;
}

function flattenHeaders(headers: Readonly<Record<string, string | string[] | undefined>>): HeaderTable {
    const flat: Record<string, string> = {};
    for (const name of Object.keys(headers)) {
        const value = headers[name];
        if (value !== undefined) {
            flat[name.toLowerCase()] = Array.isArray(value) ? value.join(", ") : value;
        }
    }
    return flat;
}

/** Tells whether the peer closed the connection; for undici, any end of it completes a response without a length. */
function closedGracefully(connection: ConnectionState | undefined): boolean {
    return connection?.ended === true && !connection.failed;
}

/**
 * Creates the handler of a call, which reads the response directly from the parser. It notes immediately before the
 * request is written to an open connection that it may have reached the peer; after a connection attempt that was
 * refused or timed out, the request counts as not written.
 *
 * @param request - the request
 * @param call - state of the call
 * @returns the handler, to be passed to a client whose calls have their {@link CallState} as `opaque`
 */
export function createExchange(request: Pick<HttpRequest, "method">, call: ExchangeCall): Exchange {
    const { interruption, state } = call;
    let controller: Dispatcher.DispatchController | undefined;
    let body: ArrivingBody | undefined;
    let turn: ReadTurn | undefined;
    let resolveHead: (opened: OpenedExchange) => void;
    let rejectHead: (cause: Error) => void;
    const opened = new Promise<OpenedExchange>((resolve, reject) => {
        resolveHead = resolve;
        rejectHead = reject;
    });

    /**
     * Aborts the call and resets its connection. Undici would close it gracefully, so that a request that a slow network
     * still holds back would arrive and run. It also ignores an abort after the last byte of a response has arrived and
     * keeps the connection; further bytes would be parsed as the response to the next request.
     */
    function abort(reason: Error): void {
        // The connection may already carry another call, which must not be interrupted.
        if (state.connection?.lastCall === state) {
            state.connection.reset();
        }
        controller?.abort(reason);
    }

    function fail(cause: Error): void {
        if (body === undefined) {
            rejectHead(cause);
            abort(cause);
        }
        else {
            body.destroy(cause);
        }
    }

    interruption.onInterrupt(() => {
        // A request that waits for a connection is withdrawn once there is one.
        fail(new Error(state.written ? "the call was aborted" : "aborted before the request was written"));
    });

    return {
        opened,
        handler: {
            onRequestStart: started => {
                controller = started;
                if (interruption.isInterrupted()) {
                    started.abort(new Error("aborted before the request was written"));
                }
                else if (!state.mayWrite()) {
                    started.abort(new Error("the request must not be written any more"));
                }
                state.written = !started.aborted;
                state.connection = state.findConnection?.();
                if (state.connection !== undefined && state.written) {
                    state.connection.lastCall = state;
                    state.connection.awaitsHead = true;
                    state.receivedBeforeCall = state.connection.countReceivedBytes();
                }
            },
            onRequestUpgrade: () => {},
            onResponseStart: (...[, status, received, reason]) => {
                if (!isHttpStatus(status)) {
                    fail(createStatusError(status));
                    return;
                }
                if (status < 200) {
                    return;
                }
                if (state.connection !== undefined) {
                    state.connection.awaitsHead = false;
                }
                const headers = flattenHeaders(received);
                if (isMixedHead(reason ?? "", headers)) {
                    fail(new Error("the head contains the parts of two responses"));
                    return;
                }
                call.onHead();
                const framing = resolveFraming(request, { status, headers });
                turn = call.turns.open({
                    pause: () => controller?.pause(),
                    resume: () => controller?.resume(),
                    onTurnUsed: busy => call.onTurnUsed(busy),
                });
                body = createArrivingBody(call.limits, {
                    abort,
                    onClose: () => {
                        turn?.close();
                        call.onClose();
                    },
                    checkEnd: () => {
                        if (framing === "connection" && !closedGracefully(state.connection)) {
                            throw new Error("the connection failed before the response was known to be complete");
                        }
                    },
                    describe: (cause, bytes) => call.describe(cause, { framing, bytes }),
                });
                resolveHead({ status, headers, framing, body });
            },
            onResponseData: (...[, part]) => {
                state.bodyBytes += part.byteLength;
                call.onPart();
                body?.receive(part);
                turn?.received();
            },
            onResponseEnd: () => body?.end(),
            onResponseError: (...[, cause]) => {
                if (body === undefined) {
                    rejectHead(cause);
                }
                else {
                    body.destroy(cause);
                }
            },
        },
    };
}
