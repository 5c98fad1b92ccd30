import * as z from "zod";
import type { EngineOrder, FencingToken } from "../../types/index.js";
import type { EngineBehaviour } from "./options.js";
import type { StagedSets } from "./stagedSets.js";
import type { ActiveWeights } from "./tokens.js";

const count = z.number().int().nonnegative();
const token = z.object({ epoch: count, agentStart: z.number(), sequence: count });

/** Schema of an order in a request body. */
export const orderSchema = z.discriminatedUnion("kind", [
    z.object({
        kind: z.literal("prepare"),
        token,
        manifestDigest: z.string(),
        chunksTotal: z.number().int().positive(),
    }),
    z.object({
        kind: z.literal("activate"),
        token,
        manifestDigest: z.string(),
        model: z.string(),
        adapter: z.string(),
        version: z.string(),
    }),
    z.object({ kind: z.literal("deactivate"), token }),
    z.object({ kind: z.literal("drop"), token, manifestDigest: z.string() }),
]);

/** State of the engine that orders read and change. */
export interface OrderTarget {
    readonly sets: StagedSets;
    /** Undefined if no weights are active. */
    active: ActiveWeights | undefined;
    /** Largest fencing token of an order; undefined before the first order, or if tokens are ignored. */
    highestToken: FencingToken | undefined;
}

type OrderHandlers = {
    readonly [Kind in EngineOrder["kind"]]: (
        target: OrderTarget,
        order: Extract<EngineOrder, { readonly kind: Kind; }>,
        behaviour: EngineBehaviour,
    ) => string | undefined;
};

/** Apply the orders of each kind; a returned text is the reason for which the order is refused. */
const handlers: OrderHandlers = {
    prepare: ({ sets }, { manifestDigest, chunksTotal }) => {
        sets.prepare(manifestDigest, chunksTotal);
        return undefined;
    },
    activate: (target, { model, adapter, version, manifestDigest }, { refusesIncompleteSets }) => {
        const complete = target.sets.isComplete(manifestDigest);
        if (complete === undefined || (!complete && refusesIncompleteSets)) {
            return complete === undefined ? "set-not-prepared" : "set-incomplete";
        }
        target.active = { model, adapter, version, manifestDigest, complete };
        return undefined;
    },
    deactivate: target => {
        target.active = undefined;
        return undefined;
    },
    drop: ({ sets, active }, { manifestDigest }) => {
        if (active?.manifestDigest === manifestDigest) {
            return "set-active";
        }
        sets.drop(manifestDigest);
        return undefined;
    },
};

/**
 * Applies an order, unless it is refused.
 *
 * @param order - the order
 * @param target - state that the order changes
 * @param behaviour - settings of the engine
 * @returns reason for which the order is refused; undefined if it was applied
 */
export function applyOrder(order: EngineOrder, target: OrderTarget, behaviour: EngineBehaviour): string | undefined {
    if (behaviour.oldTokens === "refuse") {
        if (target.highestToken !== undefined && isOlder(order.token, target.highestToken)) {
            return "old-token";
        }
        target.highestToken = order.token;
    }
    const handle = handlers[order.kind] as (
        target: OrderTarget,
        order: EngineOrder,
        behaviour: EngineBehaviour,
    ) => string | undefined;
    return handle(target, order, behaviour);
}

function isOlder(left: FencingToken, right: FencingToken): boolean {
    const difference = left.epoch - right.epoch || left.agentStart - right.agentStart || left.sequence - right.sequence;
    return difference < 0;
}
