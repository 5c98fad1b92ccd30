import createRouter from "find-my-way";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Result } from "true-myth/result";
import type { Refusal } from "../../types/index.js";
import { createResponseMemoryLimit } from "../httpClient/index.js";
import { abortResponse, type HttpRouter, readBody, registerStatusRoutes, sendJson } from "../httpServer/index.js";
import { registerDecisionRoute } from "../logging/index.js";
import { parseCompletionRequest, parseServiceRequest } from "./callerRequest.js";
import type { EntryContext } from "./context.js";
import { createHttpSink } from "./httpSink.js";
import type { CallerRequest, RequestPipeline } from "./requestPipeline.js";
import { createStatusReport } from "./statusReport.js";

/** Size of the largest request body that is accepted, in bytes. */
const maximumBodyBytes = 8 * 1024 * 1024;
/** Bytes of all answers that are held back until they are complete; beyond it, the largest ones are dropped. */
const maximumHeldAnswerBytes = 128 * 1024 * 1024;
/** `Retry-After` of a draining entry instance, in seconds; the load balancer sends the retry to another one. */
const drainingRetrySeconds = 1;

/** Options of {@link createEntryRouter}. */
export interface RouteOptions {
    readonly pipeline: RequestPipeline;
    readonly isDraining: () => boolean;
}

type ParseRequest = (body: Uint8Array, signal: AbortSignal) => Result<CallerRequest, Refusal>;

/**
 * Creates the HTTP router of an entry instance, with routes for callers' requests, operators' queries, health,
 * readiness and metrics.
 *
 * @param context - the entry instance
 * @param options - pipeline and drain state
 * @returns the router
 */
export function createEntryRouter(context: EntryContext, options: RouteOptions): HttpRouter {
    const router = createRouter({
        defaultRoute: (...[, response]) => sendJson(response, 404, { error: "no route" }),
    });

    const heldAnswers = createResponseMemoryLimit(maximumHeldAnswerBytes);

    async function handleRequest(
        message: IncomingMessage,
        response: ServerResponse,
        parseRequest: ParseRequest,
    ): Promise<void> {
        const abort = new AbortController();
        response.on("close", () => {
            if (!response.writableFinished) {
                abort.abort();
            }
        });
        if (options.isDraining()) {
            response.setHeader("connection", "close");
            createHttpSink(response, "", () => undefined)
                .refuse({ ran: "no", reason: "draining", retryAfterSeconds: drainingRetrySeconds });
            return;
        }
        const body = await readBody(message, maximumBodyBytes);
        if (body === undefined) {
            response.setHeader("connection", "close");
            sendJson(response, 413, {
                error: { ran: "no", reason: "invalid-request", detail: "the body is too large" },
            });
            return;
        }
        const request = parseRequest(body, abort.signal);
        if (request.isErr) {
            createHttpSink(response, "", () => undefined).refuse(request.error);
            return;
        }
        const { requestId, receivedAt, deployment } = request.value.row;
        const sink = createHttpSink(response, requestId, () => {
            context.metrics.firstByteMilliseconds.record(context.clock.monotonic() - receivedAt, { deployment });
        }, heldAnswers);
        await options.pipeline.handle(request.value, sink);
    }

    function startRequest(message: IncomingMessage, response: ServerResponse, parseRequest: ParseRequest): void {
        handleRequest(message, response, parseRequest).catch((error: unknown) => {
            context.logger.error({ error: String(error) }, "request failed unexpectedly");
            if (response.headersSent) {
                abortResponse(response);
                return;
            }
            createHttpSink(response, "", () => undefined)
                .refuse({ ran: "unknown", reason: "internal-error", retryAfterSeconds: 0 });
        });
    }

    router.on("POST", "/v1/completions", (message, response) => {
        startRequest(message, response, (body, signal) => parseCompletionRequest(context, message, body, signal));
    });
    router.all("/services/:deployment/*", (message, response, parameters) => {
        const deployment = parameters["deployment"] ?? "";
        const path = (message.url ?? "").slice(`/services/${deployment}`.length);
        startRequest(
            message,
            response,
            (body, signal) => parseServiceRequest(context, message, body, signal, deployment, path),
        );
    });
    router.on("GET", "/operations/status", (...[, response]) => {
        sendJson(response, 200, createStatusReport(context));
    });
    registerDecisionRoute(router, context.decisions);
    registerStatusRoutes(router, {
        listUnreadyReasons: () => listUnreadyReasons(context, options),
        renderMetrics: () => context.metrics.registry.render(),
    });
    return router;
}

function listUnreadyReasons(context: EntryContext, options: RouteOptions): readonly string[] {
    const reasons: string[] = [];
    if (options.isDraining()) {
        reasons.push("draining");
    }
    if (context.store.state.appliedOffset === 0 && !context.store.ready) {
        reasons.push("no state from the log or a peer");
    }
    return reasons;
}
