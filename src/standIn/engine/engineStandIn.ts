import * as z from "zod";
import type { EngineOrder } from "../../types/index.js";
import { createSystemClock } from "../../utils/index.js";
import type { Journal } from "../execution/index.js";
import {
    createJsonResponse,
    createRefusal,
    parseJsonObject,
    restartServer,
    type StandInRequest,
    type StandInResponse,
    type StandInRoute,
    type StandInServer,
    startStandInServer,
    wait,
} from "../http/index.js";
import { handleCompletion } from "./completions.js";
import { createEngineCore, type EngineCore } from "./core.js";
import { type EngineStandInOptions, resolveEngineBehaviour } from "./options.js";
import { applyOrder, orderSchema } from "./orders.js";
import type { StageOutcome } from "./stagedSets.js";

/** Running stand-in for a model engine. */
export interface EngineStandIn extends StandInServer {
    readonly journal: Journal;
    /**
     * Simulates a crash: discards all weight sets, closes all connections, and listens again as a new incarnation after
     * the restart delay.
     */
    crash(): Promise<void>;
}

/**
 * Starts the stand-in for a model engine.
 *
 * Operations: `engine-state` (`GET /state`), `engine-order` (`POST /orders`), `chunk-stage` and `chunk-read`
 * (`PUT` and `GET /sets/DIGEST/chunks/INDEX`), `execute` (`POST /v1/completions`), `cancel`
 * (`POST /requests/ID/cancel`). `health` (`GET /health`). `GET /journal` and `POST /control/crash` are for tests.
 *
 * @param options - address, behaviour and faults
 * @returns the stand-in once it listens; rejects if the address cannot be bound
 */
export async function startEngineStandIn(options: EngineStandInOptions = {}): Promise<EngineStandIn> {
    const behaviour = resolveEngineBehaviour(options.behaviour);
    const clock = options.clock ?? createSystemClock();
    let core: EngineCore | undefined;
    const server = await startStandInServer(options, standIn => {
        core = createEngineCore(clock, behaviour, () => restartServer(standIn, behaviour.restartMilliseconds));
        return createEngineRoutes(core, standIn.stopped);
    });
    const started = core!;
    return { ...server, journal: started.journal, crash: () => started.crash() };
}

function createEngineRoutes(core: EngineCore, stopped: AbortSignal): StandInRoute[] {
    const chunkPath = "/sets/:digest/chunks/:index";
    const route = (
        operation: string,
        method: string,
        path: string,
        handle: StandInRoute["handle"],
    ): StandInRoute => ({ operation, method, path, handle });
    return [
        route("engine-state", "GET", "/state", () => createJsonResponse(200, core.readState())),
        route("engine-order", "POST", "/orders", request => handleOrder(core, request, stopped)),
        route("chunk-stage", "PUT", chunkPath, request => handleStage(core, request)),
        route("chunk-read", "GET", chunkPath, request => handleRead(core, request)),
        route("execute", "POST", "/v1/completions", request => handleCompletion(core, request)),
        route(
            "cancel",
            "POST",
            "/requests/:request/cancel",
            ({ parameters }) =>
                core.cancel(parameters["request"] ?? "") ? { status: 204 } : createRefusal(404, "no such request"),
        ),
        route(
            "health",
            "GET",
            "/health",
            () => createJsonResponse(200, { status: "ok", incarnation: core.incarnation }),
        ),
        route("control", "GET", "/journal", () => createJsonResponse(200, { entries: core.journal.list() })),
        route("control", "POST", "/control/crash", async () => {
            await core.crash();
            return { status: 204 };
        }),
    ];
}

async function handleOrder(core: EngineCore, { body }: StandInRequest, stopped: AbortSignal): Promise<StandInResponse> {
    const parsed = orderSchema.safeParse(parseJsonObject(body));
    if (!parsed.success) {
        return createRefusal(400, z.prettifyError(parsed.error));
    }
    const order: EngineOrder = parsed.data;
    if (order.kind === "activate" && core.behaviour.activationMilliseconds > 0) {
        // Not aborted with the request: the activation takes effect even if the agent has stopped waiting.
        await wait(core.behaviour.activationMilliseconds, stopped);
    }
    const refusal = applyOrder(order, core.target, core.behaviour);
    return refusal === undefined ? createJsonResponse(200, order) : createRefusal(409, refusal);
}

const stageStatuses: Readonly<Record<StageOutcome, number>> = {
    staged: 204,
    "not-prepared": 409,
    "out-of-range": 400,
    "out-of-memory": 413,
};

function handleStage(core: EngineCore, { parameters, body }: StandInRequest): StandInResponse {
    const outcome = core.target.sets.stage(parameters["digest"] ?? "", Number(parameters["index"]), body);
    const status = stageStatuses[outcome];
    return outcome === "staged" ? { status } : createRefusal(status, outcome);
}

function handleRead(core: EngineCore, { parameters }: StandInRequest): StandInResponse {
    const chunk = core.target.sets.read(parameters["digest"] ?? "", Number(parameters["index"]));
    return chunk === undefined ?
        createRefusal(404, "no such chunk") :
        { status: 200, headers: { "content-type": "application/octet-stream" }, body: chunk };
}
