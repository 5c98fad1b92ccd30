import { err, ok } from "true-myth/result";
import { createError, type EngineState, type PortResult } from "../../types/index.js";
import { type HttpClient, parseJson, toReadError, toStatusError } from "../httpClient/index.js";
import { engineStateSchema, serviceHealthSchema } from "./schemas.js";

const engineStep = "read engine state";
const serviceStep = "read service health";

/**
 * Reads the state of a model engine.
 *
 * @param client - client of the engine
 * @returns the state, or `ENGINE_UNREACHABLE`
 */
export async function readEngineState(client: HttpClient): PortResult<EngineState> {
    const body = await readJson(client, "/state", engineStep);
    return body.andThen(value => {
        const parsed = engineStateSchema.safeParse(value);
        return parsed.success ?
            ok(parsed.data) :
            err(createError("ENGINE_UNREACHABLE", engineStep, client.peer, "the response is not a valid engine state"));
    });
}

/**
 * Reads the health of a plain service.
 *
 * @param client - client of the service
 * @param healthPath - path of the health endpoint
 * @returns a state without weights, or `ENGINE_UNREACHABLE`
 */
export async function readServiceHealth(client: HttpClient, healthPath: string): PortResult<EngineState> {
    const body = await readJson(client, healthPath, serviceStep);
    return body.andThen(value => {
        const parsed = serviceHealthSchema.safeParse(value);
        return parsed.success ?
            ok({ ...parsed.data, active: undefined, staged: [], cachedPrefixes: [], highestToken: undefined }) :
            err(createError(
                "ENGINE_UNREACHABLE",
                serviceStep,
                client.peer,
                "the response is not a valid service health",
            ));
    });
}

async function readJson(client: HttpClient, path: string, step: string): PortResult<unknown> {
    const response = await client.send({ method: "GET", path });
    if (response.isErr) {
        return err(toReadError("ENGINE_UNREACHABLE", step, client.peer, response.error));
    }
    if (response.value.status !== 200) {
        const error = toStatusError("ENGINE_UNREACHABLE", step, client.peer, response.value);
        return err({ ...error, mayHaveTakenEffect: false });
    }
    return ok(parseJson(response.value.body));
}
