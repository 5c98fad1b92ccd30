import createRouter from "find-my-way";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Result } from "true-myth/result";
import type { Refusal } from "../../types/index.js";
import { createResponseMemoryLimit } from "../httpClient/index.js";
import { type HttpRouter, readBody, registerStatusRoutes, sendJson } from "../httpServer/index.js";
import { registerDecisionRoute } from "../logging/index.js";
import type { CallerCall, CallerCalls } from "./callerCalls.js";
import { parseCompletionRequest, parseServiceRequest } from "./callerRequest.js";
import type { EntryContext } from "./context.js";
import { createHttpSink } from "./httpSink.js";
import { type CallerRequest, type RequestPipeline, shortRetrySeconds } from "./requestPipeline.js";
import { createStatusReport } from "./statusReport.js";

/** Size of the largest request body that is accepted, in bytes. */
const maximumBodyBytes = 8 * 1024 * 1024;
/** Bytes of all answers that are held back until they are complete; beyond it, the largest ones are dropped. */
const maximumHeldAnswerBytes = 128 * 1024 * 1024;

const draining: Refusal = { ran: "no", reason: "draining", retryAfterSeconds: shortRetrySeconds };

/** Options of {@link createEntryRouter}. */
export interface RouteOptions {
    readonly pipeline: RequestPipeline;
    readonly calls: CallerCalls;
    readonly isDraining: () => boolean;
}

type ParseRequest = (body: Uint8Array, signal: AbortSignal) => Result<CallerRequest, Refusal>;

/**
 * Creates the HTTP router of an entry instance, with routes for callers' requests, operators' queries, health,
 * readiness and metrics.
 *
 * @param context - the entry instance
 * @param options - pipeline, open requests and drain state
 * @returns the router
 */
export function createEntryRouter(context: EntryContext, options: RouteOptions): HttpRouter {
    const router = createRouter({
        defaultRoute: (...[, response]) => sendJson(response, 404, { error: "no route" }),
    });

    const { calls } = options;
    const heldAnswers = createResponseMemoryLimit(maximumHeldAnswerBytes);

    async function handleRequest(call: CallerCall, parseRequest: ParseRequest): Promise<void> {
        const { incoming, response, watch } = call;
        if (options.isDraining()) {
            response.setHeader("connection", "close");
            calls.reject(call, draining);
            return;
        }
        const body = await Promise.race([readBody(incoming, maximumBodyBytes), watch.ended]);
        if (body === undefined) {
            endWithoutBody(call);
            return;
        }
        const request = parseRequest(body, watch.signal);
        if (request.isErr) {
            calls.reject(call, request.error);
            return;
        }
        const { requestId, receivedAt, deployment } = request.value.row;
        call.requestId = requestId;
        call.sink = createHttpSink(response, requestId, () => {
            context.metrics.firstByteMilliseconds.record(context.clock.monotonic() - receivedAt, { deployment });
        }, heldAnswers);
        call.handedOver = true;
        await options.pipeline.handle(
            { ...request.value, isDrainOver: () => watch.readReason() === "shutdown" },
            call.sink,
        );
    }

    function endWithoutBody(call: CallerCall): void {
        const reason = call.incoming.errored instanceof Error ? "caller-gone" : call.watch.readReason();
        if (reason === "shutdown") {
            calls.reject(call, draining);
        }
        else if (reason === undefined) {
            calls.rejectLargeBody(call);
        }
        else {
            call.response.destroy();
        }
    }

    function startRequest(message: IncomingMessage, response: ServerResponse, parseRequest: ParseRequest): void {
        const call = calls.open(message, response);
        handleRequest(call, parseRequest).catch((error: unknown) => calls.failUnexpectedly(call, error));
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
