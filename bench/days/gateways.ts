import {
    type CostedRequest,
    createRemainingWork,
    type RemainingWork,
    type TrackedWork,
} from "../../src/node/gateway/selection/remainingWork.js";
import { type AdmissionOptions, type AdmissionTable, createAdmissionTable } from "../../src/runtime/admission/index.js";
import {
    type ArrivalCount,
    type CallerTimeoutTable,
    createArrivalCount,
    createCallerTimeoutTable,
} from "../../src/runtime/gateway/index.js";
import { createRetryBudget, type RetryBudget, type RetryOptions } from "../../src/runtime/retry/index.js";
import { createRunnerRow, type RunnerRow } from "../../src/runtime/routing/index.js";
import type { Milliseconds, RequestRow } from "../../src/types/index.js";
import { type Engine, engineModel, engineTiming } from "./engine.js";
import { gatewaysPerZone, zones } from "./parameters.js";
import type { Policy } from "./policies.js";
import type { Caller } from "./summary.js";

/** State of one simulated gateway; the tables are those of the real gateway. */
export interface Gateway {
    readonly zone: string;
    readonly runners: RunnerRow[];
    readonly admissionTable: AdmissionTable;
    readonly budget: RetryBudget;
    readonly policy: Policy;
    readonly callerTimeouts: CallerTimeoutTable;
    readonly arrivals: ArrivalCount;
    readonly work: RemainingWork;
    /** Random number from 0 to 1; a gateway whose fraction of a place is larger gets a whole one. */
    draw: number;
}

/** One try of a caller at a gateway; the gateway may send it to several engines in turn. */
export interface Attempt {
    readonly caller: Caller;
    readonly gateway: Gateway;
    readonly request: RequestRow;
    readonly excluded: Set<string>;
    /** Number of engines that have failed or refused the request. */
    attemptCount: number;
    runner: RunnerRow | undefined;
    /** Work of the request at the engine; undefined while it is at none. */
    work: TrackedWork | undefined;
    /** True once the first token has arrived. */
    begun: boolean;
}

/**
 * Describes the request of a caller as far as its cost depends on it.
 *
 * @param caller - the caller
 * @returns the request
 */
export function describeRequest({ promptTokens, statedTokens }: Caller): CostedRequest {
    return {
        call: { promptTokens, expectedOutputTokens: statedTokens },
        route: { name: "route", kind: "streaming" },
        service: { name: "model", engine: { slots: engineModel.slots, timing: engineTiming } },
    } as unknown as CostedRequest;
}

/**
 * Creates the gateways of all zones.
 *
 * @param engines - engines that every gateway knows; they have not reported yet
 * @param createPolicy - creates the policy of one gateway
 * @param admission - limits of the queues
 * @param retry - limits of the retries
 * @param readTime - reads the virtual time
 * @returns the gateways
 */
export function createGateways(
    engines: readonly Engine[],
    createPolicy: () => Policy,
    admission: AdmissionOptions,
    retry: RetryOptions,
    readTime: () => Milliseconds,
): Gateway[] {
    return zones.flatMap(zone =>
        [...Array(gatewaysPerZone).keys()].map(() => createPolicy()).map(policy => ({
            zone,
            runners: engines.map(engine =>
                createRunnerRow("model", { instance: engine.instance, zone: engine.zone, region: engine.zone })
            ),
            admissionTable: createAdmissionTable({ ...admission, ...policy.admission }),
            budget: createRetryBudget(0, retry),
            policy,
            work: createRemainingWork({
                clock: { monotonic: readTime },
                costAware: policy.costAware === true,
                metrics: { recordFirstEvent: () => {} },
            }),
            callerTimeouts: createCallerTimeoutTable(),
            arrivals: createArrivalCount(0),
            draw: 0,
        }))
    );
}
