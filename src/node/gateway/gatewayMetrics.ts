import type { BufferCollection } from "../../runtime/memory/index.js";
import type { Milliseconds, RefusalReason, RequestRow, ServiceRow } from "../../types/index.js";
import type { ListeningState } from "../crashes/index.js";
import type { BodyFraming } from "../httpClient/index.js";
import type { ConnectionCloseReason } from "../httpServer/index.js";
import type { EndedHolding, HeldMemory } from "../memory/index.js";
import type { Metrics } from "../metrics/index.js";
import type { RecordRelay, RecordStore } from "../replica/index.js";
import type { AnswerSending } from "./callers/openAnswers.js";
import type { AnswerEnding, GatewayRequest } from "./types.js";

/** Outcome of a request in the counters. */
export type RequestOutcome = "answered" | "refused" | "failed" | "server-error" | "broken-off" | "canceled";

/** Reason of a closed connection in the counters; `crossed` if a request arrived after the close. */
export type ClosedConnectionReason = ConnectionCloseReason | "crossed";

/** Largest priority; its rank is 0. */
const highestPriority = 9;

/** Counters and latency histograms of a gateway. */
export interface GatewayMetrics {
    countOutcome(request: GatewayRequest, outcome: RequestOutcome): void;
    /** Counts a request that was refused before it was sent to a backend server. */
    countRefusal(request: GatewayRequest, reason: RefusalReason): void;
    countRetry(request: GatewayRequest): void;
    /** Counts a retry that runs beside a silent or slow attempt, in addition to `countRetry`. */
    countHedge(request: GatewayRequest): void;
    /** Counts a turn of the event loop that a response of a backend server has used up. */
    countUsedTurn(service: string): void;
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
    /** Records how long an attempt took to bring its first event, and how long it was expected to. */
    recordFirstEvent(service: ServiceRow, expected: Milliseconds, observed: Milliseconds): void;
    /** Counts a request that the configuration does not allow, or that arrived before there was a configuration. */
    countRejected(reason: string): void;
    /** Counts a request or an answer that was ended to free memory. */
    countEndedHolding(stage: EndedHolding["stage"]): void;
    /** Counts a garbage collection that released buffers. */
    countCollection(collection: BufferCollection): void;
    /** Counts a connection of a caller that was closed without an answer on it, or a request that crossed the close. */
    countClosedConnection(reason: ClosedConnectionReason): void;
}

function formatRank({ priority }: RequestRow): string {
    return String(highestPriority - priority);
}

/**
 * Adds the gauge of the bytes that a gateway holds for callers and backend servers that send or read slowly.
 *
 * @param metrics - metrics of the process
 * @param memory - what is held
 */
export function registerHeldBytes(metrics: Metrics, memory: Pick<HeldMemory, "total">): void {
    metrics.registerGauge({
        name: "goldcrestpoint_gateway_held_bytes",
        documentation: "Bytes of requests and answers that are held in memory.",
    }, memory.total);
}

/**
 * Adds the gauges of the records of the platform's log that a gateway keeps and relays.
 *
 * @param metrics - metrics of the process
 * @param store - records that are kept
 * @param relay - records that are sent to followers
 */
export function registerReplicaGauges(
    metrics: Metrics,
    store: Pick<RecordStore, "countBytes">,
    relay: Pick<RecordRelay, "countUnsentBytes">,
): void {
    metrics.registerGauge({
        name: "goldcrestpoint_replica_bytes",
        documentation: "Bytes of the keys and values of the platform's records that are kept.",
    }, store.countBytes);
    metrics.registerGauge({
        name: "goldcrestpoint_relay_unsent_bytes",
        documentation: "Bytes of records in messages that the connections of followers have not taken yet.",
    }, relay.countUnsentBytes);
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
    const admissions = metrics.createCounter({
        name: "goldcrestpoint_gateway_admissions_total",
        documentation: "Requests that started or were refused before they were sent to a backend server, by service, " +
            "rank (0 is the most urgent) and outcome (`started`, `refused`, or `refused-again` after a return).",
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
    const usedTurns = metrics.createCounter({
        name: "goldcrestpoint_gateway_used_turns_total",
        documentation:
            "Turns of the event loop that a response of a backend server has used up, by service; peers that " +
            "send a chunk for each byte cause many.",
    });
    const rejected = metrics.createCounter({
        name: "goldcrestpoint_gateway_rejected_total",
        documentation: "Requests rejected before admission, by reason.",
    });
    const closed = metrics.createCounter({
        name: "goldcrestpoint_gateway_connections_closed_total",
        documentation: "Connections of callers that were closed while no answer was open, by reason.",
    });
    const ended = metrics.createCounter({
        name: "goldcrestpoint_gateway_held_ended_total",
        documentation: "Requests and answers that were ended to free memory, by stage: `arriving`, `unread` by the " +
            "caller, or `answer` of a backend server.",
    });
    const collections = metrics.createCounter({
        name: "goldcrestpoint_gateway_buffer_collections_total",
        documentation: "Garbage collections that the gateway asked for to release buffers: `minor` or `major`.",
    });
    const waits = metrics.createHistogram({
        name: "goldcrestpoint_gateway_admission_wait_milliseconds",
        documentation: "Time in the queue of the gateway, by service.",
    });
    const firstBytes = metrics.createHistogram({
        name: "goldcrestpoint_gateway_first_byte_milliseconds",
        documentation: "Time from the request to the first byte sent to the caller, by service and route kind.",
    });
    const firstEvents = metrics.createHistogram({
        name: "goldcrestpoint_gateway_first_event_milliseconds",
        documentation: "Time from an attempt to its first event where requests are routed by cost, by service: as " +
            "expected when the backend server was selected (`expected`), and as observed (`observed`).",
    });
    return {
        countOutcome: ({ route, service }, outcome) =>
            outcomes.add(1, { service: service.name, kind: route.kind, outcome }),
        countRefusal: ({ row, service }, reason) => {
            refusals.add(1, { service: service.name, reason });
            const outcome = row.hasReturned === true ? "refused-again" : "refused";
            admissions.add(1, { service: service.name, rank: formatRank(row), outcome });
        },
        countRetry: ({ service }) => retries.add(1, { service: service.name }),
        countUsedTurn: service => usedTurns.add(1, { service }),
        countHedge: ({ service }) => hedges.add(1, { service: service.name }),
        countAnswer: ({ service }, framing, ending) => answers.add(1, { service: service.name, framing, ending }),
        countSentAnswer: (ending, configurationRecent) =>
            sentAnswers.add(1, { ending, configuration: configurationRecent ? "recent" : "settled" }),
        countCheck: (service, outcome) => checks.add(1, { service, outcome }),
        countRejected: reason => rejected.add(1, { reason }),
        countEndedHolding: stage => ended.add(1, { stage }),
        countCollection: collection => collections.add(1, { collection }),
        countClosedConnection: reason => closed.add(1, { reason }),
        recordWait: ({ row, service }, duration) => {
            waits.record(duration, { service: service.name });
            admissions.add(1, { service: service.name, rank: formatRank(row), outcome: "started" });
        },
        recordFirstEvent: (service, expected, observed) => {
            firstEvents.record(expected, { service: service.name, time: "expected" });
            firstEvents.record(observed, { service: service.name, time: "observed" });
        },
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
