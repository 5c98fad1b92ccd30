import type { IncomingMessage, ServerResponse } from "node:http";
import type { Logger } from "pino";
import { type GatewayStatus, sendGatewayAnswer } from "../answers/callerAnswer.js";
import type { GatewayMetrics } from "../gatewayMetrics.js";
import type { AbortReason } from "../types.js";
import type { ArrivedRequests } from "./arrivedRequests.js";
import type { OpenAnswers } from "./openAnswers.js";

/** Dependencies of {@link createRejections}. */
export interface RejectionsInput {
    readonly arrived: Pick<ArrivedRequests, "describe" | "find">;
    readonly answers: Pick<OpenAnswers, "breakOff">;
    readonly metrics: Pick<GatewayMetrics, "countRejected">;
    readonly logger: Logger;
}

type EndRequest = (incoming: IncomingMessage, response: ServerResponse) => void;

/** Ends requests that are not handed over to a backend server, with a log line and a count. */
export interface Rejections {
    /**
     * Refuses a request.
     *
     * @param incoming - the request
     * @param response - its answer
     * @param status - HTTP status
     * @param reason - reason in the log and the counters
     * @param retryAfterSeconds - time after which the caller may repeat it. Default: none is stated
     */
    readonly reject: (
        incoming: IncomingMessage,
        response: ServerResponse,
        status: GatewayStatus,
        reason: string,
        retryAfterSeconds?: number,
    ) => void;
    /** Refuses a request because its memory is needed for others. */
    readonly rejectForMemory: EndRequest;
    /** Ends a request whose handling threw an exception. */
    readonly fail: (incoming: IncomingMessage, response: ServerResponse, error: unknown) => void;
    /** Ends a request whose body was not read, by the reason. */
    readonly endWithoutBody: Readonly<Record<AbortReason | "too-large", EndRequest>>;
}

/** Retry time in seconds after a refusal at the memory limit; what is stalled ends after two seconds at most. */
const memoryRetryAfterSeconds = 1;

function sendRefusal(
    incoming: IncomingMessage,
    response: ServerResponse,
    status: GatewayStatus,
    refusal: Parameters<typeof sendGatewayAnswer>[2],
): void {
    if (!incoming.complete && !incoming.readableEnded) {
        // The rest of the body is not read, so the connection cannot carry another request.
        response.setHeader("connection", "close");
    }
    sendGatewayAnswer(response, status, refusal);
}

/**
 * Creates the functions that end requests before they are handed over.
 *
 * @param input - requests that have arrived, log and counters
 * @returns the functions
 */
export function createRejections({ answers, arrived, logger, metrics }: RejectionsInput): Rejections {
    function log(incoming: IncomingMessage, fields: Readonly<Record<string, unknown>>): void {
        logger.warn({ ...arrived.describe(incoming), ...fields, host: incoming.headers.host }, "request rejected");
    }

    function reject(
        incoming: IncomingMessage,
        response: ServerResponse,
        status: GatewayStatus,
        reason: string,
        retryAfterSeconds?: number,
    ): void {
        metrics.countRejected(reason);
        log(incoming, { status, reason });
        sendRefusal(incoming, response, status, {
            ran: "no",
            reason: "invalid-request",
            ...(retryAfterSeconds === undefined ? {} : { retryAfterSeconds }),
        });
    }

    const rejectSlowBody: EndRequest = (incoming, response) => reject(incoming, response, 408, "body-too-slow");

    const rejectForMemory: EndRequest = (incoming, response) =>
        reject(incoming, response, 503, "memory-limit", memoryRetryAfterSeconds);

    return {
        reject,
        rejectForMemory,
        fail: (incoming, response, error) => {
            const detail = error instanceof Error ? error.stack ?? error.message : String(error);
            const ran = arrived.find(incoming)?.handedOver === true ? "unknown" : "no";
            const status = ran === "unknown" ? 502 : 503;
            metrics.countRejected("internal");
            log(incoming, { status, reason: "internal", detail });
            if (response.headersSent) {
                answers.breakOff(response, "exception");
                return;
            }
            sendRefusal(incoming, response, status, { ran, reason: "internal-error" });
        },
        endWithoutBody: {
            "caller-gone": (...[, response]) => void response.destroy(),
            "caller-timeout": rejectSlowBody,
            "memory-limit": rejectForMemory,
            "route-timeout": rejectSlowBody,
            shutdown: (incoming, response) => reject(incoming, response, 503, "shutting-down", 0),
            "too-large": (incoming, response) => reject(incoming, response, 413, "body-too-large"),
        },
    };
}
