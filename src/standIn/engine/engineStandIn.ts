import { z } from "zod";
import type { EngineOrder } from "../../types/index.js";
import { createSystemClock } from "../../utils/index.js";
import type { Journal } from "../execution/index.js";
import {
    answerJson,
    answerRefusal,
    parseJsonObject,
    restartServer,
    type StandInAnswer,
    type StandInRequest,
    type StandInRoute,
    type StandInServer,
    startStandInServer,
    wait,
} from "../http/index.js";
import { answerCompletion } from "./completions.js";
import { createEngineCore, type EngineCore } from "./core.js";
import { type EngineStandInOptions, resolveEngineBehaviour } from "./options.js";
import { carryOutOrder, orderSchema } from "./orders.js";
import type { StageOutcome } from "./sets.js";

/** Running stand-in of a model engine. */
export interface EngineStandIn extends StandInServer {
    readonly journal: Journal;
    /** Drops all connections, loses all sets and listens again, as a new incarnation, after the restart delay. */
    crash(): Promise<void>;
}

/**
 * Starts the stand-in of a model engine.
 *
 * Operations: `engine-state` (`GET /state`), `engine-order` (`POST /orders`), `chunk-stage` and `chunk-read`
 * (`PUT` and `GET /sets/DIGEST/chunks/INDEX`), `execute` (`POST /v1/completions`), `cancel`
 * (`POST /requests/ID/cancel`). `GET /journal`, `GET /health` and `POST /control/crash` serve tests.
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
        route("engine-state", "GET", "/state", () => answerJson(200, core.readState())),
        route("engine-order", "POST", "/orders", request => answerOrder(core, request, stopped)),
        route("chunk-stage", "PUT", chunkPath, request => answerStage(core, request)),
        route("chunk-read", "GET", chunkPath, request => answerRead(core, request)),
        route("execute", "POST", "/v1/completions", request => answerCompletion(core, request)),
        route(
            "cancel",
            "POST",
            "/requests/:request/cancel",
            ({ parameters }) =>
                core.cancel(parameters["request"] ?? "") ? { status: 204 } : answerRefusal(404, "no such request"),
        ),
        route("health", "GET", "/health", () => answerJson(200, { status: "ok", incarnation: core.incarnation })),
        route("control", "GET", "/journal", () => answerJson(200, { entries: core.journal.list() })),
        route("control", "POST", "/control/crash", async () => {
            await core.crash();
            return { status: 204 };
        }),
    ];
}

async function answerOrder(core: EngineCore, { body }: StandInRequest, stopped: AbortSignal): Promise<StandInAnswer> {
    const parsed = orderSchema.safeParse(parseJsonObject(body));
    if (!parsed.success) {
        return answerRefusal(400, z.prettifyError(parsed.error));
    }
    const order: EngineOrder = parsed.data;
    if (order.kind === "activate" && core.behaviour.activationMilliseconds > 0) {
        // The activation takes effect also if the agent gives up waiting.
        await wait(core.behaviour.activationMilliseconds, stopped);
    }
    const refused = carryOutOrder(order, core.target, core.behaviour);
    return refused === undefined ? answerJson(200, order) : answerRefusal(409, refused);
}

const stageStatuses: Readonly<Record<StageOutcome, number>> = {
    staged: 204,
    "not-prepared": 409,
    "out-of-range": 400,
    "out-of-memory": 413,
};

function answerStage(core: EngineCore, { parameters, body }: StandInRequest): StandInAnswer {
    const outcome = core.target.sets.stage(parameters["digest"] ?? "", Number(parameters["index"]), body);
    const status = stageStatuses[outcome];
    return outcome === "staged" ? { status } : answerRefusal(status, outcome);
}

function answerRead(core: EngineCore, { parameters }: StandInRequest): StandInAnswer {
    const chunk = core.target.sets.read(parameters["digest"] ?? "", Number(parameters["index"]));
    return chunk === undefined ?
        answerRefusal(404, "no such chunk") :
        { status: 200, headers: { "content-type": "application/octet-stream" }, body: chunk };
}
