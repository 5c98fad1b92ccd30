import type { Milliseconds, RefusalReason } from "../../types/index.js";
import type { ListeningState } from "../crashes/index.js";
import type { BodyFraming } from "../httpClient/index.js";
import type { ConnectionCloseReason } from "../httpServer/index.js";
import type { Metrics } from "../metrics/index.js";
import type { AnswerSending } from "./callers/openAnswers.js";
import type { AnswerEnding, GatewayRequest } from "./types.js";

/** Outcome of a request in the counters. */
export type RequestOutcome = "answered" | "refused" | "failed" | "server-error" | "broken-off" | "canceled";

/** Reason of a closed connection in the counters; `crossed` if a request arrived after the close. */
export type ClosedConnectionReason = ConnectionCloseReason | "crossed";

/** Counters and latency histograms of a gateway. */
export interface GatewayMetrics {
    countOutcome(request: GatewayRequest, outcome: RequestOutcome): void;
    /** Counts a request that was refused before it was sent to a backend server. */
    countRefusal(request: GatewayRequest, reason: RefusalReason): void;
    countRetry(request: GatewayRequest): void;
    /** Counts a retry that runs beside a silent or slow attempt, in addition to `countRetry`. */
    countHedge(request: GatewayRequest): void;
    /** Counts an answer of a backend server whose body was read. */
    countAnswer(request: GatewayRequest, framing: BodyFraming, ending: AnswerEnding): void;
    /**
     * Counts an answer to a caller that has ended.
     *
     * @param sending - `sent`, or why it was cut
     * @param configurationRecent - true if the configuration has just changed
     */
    countSentAnswer(sending: AnswerSending, configurationRecent: boolean): void;
    /** Counts a check of a backend server whose connection broke. */
    countCheck(service: string, state: ListeningState): void;
    recordWait(request: GatewayRequest, duration: Milliseconds): void;
    recordFirstByte(request: GatewayRequest, duration: Milliseconds): void;
    /** Counts a request that the configuration does not allow, or that arrived before there was a configuration. */
    countRejected(reason: string): void;
    /** Counts a connection of a caller that was closed without an answer on it, or a request that crossed the close. */
    countClosedConnection(reason: ClosedConnectionReason): void;
}

/**
 * Creates the metrics of a gateway.
 *
 * @param metrics - metrics of the process
 * @returns functions that record what happens
 */
export function createGatewayMetrics(metrics: Metrics): GatewayMetrics {
    const outcomes = metrics.createCounter({
        name: "goldcrestpoint_gateway_requests_total",
        documentation: "Requests by service, route kind and outcome.",
    });
    const refusals = metrics.createCounter({
        name: "goldcrestpoint_gateway_refusals_total",
        documentation: "Requests refused before they were sent to a backend server, by service and reason.",
    });
    const retries = metrics.createCounter({
        name: "goldcrestpoint_gateway_retries_total",
        documentation: "Retries of requests, by service.",
    });
    const hedges = metrics.createCounter({
        name: "goldcrestpoint_gateway_hedges_total",
        documentation: "Retries that run beside a silent or slow attempt, by service.",
    });
    const answers = metrics.createCounter({
        name: "goldcrestpoint_gateway_answers_total",
        documentation: "Answers of backend servers whose body was read, by service, framing and ending.",
    });
    const sentAnswers = metrics.createCounter({
        name: "goldcrestpoint_gateway_caller_answers_total",
        documentation: "Answers to callers by how they ended (`sent`, or why they were cut), beside changes of the " +
            "configuration (`recent`) and apart from them (`settled`).",
    });
    const checks = metrics.createCounter({
        name: "goldcrestpoint_gateway_server_checks_total",
        documentation: "Backend servers that were checked after a connection broke, by service and outcome.",
    });
    const rejected = metrics.createCounter({
        name: "goldcrestpoint_gateway_rejected_total",
        documentation: "Requests rejected before admission, by reason.",
    });
    const closed = metrics.createCounter({
        name: "goldcrestpoint_gateway_connections_closed_total",
        documentation: "Connections of callers that were closed while no answer was open, by reason.",
    });
    const waits = metrics.createHistogram({
        name: "goldcrestpoint_gateway_admission_wait_milliseconds",
        documentation: "Time in the queue of the gateway, by service.",
    });
    const firstBytes = metrics.createHistogram({
        name: "goldcrestpoint_gateway_first_byte_milliseconds",
        documentation: "Time from the request to the first byte sent to the caller, by service and route kind.",
    });
    return {
        countOutcome: ({ route, service }, outcome) =>
            outcomes.add(1, { service: service.name, kind: route.kind, outcome }),
        countRefusal: ({ service }, reason) => refusals.add(1, { service: service.name, reason }),
        countRetry: ({ service }) => retries.add(1, { service: service.name }),
        countHedge: ({ service }) => hedges.add(1, { service: service.name }),
        countAnswer: ({ service }, framing, ending) => answers.add(1, { service: service.name, framing, ending }),
        countSentAnswer: (ending, configurationRecent) =>
            sentAnswers.add(1, { ending, configuration: configurationRecent ? "recent" : "settled" }),
        countCheck: (service, outcome) => checks.add(1, { service, outcome }),
        countRejected: reason => rejected.add(1, { reason }),
        countClosedConnection: reason => closed.add(1, { reason }),
        recordWait: ({ service }, duration) => waits.record(duration, { service: service.name }),
        recordFirstByte: ({ route, service }, duration) =>
            firstBytes.record(duration, { service: service.name, kind: route.kind }),
    };
}

/** Counts of what makes backend servers ineligible. */
export interface EligibilityCounts {
    readonly countEvacuated: () => number;
    readonly countCold: () => number;
}

/**
 * Adds the gauges of evacuated zones and cold backend servers.
 *
 * @param metrics - metrics of the process
 * @param counts - source of the values
 */
export function registerEligibilityGauges(metrics: Metrics, { countCold, countEvacuated }: EligibilityCounts): void {
    metrics.registerGauge({
        name: "goldcrestpoint_gateway_evacuated_zones",
        documentation: "Zones to which nothing is sent, since the operator has evacuated them.",
    }, countEvacuated);
    metrics.registerGauge({
        name: "goldcrestpoint_gateway_cold_backend_servers",
        documentation: "Backend servers that get requests at intervals only, since they are cold or may be.",
    }, countCold);
}
