import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { sleep } from "../../../src/utils/index.js";
import { type EngineCounts, EngineLifetime, type EngineLifetimeOptions, type EngineOrder } from "./engineLifetime.js";
import { sendJson } from "./httpStandIn.js";
import { formatFaults, StagingArea } from "./stagingArea.js";
import { allLayers, chunkCount, layerCount, makeChunk, testModel } from "./testWeights.js";

const tokenMilliseconds = 100;
const slots = 16;
/** Events of a stream, with one token each. */
export const streamEvents = 16;
/** Time limit of the agent's calls. */
const callTimeLimitMilliseconds = 1_000;

/** Options of {@link startStagingEngine}. */
export interface StagingEngineOptions {
    readonly id: string;
    readonly ip: string;
    readonly port: number;
    /** Reads the newest declared version. */
    readonly readDeclared: () => number;
    /** Receives what the engine does. */
    readonly record: (event: string) => void;
    /** Called once all layers of a version are loaded, and at each token. */
    readonly onProgress: (step: "loaded" | "token", version: number) => void;
}

/** Engine with a staging area, whose orders and writes can be late. */
export interface StagingEngine extends AsyncDisposable {
    readonly id: string;
    readonly ip: string;
    readonly address: string;
    readonly counts: Readonly<EngineCounts>;
    /** Version of which all layers are loaded, from the right chunks; 0 if there is none. */
    readonly version: () => number;
    /** Entry in the list of backend servers; undefined while the engine cannot write one. */
    readonly entry: () => Readonly<Record<string, unknown>> | undefined;
    /** Stops the whole engine for a time; requests that arrive meanwhile are handled in order afterwards. */
    stall(duration: number): void;
    /** Stops the whole engine as soon as it receives an order; `corrupted` chunks become corrupt meanwhile. */
    stallAtNextOrder(duration: number, corrupted: readonly number[]): void;
    /** Handles orders that arrive within a time late, while it answers everything else. */
    delayOrders(window: number, delay: number): void;
    /** Applies writes to the staging area that arrive within a time late; `draw` returns the delay of each. */
    delayWrites(window: number, draw: () => number): void;
    /** Lets staged chunks become corrupt. */
    corrupt(indexes: readonly number[]): void;
    /** Crashes and starts again without weights; the staging area survives unless power is lost. */
    restart(downtime: number, losesPower: boolean): Promise<void>;
}

async function readBody(request: IncomingMessage): Promise<Buffer> {
    const parts: Buffer[] = [];
    for await (const part of request as AsyncIterable<Buffer>) {
        parts.push(part);
    }
    return Buffer.concat(parts);
}

/**
 * Starts an engine that holds version 1, which is also staged.
 *
 * @param options - identity, address and observers
 * @returns the engine
 */
