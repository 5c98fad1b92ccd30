import { randomUUID } from "node:crypto";
import {
    answerJson,
    answerRefusal,
    createJournal,
    type Journal,
    type StandInAnswer,
    type StandInRequest,
    type StandInRoute,
    type StandInServer,
    startStandInServer,
    wait,
} from "../http/index.js";
import { resolveServiceBehaviour, type ServiceBehaviour, type ServiceStandInOptions } from "./options.js";

/** Running stand-in of a plain service. */
export interface ServiceStandIn extends StandInServer {
    readonly journal: Journal;
    /** Drops all connections and listens again, as a new incarnation, after the restart delay. */
    crash(): Promise<void>;
}

interface ServiceCore {
    readonly behaviour: ServiceBehaviour;
    readonly journal: Journal;
    readonly crash: () => Promise<void>;
    incarnation: string;
    running: number;
}

/**
 * Starts the stand-in of a plain service. It answers every request (operation `execute`) with
 * `{ requestId, method, path, idempotencyKey, effects, body }`, where `effects` counts the executions with the
 * idempotency key and `body` repeats the request's body. `GET /health` is operation `health`; `GET /journal` and
 * `POST /control/crash` serve tests.
 *
 * @param options - address, behaviour and faults
 * @returns the stand-in once it listens; rejects if the address cannot be bound
 */
export async function startServiceStandIn(options: ServiceStandInOptions = {}): Promise<ServiceStandIn> {
    const behaviour = resolveServiceBehaviour(options.behaviour);
    const journal = createJournal();
    let crash: ServiceCore["crash"] | undefined;
    const server = await startStandInServer(options, standIn => {
        crash = async () => {
            journal.crash();
            core.incarnation = randomUUID();
            await standIn.suspend();
            void wait(behaviour.restartMilliseconds, standIn.stopped)
                .then(passed => passed ? standIn.resume() : undefined);
        };
        const core: ServiceCore = { behaviour, journal, crash, incarnation: randomUUID(), running: 0 };
        return createServiceRoutes(core);
    });
    return { ...server, journal, crash: crash! };
}

function createServiceRoutes(core: ServiceCore): StandInRoute[] {
    return [
        {
            operation: "health",
            method: "GET",
            path: "/health",
            handle: () => {
                const { incarnation, running, behaviour } = core;
                return answerJson(200, { status: "ok", incarnation, running, queued: 0, capacity: behaviour.capacity });
            },
        },
        {
            operation: "control",
            method: "GET",
            path: "/journal",
            handle: () => answerJson(200, { entries: core.journal.list() }),
        },
        {
            operation: "control",
            method: "POST",
            path: "/control/crash",
            handle: async () => {
                await core.crash();
                return { status: 204 };
            },
        },
        { operation: "execute", method: "*", path: "*", handle: request => answerRequest(core, request) },
    ];
}

async function answerRequest(core: ServiceCore, request: StandInRequest): Promise<StandInAnswer> {
    const requestId = readHeader(request, "x-request-id") ?? "";
    const headers = { "x-request-id": requestId };
    if (core.running >= core.behaviour.capacity) {
        return answerRefusal(503, "all places are taken", { ...headers, "retry-after": "1" });
    }
    const idempotencyKey = readHeader(request, "idempotency-key");
    core.running += 1;
    const entry = core.journal.begin({
        requestId,
        idempotencyKey,
        path: request.path,
        incarnation: core.incarnation,
        manifestDigest: "",
        concurrent: core.running,
    });
    const body = Buffer.from(request.body).toString("utf8");
    if (body.includes(core.behaviour.crashMarker)) {
        await core.crash();
    }
    const finished = await wait(core.behaviour.workMilliseconds, request.signal);
    core.running -= 1;
    if (entry.state === "running") {
        entry.state = finished ? "finished" : "canceled";
    }
    const effects = idempotencyKey === undefined ? 1 : core.journal.countEffects(idempotencyKey);
    const { method, path } = request;
    return answerJson(200, { requestId, method, path, idempotencyKey, effects, body }, headers);
}

function readHeader(request: StandInRequest, name: string): string | undefined {
    const value = request.headers[name];
    return typeof value === "string" && value !== "" ? value : undefined;
}
