import { err, ok } from "true-myth/result";
import { createError, type InstanceListPort, type ListedInstance, type PortResult } from "../../types/index.js";
import {
    createHttpClient,
    type HttpClient,
    type HttpTimeouts,
    parseJson,
    toReadError,
    toStatusError,
} from "../httpClient/index.js";
import { instancesResponseSchema } from "./schemas.js";

const listStep = "list instances";

/** Options of {@link createInstanceListClient}. */
export interface InstanceListClientOptions {
    /** Base URL of the instance list. */
    readonly baseUrl: string;
    /** Default: those of {@link HttpTimeouts}. */
    readonly timeouts?: Partial<HttpTimeouts> | undefined;
}

/**
 * Creates a client of the platform's instance list.
 *
 * @param options - base URL and time limits
 * @returns the client. `list` fails with `INSTANCE_LIST_UNREACHABLE`. If a response contains an instance more than
 * once, one row is kept, and `leaving` takes precedence over `live`
 */
export function createInstanceListClient(options: InstanceListClientOptions): InstanceListPort & AsyncDisposable {
    const client = createHttpClient(options);
    return {
        list: () => list(client),
        [Symbol.asyncDispose]: () => client[Symbol.asyncDispose](),
    };
}

async function list(client: HttpClient): PortResult<readonly ListedInstance[]> {
    const response = await client.send({ method: "GET", path: "/instances" });
    if (response.isErr) {
        return err(toReadError("INSTANCE_LIST_UNREACHABLE", listStep, client.peer, response.error));
    }
    if (response.value.status !== 200) {
        const error = toStatusError("INSTANCE_LIST_UNREACHABLE", listStep, client.peer, response.value);
        return err({ ...error, mayHaveTakenEffect: false });
    }
    const parsed = instancesResponseSchema.safeParse(parseJson(response.value.body));
    if (!parsed.success) {
        const message = "the response is not a valid instance list";
        return err(createError("INSTANCE_LIST_UNREACHABLE", listStep, client.peer, message));
    }
    return ok(removeDuplicates(parsed.data.instances));
}

function removeDuplicates(instances: readonly ListedInstance[]): ListedInstance[] {
    const rows = new Map<string, ListedInstance>();
    for (const row of instances) {
        if (rows.get(row.instance)?.state !== "leaving") {
            rows.set(row.instance, row);
        }
    }
    return [...rows.values()];
}
