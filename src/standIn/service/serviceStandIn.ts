import { randomUUID } from "node:crypto";
import { createSystemClock } from "../../utils/index.js";
import { type Batch, createBatch, createJournal, type Journal, readHeader } from "../execution/index.js";
import {
    createJsonResponse,
    createRefusal,
    restartServer,
    type StandInRequest,
    type StandInResponse,
    type StandInRoute,
    type StandInServer,
    startStandInServer,
    wait,
} from "../http/index.js";
import { resolveServiceBehaviour, type ServiceBehaviour, type ServiceStandInOptions } from "./options.js";

/** Running stand-in for a plain service, a backend server without a model. */
export interface ServiceStandIn extends StandInServer {
    readonly journal: Journal;
    /** Simulates a crash: closes all connections, and listens again as a new incarnation after the restart delay. */
    crash(): Promise<void>;
}

interface ServiceCore {
    readonly behaviour: ServiceBehaviour;
    readonly journal: Journal;
    readonly batch: Batch;
    readonly crash: () => Promise<void>;
    incarnation: string;
}

/**
 * Starts the stand-in for a plain service. It answers every request (operation `execute`) with
 * `{ requestId, method, path, idempotencyKey, effects, body }`, where `effects` is the number of executions with the
 * idempotency key and `body` is the body of the request. `GET /health` has the operation `health`; `GET /journal` and
 * `POST /control/crash` are for tests.
 *
 * @param options - address, behaviour and faults
 * @returns the stand-in once it listens; rejects if the address cannot be bound
 */
export async function startServiceStandIn(options: ServiceStandInOptions = {}): Promise<ServiceStandIn> {
    const behaviour = resolveServiceBehaviour(options.behaviour);
    const journal = createJournal();
    const batch = createBatch(options.clock ?? createSystemClock(), behaviour.capacity, behaviour.queueLimit);
    let crash: ServiceCore["crash"] | undefined;
    const server = await startStandInServer(options, standIn => {
        crash = async () => {
            journal.crash();
            core.incarnation = randomUUID();
            await restartServer(standIn, behaviour.restartMilliseconds);
        };
        const core: ServiceCore = { behaviour, journal, batch, crash, incarnation: randomUUID() };
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
                const { incarnation, batch, behaviour } = core;
                const load = { running: batch.running, queued: batch.queued, capacity: behaviour.capacity };
                return createJsonResponse(200, { status: "ok", incarnation, ...load });
            },
        },
        {
            operation: "control",
            method: "GET",
            path: "/journal",
            handle: () => createJsonResponse(200, { entries: core.journal.list() }),
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
        { operation: "execute", method: "*", path: "*", handle: request => handleRequest(core, request) },
    ];
}

async function handleRequest(core: ServiceCore, request: StandInRequest): Promise<StandInResponse> {
    const requestId = readHeader(request, "x-request-id") ?? "";
    const headers = { "x-request-id": requestId };
    const releaseSlot = await core.batch.acquireSlot(Number(readHeader(request, "x-priority") ?? 5), request.signal);
    if (releaseSlot === undefined) {
        return createRefusal(503, "queue-full", { ...headers, "retry-after": "1" });
    }
    const idempotencyKey = readHeader(request, "idempotency-key");
    const entry = core.journal.begin({
        requestId,
        idempotencyKey,
        path: request.path,
        incarnation: core.incarnation,
        manifestDigest: "",
        concurrent: core.batch.running,
    });
    const body = Buffer.from(request.body).toString("utf8");
    if (body.includes(core.behaviour.crashMarker)) {
        await core.crash();
    }
    const finished = await wait(core.behaviour.workMilliseconds, request.signal);
    releaseSlot();
    if (entry.state === "running") {
        entry.state = finished ? "finished" : "canceled";
    }
    const effects = idempotencyKey === undefined ? 1 : core.journal.countEffects(idempotencyKey);
    const { method, path } = request;
    return createJsonResponse(200, { requestId, method, path, idempotencyKey, effects, body }, headers);
}
