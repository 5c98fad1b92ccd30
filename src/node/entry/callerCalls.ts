import type { IncomingMessage, ServerResponse } from "node:http";
import type { Refusal } from "../../types/index.js";
import { type CallerWatch, watchCaller } from "../gateway/callers/callerWatch.js";
import { createOpenAnswers } from "../gateway/callers/openAnswers.js";
import { sendJson } from "../httpServer/index.js";
import type { EntryContext } from "./context.js";
import { createHttpSink } from "./httpSink.js";
import { type ResponseSink, shortRetrySeconds } from "./requestPipeline.js";

/** Request of a caller that was not answered completely. */
export interface CallerCall {
    readonly incoming: IncomingMessage;
    readonly response: ServerResponse;
    readonly watch: CallerWatch;
    requestId: string;
    /** Writes the answer. */
    sink: ResponseSink;
    /** True once the request may have been sent to an agent. */
    handedOver: boolean;
}

/** Requests of callers that have not been answered completely. */
export interface CallerCalls {
    /**
     * Adds a request until its answer is sent or its connection has closed.
     *
     * @param incoming - the request
     * @param response - response to the caller
     * @returns the request with the sink for its answer
     */
    open(incoming: IncomingMessage, response: ServerResponse): CallerCall;
    /**
     * Refuses a request that was not handed over.
     *
     * @param call - the request
     * @param refusal - the reason
     */
    reject(call: CallerCall, refusal: Refusal): void;
    /**
     * Answers a request whose body is too large.
     *
     * @param call - the request
     */
    rejectLargeBody(call: CallerCall): void;
    /**
     * Ends a request whose handler threw.
     *
     * @param call - the request
     * @param error - what was thrown
     */
    failUnexpectedly(call: CallerCall, error: unknown): void;
    /** Refuses all open requests, since the time for the drain is over. */
    endDrain(): void;
}

/**
 * Creates the set of the open requests of an entry instance, which logs and counts how they end.
 *
 * @param context - the entry instance
 * @returns the set, without requests
 */
export function createCallerCalls({ clock, logger, metrics }: EntryContext): CallerCalls {
    const calls = new WeakMap<IncomingMessage, { readonly call: CallerCall; readonly receivedAt: number; }>();
    let draining = false;
    const answers = createOpenAnswers({
        onEnd: ending => metrics.callerAnswers.add(1, { ending }),
        onCut: ({ incoming, closedBy, ...cut }) => {
            if (draining || closedBy === "gateway") {
                logger.warn(
                    { ...describe(incoming), ...cut, closedBy: closedBy === "gateway" ? "entry" : closedBy },
                    "answer cut off",
                );
            }
        },
    });

    function describe(incoming: IncomingMessage): Readonly<Record<string, unknown>> {
        const found = calls.get(incoming);
        return {
            requestId: found?.call.requestId,
            path: incoming.url,
            durationMilliseconds: found === undefined ? undefined : Math.round(clock.monotonic() - found.receivedAt),
        };
    }

    function recordRejected({ incoming, response }: CallerCall, reason: string, detail?: string): void {
        if (!incoming.complete && !response.headersSent) {
            // The rest of the body is not read, so the connection cannot carry another request.
            response.setHeader("connection", "close");
        }
        metrics.rejected.add(1, { reason });
        logger.warn({ ...describe(incoming), reason, ...(detail === undefined ? {} : { detail }) }, "request rejected");
    }

    return {
        open: (incoming, response) => {
            const watch = watchCaller(incoming, response);
            const sink = createHttpSink(response, "", () => undefined);
            const call: CallerCall = { incoming, response, watch, requestId: "", sink, handedOver: false };
            calls.set(incoming, { call, receivedAt: clock.monotonic() });
            answers.add(incoming, response, {
                onDrainEnd: () => {
                    if (!response.headersSent) {
                        response.setHeader("connection", "close");
                    }
                    watch.endDrain();
                },
                readAbortReason: watch.readReason,
            });
            return call;
        },
        reject: (call, refusal) => {
            recordRejected(call, refusal.reason, refusal.detail);
            call.sink.refuse(refusal);
        },
        rejectLargeBody: call => {
            recordRejected(call, "body-too-large");
            call.response.setHeader("connection", "close");
            const error = { ran: "no", reason: "invalid-request", detail: "the body is too large" };
            sendJson(call.response, 413, { error });
        },
        failUnexpectedly: (call, error) => {
            const { response, sink } = call;
            logger.error({ ...describe(call.incoming), error: String(error) }, "request failed unexpectedly");
            metrics.rejected.add(1, { reason: "internal" });
            if (response.writableEnded) {
                return;
            }
            if (sink.begun || !response.headersSent) {
                const retryAfterSeconds = call.handedOver ? 0 : shortRetrySeconds;
                sink.refuse({ ran: call.handedOver ? "unknown" : "no", reason: "internal-error", retryAfterSeconds });
            }
            if (!response.writableEnded) {
                answers.breakOff(response, "exception");
            }
        },
        endDrain: () => {
            draining = true;
            answers.endDrain();
        },
    };
}
