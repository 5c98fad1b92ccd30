import type { IncomingMessage, ServerResponse } from "node:http";
import type { Logger } from "pino";
import { err, ok, type Result } from "true-myth/result";
import {
    anonymousAccount,
    computeFingerprint,
    createCallerTimeoutTable,
    estimatePriorWait,
    resolveRoute,
    type RouteTable,
    selectService,
} from "../../../runtime/gateway/index.js";
import { computePartFingerprints } from "../../../runtime/retry/index.js";
import {
    type CallerCall,
    type CallerProtocol,
    type Clock,
    createError,
    type GatewayConfiguration,
    type GoldcrestpointError,
    type HeaderTable,
    type Milliseconds,
    type RouteRow,
} from "../../../types/index.js";
import { sleep } from "../../../utils/index.js";
import { hasUndecodedTransferCoding } from "../../httpClient/index.js";
import {
    createIncompleteHeads,
    DrainableServer,
    joinHeaders,
    measureHead,
    readBody,
    splitAddress,
} from "../../httpServer/index.js";
import type { HeldMemory } from "../../memory/index.js";
import type { GatewayMetrics } from "../gatewayMetrics.js";
import type { GatewayRequest } from "../types.js";
import { type ArrivedRequest, createArrivedRequests } from "./arrivedRequests.js";
import { createRejections } from "./callerRejections.js";
import { watchCaller } from "./callerWatch.js";
import { createConnectionLog } from "./connectionLog.js";
import { createBodyMemory, holdRequest } from "./heldRequests.js";
import { createOpenAnswers, type OpenAnswerCounts } from "./openAnswers.js";
import { createPollQueue } from "./pollQueue.js";
import { createRequestTurns } from "./requestTurns.js";
import { chooseTimeLimit } from "./timeLimit.js";

/** Dependencies of {@link startCallerServer}. */
export interface CallerServerInput {
    readonly address: string;
    readonly protocol: CallerProtocol;
    readonly clock: Clock;
    readonly routes: () => RouteTable | undefined;
    readonly serve: (request: GatewayRequest) => Promise<void>;
    readonly metrics: GatewayMetrics;
    readonly memory: HeldMemory;
    /** Share of the target latency for which a request may wait in the queue. */
    readonly waitShare: number;
    /** Time after the disposal at which the connections that are left are destroyed. */
    readonly closeTimeLimit: Milliseconds;
    /** Time within which a change of the configuration is in force at all gateways. */
    readonly configurationLimit: Milliseconds;
    readonly logger: Logger;
}

/** Running HTTP server for callers. */
export interface CallerServer extends AsyncDisposable {
    /** Applies the limits of a configuration. */
    applyConfiguration(configuration: Pick<GatewayConfiguration, "limits" | "revision">): void;
    /** Asks callers from now on to close their connections, with `connection: close`. */
    beginShutdown(): void;
    /**
     * Refuses further requests, stops accepting connections, and closes each one as soon as it owes no answer.
     *
     * @param timeLimit - time in which connections that have arrived are accepted
     */
    stopAccepting(timeLimit: Milliseconds): Promise<void>;
    /** Counts the answers that have not been sent completely, including those that have not begun. */
    readonly countOpen: () => OpenAnswerCounts;
}

/** Largest priority value. A request's priority is this value minus its urgency, since the two scales are opposite. */
const highestPriority = 9;
/** Retry time in seconds while the gateway has no configuration or no service for the route. */
const unconfiguredRetryAfterSeconds = 0.5;
/** Maximum size of a head until a configuration is known. */
const initialHeadSizeLimit = 16_384;
/** Maximum size of a head in any configuration, and with it of the memory that an incomplete one uses. */
const headSizeCeiling = 1_048_576;
/** Longest time for which requests wait to be refused until the server has stopped listening. */
const longestRefusalWait: Milliseconds = 500;

/**
 * Starts the HTTP server for callers.
 *
 * @param input - address, protocol and handler of requests
 * @returns the server, or an error if the address cannot be bound
 */
