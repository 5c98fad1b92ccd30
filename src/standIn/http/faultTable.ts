import type { RandomSource } from "../../types/index.js";
import type { FaultControl, FaultRule } from "./types.js";

interface RuleState {
    readonly rule: FaultRule;
    matched: number;
    applied: number;
}

/** Rules with a count of the requests that they matched. */
export interface FaultTable extends FaultControl {
    /**
     * Selects the rule for a request and counts it.
     *
     * @param operation - operation of the request
     * @returns the rule; undefined if the request is to be answered normally
     */
    select(operation: string): FaultRule | undefined;
}

/**
 * Creates a table of fault rules.
 *
 * @param rules - rules from the start
 * @param random - source of the choices of rules with a probability
 * @returns the table
 */
export function createFaultTable(rules: readonly FaultRule[], random: RandomSource): FaultTable {
    let states: RuleState[] = [];
    const add = (rule: FaultRule): void => {
        states.push({ rule, matched: 0, applied: 0 });
    };
    rules.forEach(add);

    function applies(state: RuleState, operation: string): boolean {
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
            const state = states.find(candidate => applies(candidate, operation));
            if (state !== undefined) {
                state.applied += 1;
            }
            return state?.rule;
        },
    };
}
