import * as z from "zod";
import {
    createJsonResponse,
    createRefusal,
    parseJsonObject,
    type StandInResponse,
    type StandInRoute,
} from "../http/index.js";
import type { InstanceStore } from "./instanceStore.js";

const registrationSchema = z.object({
    instance: z.string().min(1),
    role: z.enum(["entry", "backend-server"]),
    pool: z.string(),
    zone: z.string(),
    region: z.string(),
    address: z.string(),
});

const stateSchema = z.object({ state: z.enum(["live", "leaving", "removed"]) });

/**
 * Creates the routes of the instance list: `GET /instances` (operation `instance-list`), `POST /instances` (operation
 * `instance-register`), `POST /instances/ID/heartbeat` (operation `instance-heartbeat`) and, for tests,
 * `POST /control/instances/ID/state` with `{ "state": "live" | "leaving" | "removed" }`.
 *
 * @param instances - instance list
 * @returns the routes
 */
export function createInstanceRoutes(instances: InstanceStore): StandInRoute[] {
    return [
        {
            operation: "instance-list",
            method: "GET",
            path: "/instances",
            transforms: {
                duplicate: response => transformRows(response, rows => [...rows, ...rows]),
                "out-of-order": response => transformRows(response, rows => [...rows].reverse()),
            },
            handle: () => createJsonResponse(200, { instances: instances.list() }),
        },
        {
            operation: "instance-register",
            method: "POST",
            path: "/instances",
            handle: ({ body }) => {
                const parsed = registrationSchema.safeParse(parseJsonObject(body));
                if (!parsed.success) {
                    return createRefusal(400, z.prettifyError(parsed.error));
                }
                instances.register(parsed.data);
                return { status: 204 };
            },
        },
        {
            operation: "instance-heartbeat",
            method: "POST",
            path: "/instances/:instance/heartbeat",
            handle: ({ parameters }) => createAcknowledgement(instances.heartbeat(parameters["instance"] ?? "")),
        },
        {
            operation: "control",
            method: "POST",
            path: "/control/instances/:instance/state",
            handle: ({ parameters, body }) => {
                const parsed = stateSchema.safeParse(parseJsonObject(body));
                return parsed.success ?
                    createAcknowledgement(instances.setState(parameters["instance"] ?? "", parsed.data.state)) :
                    createRefusal(400, z.prettifyError(parsed.error));
            },
        },
    ];
}

function createAcknowledgement(known: boolean): StandInResponse {
    return known ? { status: 204 } : createRefusal(404, "no such instance");
}

function transformRows(
    response: StandInResponse,
    transform: (rows: readonly unknown[]) => readonly unknown[],
): StandInResponse {
    const { instances } = JSON.parse(response.body as string) as { readonly instances: readonly unknown[]; };
    return { ...response, body: JSON.stringify({ instances: transform(instances) }) };
}
