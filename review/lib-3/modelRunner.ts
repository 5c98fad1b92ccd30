import { createHash } from "node:crypto";
import type { IncomingMessage, ServerResponse } from "node:http";
import { type HttpStandIn, sendJson, startHttpStandIn } from "../../test/platform/standIn/httpStandIn.js";
import type { StoreStandIn } from "../../test/platform/standIn/storeStandIn.js";

/** Model of the installation, with small weights. */
export const model = { name: "daka510000", layers: 4, chunks: 8, chunkBytes: 1_024, warmMilliseconds: 300 };

/** Creates a piece of the weights. */
export function createPiece(version: number, index: number): Buffer {
    return Buffer.alloc(model.chunkBytes, `${model.name}/${version}/${index};`);
}

/** Starts the origin of the weights. */
export function startOrigin(host: string): Promise<HttpStandIn> {
    return startHttpStandIn(
        (...[, response, url]) => {
            const version = Number(url.searchParams.get("version") ?? "1");
            if (url.pathname === `/api/manifest/${model.name}`) {
                const digests = Array.from(
                    { length: model.chunks },
                    (...[, index]) => createHash("sha256").update(createPiece(version, index)).digest("hex"),
                );
                const { chunkBytes, layers, name } = model;
                sendJson(response, 200, { model: name, version, chunk_bytes: chunkBytes, layers, digests });
                return;
            }
            response.end(createPiece(version, Number(url.searchParams.get("digest_count"))));
        },
        undefined,
        host,
    );
}

/** Request that a model runner gets. */
export interface RunnerRequest {
    readonly runner: string;
    readonly attemptId: string;
    readonly headers: IncomingMessage["headers"];
    readonly method: string;
    readonly path: string;
    readonly body: string;
}

/** Options of {@link startModelRunner}. */
export interface ModelRunnerOptions {
    readonly ip: string;
    readonly port: number;
    readonly zone: string;
    readonly service: string;
    readonly store: Pick<StoreStandIn, "drop" | "write">;
    readonly slots: number;
    /** Time until the first event. */
    readonly firstMilliseconds: number;
    readonly events: number;
    readonly eventMilliseconds: number;
    /** Time from a crash to the next start. */
    readonly downMilliseconds: number;
    /** Called with each request that arrives at the runner and is not turned away. */
    readonly onArrival?: (request: RunnerRequest) => void;
    /** Called when a runner begins to write an answer; the runner crashes if it returns true. */
    readonly onBegin?: (request: RunnerRequest) => boolean;
    /** Called when an event of an answer has been written; the runner crashes if it returns true. */
    readonly onEvent?: (request: RunnerRequest, event: number) => boolean;
    readonly onCrash?: (runner: string) => void;
    /** Called with the response to each request that the runner executes; writes it if it returns true. */
    readonly write?: (request: RunnerRequest, response: ServerResponse, head: Readonly<Record<string, string>>) => boolean;
}

/** Model runner, which starts again after each crash. */
export interface ModelRunner extends AsyncDisposable {
    readonly id: () => string;
    readonly isUp: () => boolean;
    /** Whether it holds weights. */
    readonly isLoaded: () => boolean;
    crash(): void;
}

const heartbeatMilliseconds = 1_200;
const responseSeal = "3e1b.07.5a2.600.0.c9f2a4d1";
let starts = 0;

function pause(milliseconds: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, milliseconds));
}

