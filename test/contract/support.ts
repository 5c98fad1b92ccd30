import { expect } from "earl";
import type { Result } from "true-myth/result";
import type { FaultKind, FaultRule, StandInServer } from "../../src/standIn/index.js";
import type { ErrorCode, GoldcrestpointError, PlacementRecord } from "../../src/types/index.js";

/** Expected outcome of a port's operation: `ok`, or an error code and whether the operation may have taken effect. */
export type Outcome = "ok" | readonly [code: ErrorCode, mayHaveTakenEffect: boolean];

/** Condition of the outside system during a call. */
export type Condition = FaultKind | "healthy" | "clean-truncate" | "not-listening";

/** Test case: a condition and what the port has to report. */
export interface ContractCase {
    readonly condition: Condition;
    readonly outcome: Outcome;
    /** Number of effects on the outside system. */
    readonly effects: number;
}

/** Time limits for the conditions in which no complete response arrives; the other conditions use the defaults. */
export const shortTimeouts = { connect: 5_000, head: 3_000, idle: 1_000, total: 4_000 };

/** Longer than any test. */
const endlessDelay = 600_000;

/**
 * Chooses the time limits for a condition.
 *
 * @param condition - condition of the outside system
 * @returns short limits if only a time limit ends the call
 */
export function selectTimeouts(condition: Condition): typeof shortTimeouts | undefined {
    return condition === "slow" || condition === "stall-stream" ? shortTimeouts : undefined;
}

/**
 * Applies a condition to a stand-in.
 *
 * @param server - the stand-in
 * @param operation - operation that the condition applies to
 * @param condition - the condition
 */
export async function applyCondition(server: StandInServer, operation: string, condition: Condition): Promise<void> {
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
 * Checks that a result has the expected outcome.
 *
 * @param result - result of the call
 * @param outcome - expected outcome
 * @param step - expected step of an error
 * @param server - stand-in whose address is the expected peer of an error
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
 * Returns the value of a successful result.
 *
 * @param result - the result
 * @returns its value; throws an error for a failure
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
