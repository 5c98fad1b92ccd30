import type { IncomingMessage } from "node:http";
import type { Clock, Milliseconds, RequestId } from "../../../types/index.js";
import type { Holding } from "../../memory/index.js";
import type { BrokenAttempt, TimeLimit } from "../types.js";

/** What is known of a request that has arrived. */
export interface ArrivedRequest {
    /** Monotonic time at which its head was read. */
    readonly receivedAt: Milliseconds;
    requestId: RequestId | undefined;
    /** Memory that it takes. */
    held: Holding | undefined;
    /** Aborted when its memory is needed for others; also when it is refused before its body was read. */
    readonly dropped: AbortController;
    /** Undefined until its route is known. */
    timeLimit: TimeLimit | undefined;
    /** Body of a request that was read before its turn; undefined if it is read in its turn. */
    body: Promise<Buffer | undefined> | undefined;
    /** Monotonic time at which that body was complete; undefined before. */
    bodyReadAt: Milliseconds | undefined;
    /** True once a backend server may have the request. */
    handedOver: boolean;
    /** Attempt whose failure ended the answer. */
    brokenAttempt: BrokenAttempt | undefined;
}

/** Requests that have arrived, and the age of the configuration, for log lines and counters. */
export interface ArrivedRequests {
    /** Adds a request whose head was read. */
    add(incoming: IncomingMessage): ArrivedRequest;
    find(incoming: IncomingMessage): ArrivedRequest | undefined;
    /** Notes that a configuration is in force; one that already was keeps its age. */
    recordConfiguration(revision: number): void;
    /** Tells whether the configuration changed so recently that other gateways may not have it yet. */
    isConfigurationRecent(): boolean;
    /**
     * Describes a request in log lines, with its time limit and the configuration that is in force.
     *
     * @param incoming - the request; undefined if its head was not read
     * @returns fields of the line
     */
    describe(incoming: IncomingMessage | undefined): Readonly<Record<string, unknown>>;
}

/**
 * Creates an empty set of requests.
 *
 * @param clock - time source
 * @param configurationLimit - time within which a change of the configuration is in force at all gateways
 * @returns the set
 */
export function createArrivedRequests(
    clock: Pick<Clock, "monotonic">,
    configurationLimit: Milliseconds,
): ArrivedRequests {
    const requests = new WeakMap<IncomingMessage, ArrivedRequest>();
    let revision: number | undefined;
    let configuredAt = clock.monotonic();

    function readConfigurationAge(): Milliseconds {
        return clock.monotonic() - configuredAt;
    }

    return {
        add: incoming => {
            const request: ArrivedRequest = {
                receivedAt: clock.monotonic(),
                held: undefined,
                dropped: new AbortController(),
                requestId: undefined,
                timeLimit: undefined,
                body: undefined,
                bodyReadAt: undefined,
                handedOver: false,
                brokenAttempt: undefined,
            };
            requests.set(incoming, request);
            return request;
        },
        find: incoming => requests.get(incoming),
        recordConfiguration: applied => {
            if (applied !== revision) {
                revision = applied;
                configuredAt = clock.monotonic();
            }
        },
        isConfigurationRecent: () => revision !== undefined && readConfigurationAge() <= configurationLimit,
        describe: incoming => {
            const request = incoming && requests.get(incoming);
            return {
                requestId: request?.requestId,
                path: incoming?.url,
                durationMilliseconds: request && Math.round(clock.monotonic() - request.receivedAt),
                limit: request?.timeLimit?.kind,
                limitMilliseconds: request?.timeLimit?.duration,
                limitRevision: request?.timeLimit?.revision,
                revision,
                configurationAgeMilliseconds: Math.round(readConfigurationAge()),
            };
        },
    };
}