/** Starts a model runner that holds version 1 and has it staged. */
export async function startModelRunner(options: ModelRunnerOptions): Promise<ModelRunner> {
    const { ip, port, service, slots, store, zone } = options;
    const stage = new Map<number, Buffer>();
    for (let index = 0; index < model.chunks; index++) {
        stage.set(index, createPiece(1, index));
    }
    const state = { id: "", born: 0, loaded: 0, sequence: 0, busy: false, running: 0, beats: 0, up: false };
    let server: HttpStandIn | undefined;
    let stopped = false;

    function describe(): Record<string, unknown> {
        return {
            stage: "prefill_decode",
            models: state.loaded === 0 ? [] : [{ name: model.name, version: state.loaded, adapters: [] }],
            ...(state.loaded === 0 ? {} : { layers: { from: 0, target: model.layers, version: state.loaded } }),
            born: state.born,
        };
    }

    function beat(): void {
        if (state.up) {
            state.beats++;
            store.write("keyed.servers", state.id, {
                service,
                address: `${ip}:${port}`,
                zone,
                version: "v1",
                slots,
                state: "ready",
                cold_remaining_ms: 0,
                ...describe(),
                sequence: state.beats,
            });
        }
    }

    function crash(): void {
        if (!state.up) {
            return;
        }
        const { id } = state;
        state.up = false;
        server!.crash();
        options.onCrash?.(id);
        // An entry is removed after three check-in intervals of silence.
        setTimeout(() => store.drop("keyed.servers", id), 3 * heartbeatMilliseconds);
        setTimeout(() => void start(0), options.downMilliseconds);
    }

    function order(body: string, response: ServerResponse): void {
        const { expect, from, target, version } = JSON.parse(body) as {
            readonly expect?: number;
            readonly version: number;
            readonly from?: number;
            readonly target?: number;
        };
        if (state.busy || (expect !== undefined && expect !== state.sequence)) {
            sendJson(response, 409, {});
            return;
        }
        const wanted = from === 0 && target === 0 ? 0 : version;
        if (wanted === state.loaded) {
            sendJson(response, 200, {});
            return;
        }
        const { id } = state;
        state.sequence++;
        state.busy = true;
        setTimeout(() => {
            if (state.id === id) {
                state.busy = false;
                state.loaded = wanted;
                beat();
            }
        }, model.warmMilliseconds);
        sendJson(response, 202, {});
    }

    async function answer(request: RunnerRequest, response: ServerResponse): Promise<void> {
        const { id } = state;
        state.running++;
        response.once("close", () => {
            state.running -= state.id === id ? 1 : 0;
        });
        await pause(options.firstMilliseconds);
        if (response.destroyed || state.id !== id || !state.up) {
            return;
        }
        if (options.onBegin?.(request) === true) {
            crash();
            return;
        }
        const head = {
            "attempt-id": request.attemptId,
            "response-seal": responseSeal,
            "runner-load": `${state.running},0,${slots}`,
            "weight-versions": String(state.loaded),
            "content-type": "text/event-stream",
        };
        if (options.write?.(request, response, head) === true) {
            return;
        }
        response.writeHead(200, head);
        const first = Number(request.headers["last-event-id"] ?? 0) + 1;
        for (let event = first; event <= options.events && !response.destroyed; event++) {
            response.write(`id: ${event}\ndata: ${request.attemptId} ${event}\n\n`);
            await pause(options.eventMilliseconds);
            if (options.onEvent?.(request, event) === true) {
                crash();
                return;
            }
        }
        response.end();
    }

    async function start(loaded: number): Promise<void> {
        if (stopped) {
            return;
        }
        starts++;
        Object.assign(state, {
            id: `i-${ip.replaceAll(".", "")}${starts.toString(16).padStart(4, "0")}`,
            born: Date.now(),
            loaded,
            sequence: 0,
            busy: false,
            running: 0,
            beats: 0,
        });
        server = await startHttpStandIn(handle, port, ip);
        state.up = true;
        beat();
    }

    function handle(request: IncomingMessage, response: ServerResponse, url: URL, body: Buffer): void {
        const index = url.searchParams.get("digest_count");
        const attemptId = String(request.headers["attempt-id"] ?? "");
        if (url.pathname === "/api/report") {
            const { busy, running, sequence } = state;
            const counts = { busy, sequence, queued: 0, running, kv_used: 0, kv_total: 90_000, handles: 0 };
            sendJson(response, 200, { ...describe(), ...counts });
        }
        else if (url.pathname === `/api/stage-get/${model.name}`) {
            const piece = index === null ? undefined : stage.get(Number(index)); // eslint-disable-line no-restricted-syntax
            if (!url.searchParams.has("digest_count")) {
                sendJson(response, 200, { held: [...stage.keys()] });
            }
            else if (piece === undefined) {
                sendJson(response, 404, {});
            }
            else {
                response.end(piece);
            }
        }
        else if (url.pathname === `/api/stage-put/${model.name}`) {
            stage.set(Number(index), body);
            sendJson(response, 200, {});
        }
        else if (url.pathname === "/api/order") {
            order(body.toString(), response);
        }
        else if (url.pathname === "/health") {
            response.writeHead(200, { "runner-id": state.id }).end();
        }
        else if (request.headers["expect-instance"] !== state.id) {
            response.writeHead(421, { "attempt-id": attemptId, "runner-id": state.id }).end();
        }
        else if (Number(request.headers["expect-version"] ?? state.loaded) !== state.loaded) {
            response.writeHead(421, { "attempt-id": attemptId, "runner-id": state.id }).end();
        }
        else if (state.loaded === 0 || state.busy || state.running >= slots) {
            response.writeHead(503, { "attempt-id": attemptId, "not-executed": "1" }).end();
        }
        else {
            const arrived: RunnerRequest = {
                runner: state.id,
                attemptId,
                headers: request.headers,
                method: request.method ?? "",
                path: request.url ?? "",
                body: body.toString(),
            };
            options.onArrival?.(arrived);
            void answer(arrived, response);
        }
    }

    await start(1);
    const timer = setInterval(beat, heartbeatMilliseconds);
    return {
        id: () => state.id,
        isUp: () => state.up,
        isLoaded: () => state.up && state.loaded > 0,
        crash,
        [Symbol.asyncDispose]: async () => {
            stopped = true;
            clearInterval(timer);
            if (state.up) {
                await server?.[Symbol.asyncDispose]();
            }
        },
    };
}
