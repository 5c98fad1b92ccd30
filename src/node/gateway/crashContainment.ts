import type { Logger } from "pino";
import type { RetryOptions } from "../../runtime/retry/index.js";
import type { Clock, KeyedLogPort, Milliseconds, RandomSource } from "../../types/index.js";
import type { Metrics } from "../metrics/index.js";
import type { RecordStore } from "../replica/index.js";
import { keepCondemnedRecords } from "./condemnedRecords.js";
import { type CrashExchange, createCrashExchange } from "./crashExchange.js";
import { type CrashKnowledge, createCrashKnowledge } from "./crashKnowledge.js";
import { type CrashWatch, createCrashWatch } from "./crashWatch.js";
import type { GatewayMetrics } from "./gatewayMetrics.js";
import type { ServerNotices } from "./serverNotices.js";

/** Dependencies of {@link createCrashContainment}. */
export interface CrashContainmentInput {
    readonly log: KeyedLogPort;
    readonly store: RecordStore;
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly logger: Logger;
    readonly metrics: Metrics;
    readonly gatewayMetrics: GatewayMetrics;
    readonly options: RetryOptions;
    /** Time in which a connection to a backend server must be open. */
    readonly connectTimeLimit: Milliseconds;
    /** Time in which every gateway has to know what one of them has seen. */
    readonly settleTime: Milliseconds;
    /** What backend servers have said of themselves, which is told with the crashes. */
    readonly notices: ServerNotices;
    /** `host:port` of the other gateways. */
    readonly listAddresses: () => readonly string[];
}

/** What keeps a request that crashes backend servers from more of them. */
export interface CrashContainment extends Disposable {
    readonly knowledge: CrashKnowledge;
    readonly watch: CrashWatch;
    /** Handler for the gRPC server. */
    readonly exchangeCrashEvidence: CrashExchange["exchangeCrashEvidence"];
}

/**
 * Creates the containment of a gateway: it notices the ends of backend servers, tells other gateways and the platform's
 * log, and learns from them.
 *
 * @param input - log, other gateways and times
 * @returns the containment; disposing of it ends its connections and timers
 */
export function createCrashContainment(input: CrashContainmentInput): CrashContainment {
    const { clock, gatewayMetrics, log, logger, options, settleTime, store } = input;
    const knowledge = createCrashKnowledge({ options, clock, logger });
    input.metrics.observe(
        {
            name: "goldcrestpoint_gateway_condemned_requests",
            documentation: "Requests that are refused because backend servers ended under them.",
        },
        () => knowledge.listCondemned().length,
    );
    const watch = createCrashWatch({
        clock,
        logger,
        connectTimeLimit: input.connectTimeLimit,
        countCheck: (service, state) => gatewayMetrics.countCheck(service, state),
        onEnd: end => knowledge.recordEnd(end),
        onAnswer: fingerprint => knowledge.recordAnswer(fingerprint),
    });
    const exchange = createCrashExchange({
        knowledge,
        notices: input.notices,
        listAddresses: input.listAddresses,
        clock,
        random: input.random,
        logger,
        settleTime,
    });
    const records = keepCondemnedRecords({
        knowledge,
        log,
        store,
        clock,
        logger,
        condemnedDuration: options.condemnedDuration,
        interval: settleTime,
    });
    store.onChange(topic => {
        if (topic === "instances") {
            exchange.askNew();
        }
    });
    return {
        knowledge,
        watch,
        exchangeCrashEvidence: exchange.exchangeCrashEvidence,
        [Symbol.dispose]: () => {
            exchange[Symbol.dispose]();
            records[Symbol.dispose]();
        },
    };
}
