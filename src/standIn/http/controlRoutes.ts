import * as z from "zod";
import { createJsonResponse, parseJsonObject } from "./responses.js";
import { restartServer } from "./restart.js";
import type { StandInRoute, StandInServer } from "./types.js";

const ruleSchema = z.strictObject({
    operation: z.string().min(1),
    kind: z.enum([
        "outage",
        "reset",
        "refuse",
        "slow",
        "lose-answer",
        "truncate",
        "corrupt",
        "duplicate",
        "out-of-order",
        "cross-answer",
        "slow-stream",
        "stall-stream",
    ]),
    skip: z.number().int().nonnegative().optional(),
    times: z.number().int().positive().optional(),
    probability: z.number().min(0).max(1).optional(),
    delayMilliseconds: z.number().nonnegative().optional(),
    clean: z.boolean().optional(),
});

const suspendSchema = z.strictObject({ milliseconds: z.number().positive().max(3_600_000) });

/**
 * Creates the routes by which tests inject faults: `POST /control/faults` adds the rule in its body, `GET` lists the
 * rules, `DELETE` removes the rules for the operation in the query parameter `operation`, or all rules.
 * `POST /control/suspend` with `{ milliseconds }` closes all connections and refuses new ones for that time.
 *
 * @param server - server that the routes control
 * @returns the routes; fault rules do not apply to them
 */
export function createControlRoutes(server: StandInServer): StandInRoute[] {
    const { faults } = server;
    const path = "/control/faults";
    return [
        {
            operation: "control",
            method: "POST",
            path,
            handle: ({ body }) => {
                const parsed = ruleSchema.safeParse(parseJsonObject(body));
                if (!parsed.success) {
                    return createJsonResponse(400, { error: z.prettifyError(parsed.error) });
                }
                faults.add(parsed.data);
                return { status: 204 };
            },
        },
        { operation: "control", method: "GET", path, handle: () => createJsonResponse(200, { faults: faults.list() }) },
        {
            operation: "control",
            method: "DELETE",
            path,
            handle: ({ query }) => {
                faults.clear(query.get("operation") ?? undefined);
                return { status: 204 };
            },
        },
        {
            operation: "control",
            method: "POST",
            path: "/control/suspend",
            handle: ({ body }) => {
                const parsed = suspendSchema.safeParse(parseJsonObject(body));
                if (!parsed.success) {
                    return createJsonResponse(400, { error: z.prettifyError(parsed.error) });
                }
                // Sends the response before the connections are closed.
                setImmediate(() => void restartServer(server, parsed.data.milliseconds));
                return { status: 204 };
            },
        },
    ];
}
