import { expect } from "earl";
import type { Result } from "true-myth/result";
import type { FaultKind, FaultRule, StandInServer } from "../../src/standIn/index.js";
import type { ErrorCode, GoldcrestpointError, PlacementRecord } from "../../src/types/index.js";

/** Outcome that a port promises: `ok`, or an error code and whether the operation may have taken effect. */
export type Outcome = "ok" | readonly [code: ErrorCode, mayHaveTakenEffect: boolean];

/** Condition of the outside system during one call. */
export type Condition = FaultKind | "healthy" | "clean-truncate" | "not-listening";

/** Case of a contract table. */
export interface ContractCase {
    readonly condition: Condition;
    readonly outcome: Outcome;
    /** Number of effects on the outside system. */
    readonly effects: number;
}

/** Time limits for the conditions in which no answer arrives; the other ones keep the defaults. */
export const briefTimeouts = { connect: 5_000, head: 3_000, idle: 1_000, total: 4_000 };

/** Longer than any test. */
const endlessDelay = 600_000;

/**
 * Chooses the time limits for a condition.
 *
 * @param condition - condition of the outside system
 * @returns short limits where the call has to end by a limit
 */
export function selectTimeouts(condition: Condition): typeof briefTimeouts | undefined {
    return condition === "slow" || condition === "stall-stream" ? briefTimeouts : undefined;
}

/**
 * Brings a stand-in into a condition.
 *
 * @param server - the stand-in
 * @param operation - operation that the condition applies to
 * @param condition - the condition
 */
export async function impose(server: StandInServer, operation: string, condition: Condition): Promise<void> {
    if (condition === "not-listening") {
        await server.suspend();
    }
    else if (condition !== "healthy") {
        server.faults.add(createRule(operation, condition));
    }
}

function createRule(operation: string, condition: Exclude<Condition, "healthy" | "not-listening">): FaultRule {
    if (condition === "clean-truncate") {
        return { operation, kind: "truncate", clean: true };
    }
    return { operation, kind: condition, ...(condition === "slow" ? { delayMilliseconds: endlessDelay } : {}) };
}

/**
 * Checks a result against what the port promises.
 *
 * @param result - result of the call
 * @param outcome - promised outcome
 * @param step - step that an error has to name
 * @param server - stand-in whose address an error has to name
 */
export function expectOutcome(
    result: Result<unknown, GoldcrestpointError>,
    outcome: Outcome,
    step: string,
    server: StandInServer,
): void {
    if (outcome === "ok") {
        expect(result.isErr ? result.error : undefined).toEqual(undefined);
        return;
    }
    const [code, mayHaveTakenEffect] = outcome;
    const error = result.isErr ? result.error : undefined;
    expect({ code: error?.code, mayHaveTakenEffect: error?.mayHaveTakenEffect, step: error?.step, peer: error?.peer })
        .toEqual({ code, mayHaveTakenEffect, step, peer: `${server.host}:${server.port}` });
}

/**
 * Takes the value of a result that has to be a success.
 *
 * @param result - the result
 * @returns its value
 */
export function unwrap<Value>(result: Result<Value, GoldcrestpointError>): Value {
    if (result.isErr) {
        throw new Error(JSON.stringify(result.error), { cause: result.error });
    }
    return result.value;
}

/**
 * Creates a record for the log.
 *
 * @param id - identifier of the record
 * @returns the record
 */
export function createRecord(id: string): PlacementRecord {
    return {
        id,
        kind: "placement",
        deployment: "archive",
        base: 0,
        writtenAt: "2026-01-01T00:00:00.000Z",
        writer: "entry-1",
        configurationOffset: 0,
        copies: [],
        owners: [],
    };
}
