import createRouter from "find-my-way";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Result } from "true-myth/result";
import type { Refusal } from "../../types/index.js";
import { breakOffAnswer, type HttpRouter, readBody, registerStatusRoutes, sendJson } from "../httpServer/index.js";
import { registerDecisionRoute } from "../logging/index.js";
import { readCompletion, readServiceCall } from "./callerRequest.js";
import type { EntryContext } from "./context.js";
import { createHttpSink } from "./httpSink.js";
import type { CallerRequest, RequestPipeline } from "./requestPipeline.js";
import { createStatusReport } from "./statusReport.js";

/** Largest body of a caller's request, in bytes. */
const maximumBodyBytes = 8 * 1024 * 1024;
/** Seconds after which callers of a draining entry instance come back, through the load balancer to another one. */
const drainingRetrySeconds = 1;

/** What the routes need besides the context. */
export interface RouteOptions {
    readonly pipeline: RequestPipeline;
    readonly isDraining: () => boolean;
}

type ReadRequest = (body: Uint8Array, signal: AbortSignal) => Result<CallerRequest, Refusal>;

/**
 * Creates the router of an entry instance: callers' requests, operators' reads, health, readiness and metrics.
 *
 * @param context - the entry instance
 * @param options - pipeline and drain state
 * @returns the router
 */
export function createEntryRouter(context: EntryContext, options: RouteOptions): HttpRouter {
    const router = createRouter({
        defaultRoute: (...[, response]) => sendJson(response, 404, { error: "no route" }),
    });

    async function serve(message: IncomingMessage, response: ServerResponse, read: ReadRequest): Promise<void> {
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
            sendJson(response, 413, {
                error: { ran: "no", reason: "invalid-request", detail: "the body is too large" },
            });
            return;
        }
        const request = read(body, abort.signal);
        if (request.isErr) {
            createHttpSink(response, "", () => undefined).refuse(request.error);
            return;
        }
        const { requestId, receivedAt, deployment } = request.value.row;
        const sink = createHttpSink(response, requestId, () => {
            context.metrics.firstByteMilliseconds.record(context.clock.monotonic() - receivedAt, { deployment });
        });
        await options.pipeline.handle(request.value, sink);
    }

    function start(message: IncomingMessage, response: ServerResponse, read: ReadRequest): void {
        serve(message, response, read).catch((error: unknown) => {
            context.logger.error({ error: String(error) }, "request failed unexpectedly");
            breakOffAnswer(response);
        });
    }

    router.on("POST", "/v1/completions", (message, response) => {
        start(message, response, (body, signal) => readCompletion(context, message, body, signal));
    });
    router.all("/services/:deployment/*", (message, response, parameters) => {
        const deployment = parameters["deployment"] ?? "";
        const path = (message.url ?? "").slice(`/services/${deployment}`.length);
        start(message, response, (body, signal) => readServiceCall(context, message, body, signal, deployment, path));
    });
    router.on("GET", "/operations/status", (...[, response]) => {
        sendJson(response, 200, createStatusReport(context));
    });
    registerDecisionRoute(router, context.decisions);
    registerStatusRoutes(router, {
        readUnreadiness: () => readUnreadiness(context, options),
        renderMetrics: () => context.metrics.registry.render(),
    });
    return router;
}

function readUnreadiness(context: EntryContext, options: RouteOptions): readonly string[] {
    const reasons: string[] = [];
    if (options.isDraining()) {
        reasons.push("draining");
    }
    if (context.store.state.appliedOffset === 0 && !context.store.ready) {
        reasons.push("no state from the log or a peer");
    }
    return reasons;
}
