import { type AdmissionOptions, type AdmissionTable, createAdmissionTable } from "../../src/runtime/admission/index.js";
import {
    type Arrivals,
    createArrivals,
    createPatienceTable,
    type PatienceTable,
} from "../../src/runtime/gateway/index.js";
import { createRetryBudget, type RetryBudget, type RetryOptions } from "../../src/runtime/retry/index.js";
import { createRunnerRow, type RunnerRow } from "../../src/runtime/routing/index.js";
import type { RequestRow } from "../../src/types/index.js";
import type { Engine } from "./engine.js";
import type { Policy } from "./policies.js";
import { gatewaysPerZone, zones } from "./sizes.js";
import type { Caller } from "./summary.js";

/** State of one gateway, with the tables of the product. */
export interface Gateway {
    readonly zone: string;
    readonly runners: RunnerRow[];
    readonly table: AdmissionTable;
    readonly budget: RetryBudget;
    readonly policy: Policy;
    readonly patience: PatienceTable;
    readonly arrivals: Arrivals;
    /** Decides whether the gateway gets a place for a fraction of one. */
    draw: number;
}

/** Request of a caller at a gateway. */
export interface Attempt {
    readonly caller: Caller;
    readonly gateway: Gateway;
    readonly request: RequestRow;
    readonly excluded: Set<string>;
    attempts: number;
    runner: RunnerRow | undefined;
    begun: boolean;
}

/**
 * Creates the gateways of all zones.
 *
 * @param engines - engines that they know, without a report yet
 * @param createPolicy - creates the policy of one gateway
 * @param admission - bounds of their queues
 * @param retry - bounds of their retries
 * @returns the gateways
 */
export function createGateways(
    engines: readonly Engine[],
    createPolicy: () => Policy,
    admission: AdmissionOptions,
    retry: RetryOptions,
): Gateway[] {
    return zones.flatMap(zone =>
        [...Array(gatewaysPerZone).keys()].map(() => ({
            zone,
            runners: engines.map(engine =>
                createRunnerRow("model", { instance: engine.instance, zone: engine.zone, region: engine.zone })
            ),
            table: createAdmissionTable(admission),
            budget: createRetryBudget(0, retry),
            policy: createPolicy(),
            patience: createPatienceTable(),
            arrivals: createArrivals(0),
            draw: 0,
        }))
    );
}
