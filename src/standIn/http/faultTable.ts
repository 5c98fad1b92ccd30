import type { RandomSource } from "../../types/index.js";
import type { FaultControl, FaultRule } from "./types.js";

interface RuleState {
    readonly rule: FaultRule;
    matched: number;
    applied: number;
}

/** Fault rules, each with the numbers of requests that it matched and was applied to. */
export interface FaultTable extends FaultControl {
    /**
     * Selects the first rule that applies to a request, and updates the counts of the rules.
     *
     * @param operation - operation of the request
     * @returns the rule; undefined if the request is handled without a fault
     */
    select(operation: string): FaultRule | undefined;
}

/**
 * Creates a table of fault rules.
 *
 * @param rules - initial rules
 * @param random - random source for rules with a probability
 * @returns the table
 */
export function createFaultTable(rules: readonly FaultRule[], random: RandomSource): FaultTable {
    let states: RuleState[] = [];
    const add = (rule: FaultRule): void => {
        states.push({ rule, matched: 0, applied: 0 });
    };
    rules.forEach(add);

    function matchRule(state: RuleState, operation: string): boolean {
        const { rule } = state;
        if (rule.operation !== operation && rule.operation !== "*") {
            return false;
        }
        state.matched += 1;
        if (state.matched <= (rule.skip ?? 0) || state.applied >= (rule.times ?? Infinity)) {
            return false;
        }
        return rule.probability === undefined || random.next() < rule.probability;
    }

    return {
        add,
        clear: operation => {
            states = operation === undefined ? [] : states.filter(({ rule }) => rule.operation !== operation);
        },
        list: () => states.map(({ rule }) => rule),
        select: operation => {
            const state = states.find(candidate => matchRule(candidate, operation));
            if (state !== undefined) {
                state.applied += 1;
            }
            return state?.rule;
        },
    };
}
