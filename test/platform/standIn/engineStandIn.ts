import { type HttpStandIn, sendJson, startHttpStandIn } from "./httpStandIn.js";

/** Stand-in of an engine with its stage. */
export interface EngineStandIn extends HttpStandIn {
    /** Staged pieces by position. */
    readonly stage: Map<number, Buffer>;
    readonly orders: unknown[];
    /** Loaded version; 0 for none. */
    loaded: number;
    running: number;
    /** Orders are carried out, but their answers are lost. */
    loseAnswers: boolean;
    /** Pieces that turn bad when they are written, as often as the number says. */
    readonly spoilt: Map<number, number>;
}

/**
 * Starts an engine that speaks the platform's protocol.
 *
 * @param model - model that it can load
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
        spoilt: new Map<number, number>(),
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
            const left = state.spoilt.get(position) ?? 0;
            state.spoilt.set(position, left - 1);
            state.stage.set(position, left > 0 ? Buffer.alloc(body.length) : body);
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