export async function startStagingEngine(options: StagingEngineOptions): Promise<StagingEngine> {
    const { id, ip, onProgress, port, readDeclared, record } = options;
    const staging = new StagingArea();
    for (let index = 0; index < chunkCount; index++) {
        staging.put(index, makeChunk(1, index));
    }
    const counts: EngineCounts = { tokens: 0, wrongTokens: 0, loads: 0, wrongLoads: 0, lateOrders: 0, lateWrites: 0 };
    const lateOrders = { until: 0, delay: 0 };
    let lateWrites = { until: 0, draw: () => 0 };
    let servedVersion = 0;
    let orderStall: { readonly duration: number; readonly corrupted: readonly number[]; } | undefined;
    const lifetimeOptions: EngineLifetimeOptions = {
        id,
        staging,
        counts,
        record,
        readDeclared,
        onLoaded: version => onProgress("loaded", version),
    };
    let life = new EngineLifetime(lifetimeOptions, { ...allLayers, version: 1, faults: [] });

    async function handleOrder(current: EngineLifetime, body: Buffer, response: ServerResponse): Promise<void> {
        const order = JSON.parse(body.toString()) as EngineOrder;
        const arrivedAt = performance.now();
        const range = order.from === undefined ? "" : ` (layers ${order.from} to ${order.target})`;
        record(`${id} receives an order for version ${order.version}${range}, expect ${order.expect}`);
        if (orderStall !== undefined) {
            const { corrupted, duration } = orderStall;
            orderStall = undefined;
            stall(duration);
            setTimeout(() => corrupt(corrupted), Math.min(200, duration / 2));
        }
        await current.requests.pass();
        await current.orders.pass(arrivedAt < lateOrders.until ? arrivedAt + lateOrders.delay : 0);
        // The engine may have stopped while the order waited for its handler.
        await current.requests.pass();
        if (current.hasEnded) {
            return;
        }
        const waited = Math.round(performance.now() - arrivedAt);
        counts.lateOrders += waited > callTimeLimitMilliseconds ? 1 : 0;
        const status = current.accept(order);
        record(`${id} answers the order for version ${order.version} after ${waited} ms: ${status}`);
        sendJson(response, status, {});
    }

    async function write(
        current: EngineLifetime,
        index: number,
        content: Buffer,
        response: ServerResponse,
    ): Promise<void> {
        const delay = performance.now() < lateWrites.until ? lateWrites.draw() : 0;
        if (delay > 0) {
            counts.lateWrites++;
            await sleep(delay);
            await current.requests.pass();
            if (current.hasEnded) {
                return;
            }
        }
        staging.put(index, content);
        if (delay > callTimeLimitMilliseconds) {
            record(`${id} applies a write of chunk ${index} (${content.toString("latin1", 0, 12).split(";")[0]}) late`);
        }
        sendJson(response, 200, {});
    }

    async function run(current: EngineLifetime, request: IncomingMessage, response: ServerResponse): Promise<void> {
        const { running } = current;
        const loaded = current.readServing();
        const attemptId = String(request.headers["attempt-id"]);
        const head = { "attempt-id": attemptId, "runner-id": id };
        const expected = request.headers["expect-version"];
        if (
            (request.headers["expect-instance"] ?? id) !== id ||
            (loaded !== undefined && (loaded.from > 0 || loaded.target < layerCount)) ||
            (loaded !== undefined && expected !== undefined && Number(expected) !== loaded.version)
        ) {
            response.writeHead(421, { ...head, "not-executed": "1" }).end();
            return;
        }
        if (loaded === undefined || running.size >= slots) {
            response.writeHead(503, { ...head, "not-executed": "1" }).end();
            return;
        }
        let isCut = false;
        const cut = (): void => {
            isCut = true;
        };
        running.add(cut);
        response.once("close", cut);
        response.writeHead(200, {
            ...head,
            "response-seal": "3e1b.07.5a2.600.0.c9f2a4d1",
            "content-type": "text/event-stream",
            "weight-versions": String(loaded.version),
            "runner-load": `${running.size},0,${slots}`,
        });
        const first = Number(request.headers["last-event-id"] ?? 0) + 1;
        for (let index = first; index <= streamEvents && !isCut; index++) {
            response.write(`id: ${index}\ndata: version ${loaded.version} at ${id}\n\n`);
            counts.tokens++;
            if (servedVersion !== loaded.version) {
                servedVersion = loaded.version;
                record(`${id} serves version ${loaded.version}`);
            }
            onProgress("token", loaded.version);
            if (loaded.faults.length > 0) {
                counts.wrongTokens++;
                record(
                    `WHOLE: ${id} makes a token for ${attemptId} with version ${loaded.version}: ` +
                        formatFaults(loaded.faults),
                );
            }
            await sleep(tokenMilliseconds);
            await current.requests.pass();
        }
        running.delete(cut);
        if (isCut) {
            response.destroy();
            return;
        }
        response.end();
    }

    function readStaged(url: URL, response: ServerResponse): void {
        if (!url.searchParams.has("digest_count")) {
            sendJson(response, 200, { held: staging.list() });
            return;
        }
        const content = staging.get(Number(url.searchParams.get("digest_count")));
        response.writeHead(content === undefined ? 404 : 200).end(content);
    }

    async function handle(current: EngineLifetime, request: IncomingMessage, response: ServerResponse): Promise<void> {
        const url = new URL(request.url ?? "/", "http://engine");
        const body = await readBody(request);
        if (url.pathname === "/api/order") {
            await handleOrder(current, body, response);
            return;
        }
        await current.requests.pass();
        if (current.hasEnded) {
            return;
        }
        if (url.pathname === "/api/report") {
            sendJson(response, 200, current.report());
        }
        else if (url.pathname === `/api/stage-get/${testModel}`) {
            readStaged(url, response);
        }
        else if (url.pathname === `/api/stage-put/${testModel}` && request.method === "PUT") {
            await write(current, Number(url.searchParams.get("digest_count")), body, response);
        }
        else if (!response.destroyed) {
            await run(current, request, response);
        }
    }

    const sockets = new Set<Socket>();
    let server: Server | undefined;

    async function listen(): Promise<void> {
        const current = life;
        server = createServer((request, response) => {
            handle(current, request, response).catch(() => response.destroy());
        });
        server.on("connection", (socket: Socket) => {
            sockets.add(socket);
            socket.once("close", () => sockets.delete(socket));
        });
        await new Promise<void>(resolve => server?.listen(port, ip, resolve));
    }

    async function end(): Promise<void> {
        life.hasEnded = true;
        life.running.forEach(cut => cut());
        const closing = server;
        server = undefined;
        const closed = new Promise<void>(resolve => closing === undefined ? resolve() : closing.close(() => resolve()));
        sockets.forEach(socket => socket.resetAndDestroy());
        await closed;
    }

    function stall(duration: number): void {
        record(`${id} stops for ${Math.round(duration)} ms`);
        life.requests.hold(duration);
    }

    function corrupt(indexes: readonly number[]): void {
        if (indexes.length > 0) {
            record(`${id}: chunks ${indexes.join(", ")} become corrupt`);
            staging.corrupt(indexes);
        }
    }

    await listen();
    return {
        id,
        ip,
        address: `${ip}:${port}`,
        counts,
        version: () => life.readVersion(),
        entry: () =>
            server === undefined || life.requests.isHeld() ?
                undefined :
                { ...life.describe(), service: "scribe", slots },
        stall,
        corrupt,
        stallAtNextOrder: (duration, corrupted) => {
            orderStall = { duration, corrupted };
        },
        delayOrders: (window, delay) => {
            record(`${id} handles orders ${Math.round(delay)} ms late for ${Math.round(window)} ms`);
            lateOrders.until = performance.now() + window;
            lateOrders.delay = delay;
        },
        delayWrites: (window, draw) => {
            record(`${id} applies some writes late for ${Math.round(window)} ms`);
            lateWrites = { until: performance.now() + window, draw };
        },
        restart: async (downtime, losesPower) => {
            if (server === undefined) {
                return;
            }
            record(`${id} ${losesPower ? "loses power" : "crashes"} for ${Math.round(downtime)} ms`);
            await end();
            if (losesPower) {
                staging.clear();
            }
            await sleep(downtime);
            life = new EngineLifetime(lifetimeOptions, undefined);
            record(`${id} starts without weights`);
            await listen();
        },
        [Symbol.asyncDispose]: end,
    };
}
