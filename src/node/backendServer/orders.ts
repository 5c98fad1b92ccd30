import { err, ok } from "true-myth/result";
import { createError, type EngineOrder, type FencingToken, type PortResult } from "../../types/index.js";
import { type HttpClient, parseJson, toCallError, toStatusError } from "../httpClient/index.js";
import { orderResponseSchema } from "./schemas.js";

/**
 * Gives an order to an engine.
 *
 * @param client - client of the engine
 * @param order - the order
 * @returns nothing; `ENGINE_UNREACHABLE` if the order was not sent, `ENGINE_REFUSED` if it was not carried out,
 * `ORDER_AMBIGUOUS` if that is unknown
 */
export async function sendOrder(client: HttpClient, order: EngineOrder): PortResult<void> {
    const step = `order ${order.kind}`;
    const response = await client.send({
        method: "POST",
        path: "/orders",
        headers: { "content-type": "application/json" },
        body: JSON.stringify(order),
    });
    if (response.isErr) {
        const code = response.error.requestWritten ? "ORDER_AMBIGUOUS" : "ENGINE_UNREACHABLE";
        return err(toCallError(code, step, client.peer, response.error));
    }
    if (response.value.status !== 200) {
        const error = toStatusError("ENGINE_REFUSED", step, client.peer, response.value);
        return err(error.mayHaveTakenEffect ? { ...error, code: "ORDER_AMBIGUOUS" } : error);
    }
    const parsed = orderResponseSchema.safeParse(parseJson(response.value.body));
    if (!parsed.success || parsed.data.kind !== order.kind || !equalTokens(parsed.data.token, order.token)) {
        const message = "the response belongs to another order or is not valid";
        return err(createError("ORDER_AMBIGUOUS", step, client.peer, message, { mayHaveTakenEffect: true }));
    }
    return ok(undefined);
}

function equalTokens(left: FencingToken, right: FencingToken): boolean {
    return left.epoch === right.epoch && left.agentStart === right.agentStart && left.sequence === right.sequence;
}
