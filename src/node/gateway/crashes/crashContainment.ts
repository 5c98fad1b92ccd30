import type { Logger } from "pino";
import type { RetryOptions } from "../../../runtime/retry/index.js";
import type { Clock, KeyedLogPort, Milliseconds, RandomSource } from "../../../types/index.js";
import type { Metrics } from "../../metrics/index.js";
import type { RecordStore } from "../../replica/index.js";
import type { GatewayMetrics } from "../gatewayMetrics.js";
import type { RateLimits } from "../membership/rateLimits.js";
import { createRegistrationCleanup } from "../membership/registrationCleanup.js";
import type { ServerNotices } from "../membership/serverNotices.js";
import { startCondemnedRecordWriter } from "./condemnedRecords.js";
import { type CrashEvidenceStore, createCrashEvidenceStore, describeCause } from "./crashEvidenceStore.js";
import { type CrashExchange, createCrashExchange } from "./crashExchange.js";
import { type CrashWatch, createCrashWatch } from "./crashWatch.js";

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
    /** Time within which a connection to a backend server must be established. */
    readonly connectTimeLimit: Milliseconds;
    /** Time within which evidence must reach all gateways. */
    readonly settleTime: Milliseconds;
    /** Notices of backend servers, which are exchanged together with the crashes. */
    readonly notices: ServerNotices;
    /** Rate limits of backend servers, which are exchanged together with the crashes. */
    readonly rateLimits: RateLimits;
    /** Lists `host:port` of the other gateways. */
    readonly listAddresses: () => readonly string[];
    /** Time without a response after which the registration of another gateway is dropped. */
    readonly goneAfter: Milliseconds;
}

/** Prevents a request that crashes backend servers from reaching further ones. */
export interface CrashContainment extends Disposable {
    readonly crashEvidence: CrashEvidenceStore;
    readonly watch: CrashWatch;
    /** Handler for the gRPC server. */
    readonly exchangeCrashEvidence: CrashExchange["exchangeCrashEvidence"];
}

/**
 * Creates the crash containment of a gateway: it detects crashes of backend servers, and exchanges the evidence with
 * other gateways and the platform's log.
 *
 * @param input - log, other gateways and times
 * @returns the containment; disposing of it ends its connections and timers
 */
export function createCrashContainment(input: CrashContainmentInput): CrashContainment {
    const { clock, gatewayMetrics, log, logger, options, settleTime, store } = input;
    const crashEvidence = createCrashEvidenceStore({ options, clock, logger });
    input.metrics.registerGauge(
        {
            name: "goldcrestpoint_gateway_condemned_requests",
            documentation: "Requests that are refused because they crash backend servers.",
        },
        () => crashEvidence.listCondemned().filter(fingerprint => describeCause(fingerprint) === "request").length,
    );
    input.metrics.registerGauge(
        {
            name: "goldcrestpoint_gateway_condemned_prompt_parts",
            documentation: "Parts of prompts whose requests are refused because they crash backend servers.",
        },
        () => crashEvidence.listCondemned().filter(fingerprint => describeCause(fingerprint) === "prompt-part").length,
    );
    const watch = createCrashWatch({
        clock,
        logger,
        connectTimeLimit: input.connectTimeLimit,
        countCheck: (service, state) => gatewayMetrics.countCheck(service, state),
        onCrash: crash => crashEvidence.recordObservedCrash(crash),
        onAnswer: fingerprints => crashEvidence.recordAnswer(fingerprints),
    });
    const cleanup = createRegistrationCleanup({
        log,
        store,
        clock,
        random: input.random,
        logger,
        goneAfter: input.goneAfter,
    });
    const exchange = createCrashExchange({
        cleanup,
        crashEvidence,
        notices: input.notices,
        rateLimits: input.rateLimits,
        listAddresses: input.listAddresses,
        clock,
        random: input.random,
        logger,
        settleTime,
    });
    const records = startCondemnedRecordWriter({
        crashEvidence,
        log,
        store,
        clock,
        logger,
        condemnedDuration: options.condemnedDuration,
        interval: settleTime,
    });
    store.onChange(topic => {
        if (topic === "instances") {
            exchange.queryNewGateways();
        }
    });
    return {
        crashEvidence,
        watch,
        exchangeCrashEvidence: exchange.exchangeCrashEvidence,
        [Symbol.dispose]: () => {
            exchange[Symbol.dispose]();
            cleanup[Symbol.dispose]();
            records[Symbol.dispose]();
        },
    };
}
