import { type HttpStandIn, sendJson, startHttpStandIn } from "./httpStandIn.js";

/** Stand-in for an engine and its staging area. */
export interface EngineStandIn extends HttpStandIn {
    /** Staged pieces by index. */
    readonly stage: Map<number, Buffer>;
    /** Orders that were received, including refused ones. */
    readonly orders: unknown[];
    /** Loaded version; 0 for none. */
    loaded: number;
    /** Number of running requests that the engine reports. */
    running: number;
    /** Whether the connection is closed without a response once an order has been applied. */
    loseAnswers: boolean;
    /** Number of further writes that store zeros in place of the content, by index of the piece. */
    readonly corruptWrites: Map<number, number>;
}

/**
 * Starts an engine that speaks the platform's protocol.
 *
 * @param model - name of the model that the engine can load
 * @returns the engine, without weights
 */
export async function startEngineStandIn(model: string): Promise<EngineStandIn> {
    let sequence = 0;
    const state = {
        stage: new Map<number, Buffer>(),
        orders: [] as unknown[],
        loaded: 0,
        running: 0,
        loseAnswers: false,
        corruptWrites: new Map<number, number>(),
    };
    const server = await startHttpStandIn((request, response, url, body) => {
        const index = url.searchParams.get("digest_count");
        if (url.pathname === "/api/report") {
            const models = state.loaded === 0 ? [] : [{ name: model, version: state.loaded, adapters: [] }];
            sendJson(response, 200, { models, busy: false, sequence, queued: 0, running: state.running, born: 5 });
        }
        else if (url.pathname === `/api/stage-get/${model}`) {
            const piece = state.stage.get(Number(index));
            if (!url.searchParams.has("digest_count")) {
                sendJson(response, 200, { held: [...state.stage.keys()] });
            }
            else if (piece === undefined) {
                sendJson(response, 404, {});
            }
            else {
                response.end(piece);
            }
        }
        else if (url.pathname === `/api/stage-put/${model}` && request.method === "PUT") {
            const position = Number(index);
            const corruptWritesLeft = state.corruptWrites.get(position) ?? 0;
            state.corruptWrites.set(position, corruptWritesLeft - 1);
            state.stage.set(position, corruptWritesLeft > 0 ? Buffer.alloc(body.length) : body);
            sendJson(response, 200, {});
        }
        else if (url.pathname === "/api/order") {
            const order = JSON.parse(body.toString()) as { readonly version: number; readonly expect: number; };
            state.orders.push(order);
            if (order.expect !== sequence) {
                sendJson(response, 409, {});
                return;
            }
            sequence++;
            state.loaded = order.version;
            if (state.loseAnswers) {
                response.destroy();
                return;
            }
            sendJson(response, 202, {});
        }
        else {
            sendJson(response, 404, {});
        }
    });
    return Object.assign(state, server);
}
