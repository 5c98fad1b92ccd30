import { createServer, type IncomingMessage, type ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { record, sleep } from "./case.js";
import { seal } from "./runner.js";
import { digest, layers, makePiece, model, pieces } from "./weights.js";

/** Time for which a piece may have been bad when its layer is taken. */
const rotAllowance = 3_000;
const loadTime = 300;
const slots = 16;

interface StagedPiece {
    content: Buffer;
    /** Monotonic time at which the content turned bad by itself; undefined if it did not. */
    rottenAt: number | undefined;
}

interface LoadedVersion {
    readonly version: number;
    /** What was wrong with the pieces when they were taken, beyond what the rule allows; empty if nothing was. */
    readonly faults: readonly string[];
}

/** Model runner with a staging area, as PROTOCOL describes it. */
export interface ModelRunner {
    readonly id: string;
    readonly address: string;
    /** Tokens that were made with a layer that must not have been taken. */
    readonly wrongTokens: () => number;
    readonly version: () => number;
    /** Monotonic time at which the whole staged set was last read back; undefined before. */
    readonly readBackAt: () => number | undefined;
    /** Lets staged pieces turn bad. */
    rot(indexes: readonly number[]): void;
    /** Loses power and starts again: the runner holds and knows nothing of before, and its counts start anew. */
    losePower(): void;
    /** Current entry of the list. */
    entry(): Readonly<Record<string, unknown>>;
}

async function readBody(request: IncomingMessage): Promise<Buffer> {
    const parts: Buffer[] = [];
    for await (const part of request as AsyncIterable<Buffer>) {
        parts.push(part);
    }
    return Buffer.concat(parts);
}

function sendJson(response: ServerResponse, status: number, content: unknown): void {
    response.writeHead(status, { "content-type": "application/json" });
    response.end(JSON.stringify(content));
}

/** Starts a model runner that holds version 1, which is also staged. */
export async function startModelRunner(id: string, ip: string, port: number): Promise<ModelRunner> {
    let born = Date.now();
    const staged = new Map<number, StagedPiece>(
        Array.from({ length: pieces }, (...[, index]) => [index, { content: makePiece(1, index), rottenAt: undefined }]),
    );
    const running = new Set<() => void>();
    const readBack = new Set<number>();
    let readBackAt: number | undefined;
    let loaded: LoadedVersion | undefined = { version: 1, faults: [] };
    let isBusy = false;
    let sequence = 0;
    let wrongTokens = 0;

    function describe(): Readonly<Record<string, unknown>> {
        const version = loaded?.version;
        return {
            stage: "prefill_decode",
            born,
            models: version === undefined ? [] : [{ name: model, version, adapters: [] }],
            ...(version === undefined ? {} : { layers: { from: 0, target: layers, version } }),
        };
    }

    function findFaults(version: number): readonly string[] {
        const now = performance.now();
        return Array.from({ length: pieces }, (...[, index]) => {
            const piece = staged.get(index);
            if (piece === undefined) {
                return `piece ${index} is missing`;
            }
            if (digest(piece.content) === digest(makePiece(version, index))) {
                return "";
            }
            const badFor = piece.rottenAt === undefined ? Infinity : now - piece.rottenAt;
            return badFor <= rotAllowance ? "" : `piece ${index} has been bad for ${Math.round(badFor)} ms`;
        }).filter(fault => fault !== "");
    }

    async function load(version: number, faults: readonly string[], mode: string): Promise<void> {
        if (mode === "truncate") {
            [...running].forEach(cut => cut());
        }
        while (running.size > 0) {
            await sleep(10);
        }
        loaded = undefined;
        await sleep(loadTime);
        loaded = { version, faults };
        isBusy = false;
        record(`${id} has loaded version ${version}`);
    }

    function order(body: Buffer, response: ServerResponse): void {
        const { expect, mode, op, version } = JSON.parse(body.toString()) as {
            readonly op: string;
            readonly version: number;
            readonly mode: string;
            readonly expect?: number;
        };
        if (op !== "start") {
            sendJson(response, 400, {});
        }
        else if (isBusy || (expect !== undefined && expect !== sequence)) {
            sendJson(response, 409, {});
        }
        else if (loaded?.version === version) {
            sendJson(response, 200, {});
        }
        else {
            sequence++;
            isBusy = true;
            const faults = findFaults(version);
            record(`${id} accepts an order to load version ${version}: ${faults.join(", ") || "every piece is right"}`);
            sendJson(response, 202, {});
            void load(version, faults, mode);
        }
    }

    async function run(request: IncomingMessage, response: ServerResponse): Promise<void> {
        const attemptId = String(request.headers["attempt-id"]);
        if (request.headers["expect-instance"] !== id) {
            response.writeHead(421, { "attempt-id": attemptId, "runner-id": id }).end();
            return;
        }
        if (isBusy || loaded === undefined || running.size >= slots) {
            response.writeHead(503, { "attempt-id": attemptId, "not-executed": "1" }).end();
            return;
        }
        const { faults, version } = loaded;
        let isCut = false;
        const cut = (): void => {
            isCut = true;
        };
        running.add(cut);
        response.once("close", cut);
        response.writeHead(200, {
            "attempt-id": attemptId,
            "response-seal": seal,
            "content-type": "text/event-stream",
            "weight-versions": String(version),
            "runner-load": `${running.size},0,${slots}`,
        });
        const events = 16;
        for (let index = Number(request.headers["last-event-id"] ?? 0) + 1; index <= events && !isCut; index++) {
            response.write(`id: ${index}\ndata: version ${version} at ${id}\n\n`);
            if (faults.length > 0) {
                wrongTokens++;
                record(`WHOLE: ${id} makes a token for ${attemptId} with version ${version}: ${faults.join(", ")}`);
            }
            await sleep(100);
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
            sendJson(response, 200, { held: [...staged.keys()] });
            return;
        }
        const index = Number(url.searchParams.get("digest_count"));
        const piece = staged.get(index);
        if (piece === undefined) {
            response.writeHead(404).end();
            return;
        }
        readBack.add(index);
        if (readBack.size === pieces) {
            readBack.clear();
            readBackAt = performance.now();
        }
        response.writeHead(200).end(piece.content);
    }

    const server = createServer((request, response) => {
        void (async () => {
            const url = new URL(request.url ?? "/", "http://runner");
            const body = await readBody(request);
            if (url.pathname === "/api/report") {
                const load = { queued: 0, running: running.size, kv_used: 0, kv_total: 317_000, handles: 0 };
                sendJson(response, 200, { ...describe(), busy: isBusy, sequence, ...load });
            }
            else if (url.pathname === `/api/stage-get/${model}`) {
                readStaged(url, response);
            }
            else if (url.pathname === `/api/stage-put/${model}` && request.method === "PUT") {
                staged.set(Number(url.searchParams.get("digest_count")), { content: body, rottenAt: undefined });
                readBack.clear();
                sendJson(response, 200, {});
            }
            else if (url.pathname === "/api/order") {
                order(body, response);
            }
            else {
                await run(request, response);
            }
        })().catch(() => response.destroy());
    });
    const sockets = new Set<Socket>();
    server.on("connection", (socket: Socket) => {
        sockets.add(socket);
        socket.once("close", () => sockets.delete(socket));
    });
    await new Promise<void>(resolve => server.listen(port, ip, resolve));
    return {
        id,
        address: `${ip}:${port}`,
        wrongTokens: () => wrongTokens,
        version: () => loaded?.version ?? 0,
        readBackAt: () => readBackAt,
        rot: indexes => {
            for (const index of indexes) {
                const piece = staged.get(index);
                if (piece !== undefined) {
                    piece.content = Buffer.alloc(piece.content.length, 255);
                    piece.rottenAt = performance.now();
                    record(`piece ${index} at ${id} turns bad`);
                }
            }
        },
        losePower: () => {
            [...running].forEach(cut => cut());
            sockets.forEach(socket => socket.destroy());
            staged.clear();
            loaded = undefined;
            isBusy = false;
            sequence = 0;
            born = Date.now();
            record(`${id} has lost power and starts again without weights`);
        },
        entry: () => ({ ...describe(), service: "scribe", slots }),
    };
}