export function startCallerServer(input: CallerServerInput): Promise<Result<CallerServer, GoldcrestpointError>> {
    const { clock, metrics, protocol } = input;
    const arrived = createArrivedRequests(clock, input.configurationLimit);
    const answers = createOpenAnswers({
        onEnd: sending => metrics.countSentAnswer(sending, arrived.isConfigurationRecent()),
        onCut: ({ incoming, ...cut }) => {
            // A caller that leaves is of interest only in a shutdown.
            if (closing || cut.closedBy === "gateway") {
                input.logger.warn(
                    { ...arrived.describe(incoming), ...cut, ...arrived.find(incoming)?.brokenAttempt },
                    "answer cut off",
                );
            }
        },
    });
    let closing = false;
    let refusalWait: Promise<void> | undefined;
    let stoppedAt: Milliseconds = Infinity;
    const connectionLog = createConnectionLog(metrics, input.logger, arrived, input.memory);
    const turns = createRequestTurns(connectionLog.onUnanswerable);
    const callerTimeouts = createCallerTimeoutTable();
    const pollQueue = createPollQueue();

    const { endWithoutBody, fail, reject, rejectForMemory } = createRejections({
        arrived,
        answers,
        metrics,
        logger: input.logger,
    });

    function readPriorWait({ callerTimeout }: CallerCall, route: RouteRow): Milliseconds {
        return callerTimeout === undefined ? 0 : estimatePriorWait(callerTimeouts, route.name, callerTimeout);
    }

    /** Reads the body of a request that waits for its turn; the end of the connection is not noticed behind an unread one. */
    function readAhead(incoming: IncomingMessage, request: ArrivedRequest): void {
        const limit = input.routes()?.configuration.limits.bodyBytes;
        if (input.memory.isRefusing()) {
            request.dropped.abort();
            incoming.resume();
            return;
        }
        const bodyMemory = createBodyMemory(request, input.memory, false);
        request.body = limit === undefined ? undefined : readBody(incoming, limit, bodyMemory).then(body => {
            request.bodyReadAt = clock.monotonic();
            return body;
        });
    }

    async function handle(incoming: IncomingMessage, response: ServerResponse): Promise<void> {
        const request = arrived.find(incoming) ?? arrived.add(incoming);
        const { receivedAt } = request;
        const held = request.held ?? holdRequest(request, incoming, response, input.memory);
        const watch = watchCaller(incoming, response);
        request.dropped.signal.addEventListener("abort", () => {
            if (response.destroyed) {
                return;
            }
            watch.endForMemory();
            if (response.headersSent) {
                answers.breakOff(response, "memory-limit");
            }
        }, { once: true });
        answers.add(incoming, response, {
            onDrainEnd: () => {
                if (!response.headersSent) {
                    response.setHeader("connection", "close");
                }
                watch.endDrain();
            },
            readAbortReason: watch.readReason,
        });
        if (closing) {
            response.setHeader("connection", "close");
        }
        if (receivedAt >= stoppedAt) {
            // Callers return after a refusal, and the close of the listener resets connections that wait to be accepted.
            await refusalWait;
        }
        if (measureHead(incoming) > server.headSizeLimit) {
            response.setHeader("connection", "close");
            reject(incoming, response, 431, "head-too-large");
            return;
        }
        if (request.dropped.signal.aborted || (input.memory.isRefusing() && request.body === undefined)) {
            rejectForMemory(incoming, response);
            return;
        }
        const headers: HeaderTable = joinHeaders(incoming);
        const call = protocol.decodeCall(headers);
        request.requestId = call?.requestId;
        const routes = input.routes();
        if (routes === undefined) {
            reject(incoming, response, 503, "no-configuration", unconfiguredRetryAfterSeconds);
            return;
        }
        const method = incoming.method ?? "GET";
        const path = incoming.url ?? "/";
        const resolution = resolveRoute(routes, { host: headers["host"], path, apiKey: call?.apiKey });
        if (resolution.kind !== "found") {
            reject(incoming, response, resolution.kind === "no-route" ? 404 : 401, resolution.kind);
            return;
        }
        if (call === undefined) {
            reject(incoming, response, 400, "no-request-id");
            return;
        }
        const { account, route } = resolution;
        const clientAccount = account?.name ?? anonymousAccount;
        const service = routes.services.get(selectService(route, call.requestId) ?? "");
        if (service === undefined) {
            reject(incoming, response, 503, "no-service", unconfiguredRetryAfterSeconds);
            return;
        }
        if (hasUndecodedTransferCoding(headers)) {
            reject(incoming, response, 501, "transfer-coding");
            return;
        }
        const limit = routes.configuration.limits.bodyBytes;
        const timeLimit = chooseTimeLimit(call, route, routes.configuration.revision);
        const { duration } = timeLimit;
        request.timeLimit = timeLimit;
        watch.setTimeLimit(receivedAt + duration - clock.monotonic(), timeLimit.kind);
        const body = Number(headers["content-length"] ?? 0) > limit ?
            undefined :
            await Promise.race([
                request.body ?? readBody(incoming, limit, createBodyMemory(request, input.memory, true)),
                watch.ended,
            ]);
        if (body === undefined) {
            if (response.headersSent) {
                // The server has refused the body as malformed.
                return;
            }
            const reason = incoming.errored instanceof Error ? "caller-gone" : watch.readReason();
            endWithoutBody[reason ?? "too-large"](incoming, response);
            return;
        }
        if ((request.bodyReadAt ?? clock.monotonic()) >= stoppedAt) {
            // The request could outlast the drain; another gateway can complete it.
            response.setHeader("connection", "close");
            reject(incoming, response, 503, "shutting-down", 0);
            return;
        }
        held.run();
        const completeAt = clock.monotonic();
        // Detects a caller that disconnected before its request was read, so that the request is not forwarded.
        await pollQueue.awaitPoll();
        request.handedOver = true;
        const rank = Math.max(0, Math.min(account?.urgency ?? route.urgency, highestPriority));
        const priorWait = readPriorWait(call, route);
        const endsAt = receivedAt + duration;
        const missedTarget = priorWait + completeAt - receivedAt > route.targetLatency;
        try {
            await input.serve({
                row: {
                    requestId: call.requestId,
                    deployment: service.name,
                    clientAccount,
                    priority: highestPriority - rank,
                    deadline: receivedAt + duration,
                    receivedAt,
                    idempotent: route.kind === "safe" || (route.kind === "streaming" && route.resumable),
                    idempotencyKey: undefined,
                    fingerprint: computeFingerprint({ method, path, account: clientAccount, body }),
                    partFingerprints: computePartFingerprints(service.name, call.sharedParts),
                    prefix: undefined,
                    missedTarget,
                    hasReturned: priorWait > 0,
                    endsAt,
                },
                call,
                route,
                service,
                account,
                engineRank: routes.rankedServices.has(service.name) ? rank : undefined,
                method,
                path,
                headers,
                body,
                completeAt,
                latestStart: Math.min(endsAt, completeAt + route.targetLatency * input.waitShare),
                endsAt,
                response,
                incoming,
                held,
                signal: watch.signal,
                readAbortReason: watch.readReason,
                breakOff: attempt => {
                    request.brokenAttempt = attempt;
                    answers.breakOff(response);
                },
            });
        }
        finally {
            watch.clearTimeLimit();
        }
    }

    const server = new DrainableServer(
        { maxHeaderSize: headSizeCeiling, requireHostHeader: false },
        (incoming, response) => {
            const request = arrived.add(incoming);
            holdRequest(request, incoming, response, input.memory);
            const isServed = turns.take(incoming, response, () => {
                handle(incoming, response).catch((error: unknown) => fail(incoming, response, error));
            });
            if (!isServed) {
                readAhead(incoming, request);
            }
        },
        clock,
        connectionLog,
    );
    server.requestTimeout = 0;
    server.heads = createIncompleteHeads(end => input.memory.hold(end));
    server.headSizeLimit = initialHeadSizeLimit;
    // By default, Node leaves out header fields beyond the 2,000th.
    server.maxHeadersCount = 0;

    return new Promise(resolve => {
        server.once("error", error => {
            resolve(err(createError("PEER_UNREACHABLE", "bind caller server", input.address, error.message)));
        });
        const { host, port } = splitAddress(input.address);
        server.listen({ host, port, backlog: 1_024 }, () => {
            resolve(ok({
                applyConfiguration: ({ limits, revision }) => {
                    arrived.recordConfiguration(revision);
                    server.headSizeLimit = limits.headerBytes;
                    server.headTimeLimit = limits.headerTimeout;
                    server.keepAliveTimeout = limits.idleTimeout;
                },
                beginShutdown: () => {
                    closing = true;
                },
                stopAccepting: timeLimit => {
                    stoppedAt = clock.monotonic();
                    const stopping = server.stopAccepting(timeLimit);
                    refusalWait = Promise.race([stopping, sleep(longestRefusalWait)]);
                    return stopping;
                },
                countOpen: answers.count,
                [Symbol.asyncDispose]: async () => {
                    await server.stopAccepting(0);
                    answers.endDrain();
                    await server.stop(input.closeTimeLimit);
                },
            }));
        });
    });
}
