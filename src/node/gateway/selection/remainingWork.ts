import {
    beginWork,
    computeRequestCost,
    computeSlowdown,
    createServerSpeed,
    createServerWork,
    endWork,
    estimateLength,
    type ExpectedTimes,
    isUsableTiming,
    type LengthInput,
    type OutputLengthTable,
    progressWork,
    recordLength,
    recordRatio,
    recordSlowdown,
    type RequestCost,
    type UsualRequest,
} from "../../../runtime/cost/index.js";
import type { BackendServerRow } from "../../../runtime/gateway/index.js";
import type { Clock, ServiceRow } from "../../../types/index.js";
import type { GatewayMetrics } from "../gatewayMetrics.js";
import type { GatewayRequest } from "../types.js";

/** Dependencies of {@link createRemainingWork}. */
export interface RemainingWorkInput {
    readonly clock: Pick<Clock, "monotonic">;
    /** Whether requests are routed by their cost; otherwise nothing is recorded. */
    readonly costAware: boolean;
    readonly metrics: Pick<GatewayMetrics, "recordFirstEvent">;
}

/** Request of which the cost is computed. */
export type CostedRequest = Pick<GatewayRequest, "call" | "route" | "service">;

/** What was expected of an attempt when its backend server was selected. */
export interface AttemptExpectation {
    readonly cost: RequestCost | undefined;
    readonly expected: ExpectedTimes | undefined;
    /** True if the answer continues one that another attempt has begun, so that its length is not that of an answer. */
    readonly continues: boolean;
}

/** Work of an attempt in progress. */
export interface TrackedWork {
    /** Records that an event of the answer has arrived. */
    recordEvent(): void;
    /**
     * Removes the work; further calls have no effect.
     *
     * @param complete - true if the answer has arrived completely, so that its length is known
     */
    end(complete: boolean): void;
}

/** Remaining work and speed of the backend servers, as far as this gateway knows them. It owns the rows of both. */
export interface RemainingWork {
    /**
     * Computes the expected cost of a request.
     *
     * @param request - the request
     * @returns the cost; undefined if requests of the service are not routed by cost
     */
    estimate(request: CostedRequest): RequestCost | undefined;
    /**
     * Adds the work of an attempt to that of its backend server.
     *
     * @param server - backend server of the attempt
     * @param request - the request
     * @param expectation - what was expected when the backend server was selected
     * @returns the work in progress
     */
    begin(
        server: Pick<BackendServerRow, "runner">,
        request: CostedRequest,
        expectation: AttemptExpectation,
    ): TrackedWork;
    /**
     * Records the slowdown that an answer states.
     *
     * @param server - backend server that sent the answer
     * @param service - service of the request
     * @param slowdown - stated slowdown; undefined if it states none
     */
    recordSlowdown(server: Pick<BackendServerRow, "runner">, service: ServiceRow, slowdown: number | undefined): void;
}

/** Means over the requests of a service. */
interface ServiceMeans {
    promptTokens: number;
    outputTokens: number;
    /** Logarithm of the ratio of observed to expected times to the first event. */
    logRatio: number;
}

/** Weight of a request in the means of its service. */
const meanWeight = 1 / 64;

/** Most services whose means are kept; the one that was added first is dropped. */
const maximumServices = 256;

const untracked: TrackedWork = { recordEvent: () => {}, end: () => {} };

function readLengthInput({ call, route, service }: CostedRequest): LengthInput {
    return {
        route: route.name,
        stated: call.expectedOutputTokens,
        maximum: call.maximumOutputTokens,
        usual: service.engine?.timing?.usual?.outputTokens,
    };
}

/**
 * Creates the owner of the remaining work.
 *
 * @param input - clock, setting and metrics
 * @returns the owner, which knows of no work
 */
export function createRemainingWork({ clock, costAware, metrics }: RemainingWorkInput): RemainingWork {
    const lengths: OutputLengthTable = new Map();
    const means = new Map<string, ServiceMeans>();

    function findMeans(service: ServiceRow, request: UsualRequest): ServiceMeans {
        const known = means.get(service.name);
        if (known !== undefined) {
            return known;
        }
        const created: ServiceMeans = { ...request, ...service.engine?.timing?.usual, logRatio: 0 };
        means.set(service.name, created);
        if (means.size > maximumServices) {
            means.delete(means.keys().next().value!);
        }
        return created;
    }

    /** Records the ratio of observed to expected time, which distinguishes slow backend servers from fast ones. */
    function recordFirstEvent(
        { runner }: Pick<BackendServerRow, "runner">,
        service: ServiceRow,
        observed: number,
        expected: number,
        now: number,
    ): void {
        const row = means.get(service.name);
        if (row === undefined || !(observed > 0) || !(expected > 0)) {
            return;
        }
        const logRatio = Math.max(-2, Math.min(2, Math.log(observed / expected)));
        // An error that all estimates of a service share says nothing about a single backend server.
        row.logRatio += meanWeight * (logRatio - row.logRatio);
        recordRatio(runner.speed ??= createServerSpeed(), logRatio - row.logRatio, now);
        metrics.recordFirstEvent(service, expected, observed);
    }

    function begin(
        server: Pick<BackendServerRow, "runner">,
        request: CostedRequest,
        { continues, cost, expected }: AttemptExpectation,
    ): TrackedWork {
        if (cost === undefined) {
            return untracked;
        }
        const { runner } = server;
        const { service } = request;
        const sentAt = clock.monotonic();
        const slowdown = computeSlowdown(runner.speed, sentAt);
        const work = runner.work ??= createServerWork();
        const attempt = beginWork(work, cost);
        const row = findMeans(service, cost);
        row.promptTokens += meanWeight * (cost.promptTokens - row.promptTokens);
        // What was learned of the speed of the backend server is left out, since the ratio is to be learned.
        const expectedTime = (expected?.firstEvent ?? 0) * slowdown.stated / slowdown.total;
        const { maximumOutputTokens = Infinity } = request.call;
        let ended = false;
        return {
            recordEvent: () => {
                if (ended) {
                    return;
                }
                if (attempt.seenTokens === 0) {
                    const now = clock.monotonic();
                    recordFirstEvent(server, service, now - sentAt, expectedTime, now);
                }
                progressWork(work, attempt, cost.timing.stepsPerPass, maximumOutputTokens);
            },
            end: complete => {
                if (ended) {
                    return;
                }
                ended = true;
                const { seenTokens } = attempt;
                endWork(work, attempt);
                if (complete && !continues && seenTokens > 0 && request.route.kind === "streaming") {
                    recordLength(lengths, readLengthInput(request), seenTokens);
                    row.outputTokens += meanWeight * (seenTokens - row.outputTokens);
                }
            },
        };
    }

    return {
        begin,
        estimate: request => {
            const { call, service } = request;
            if (!costAware || service.engine === undefined || !isUsableTiming(service.engine.timing)) {
                return undefined;
            }
            const outputTokens = estimateLength(lengths, readLengthInput(request)).tokens;
            const known = means.get(service.name) ?? service.engine.timing.usual;
            const promptTokens = call.promptTokens ?? known?.promptTokens ?? 0;
            const own = { promptTokens, outputTokens };
            return computeRequestCost(service.engine, own, known ?? own);
        },
        recordSlowdown: ({ runner }, { engine }, slowdown) => {
            if (costAware && slowdown !== undefined && (engine === undefined || isUsableTiming(engine.timing))) {
                recordSlowdown(runner.speed ??= createServerSpeed(), slowdown, clock.monotonic());
            }
        },
    };
}
