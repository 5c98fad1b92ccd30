import * as z from "zod";

const count = z.number().int().nonnegative();

const token = z.object({ epoch: count, agentStart: z.number(), sequence: count });

const activeSet = z.object({
    model: z.string(),
    adapter: z.string(),
    version: z.string(),
    manifestDigest: z.string(),
});

/** State of an engine; an absent `active` or `highestToken` means that there is none. */
export const engineStateSchema = z.object({
    incarnation: z.string(),
    active: activeSet.optional(),
    staged: z.array(z.object({ manifestDigest: z.string(), chunksTotal: count, bitfield: z.string() })),
    running: count,
    queued: count,
    capacity: count,
    cachedPrefixes: z.array(z.string()),
    highestToken: token.optional(),
}).transform(state => ({ ...state, active: state.active, highestToken: state.highestToken }));

/** Health of a plain service. */
export const serviceHealthSchema = z.object({
    incarnation: z.string(),
    running: count,
    queued: count,
    capacity: count,
});

/** Response to an order; repeats the kind and token of the order that was carried out. */
export const orderResponseSchema = z.object({ kind: z.string(), token });
