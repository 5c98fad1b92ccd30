import type { Result } from "true-myth/result";
import type { GoldcrestpointError } from "../../types/index.js";
import { startHttpServer } from "../httpServer/index.js";
import { createCallerCalls } from "./callerCalls.js";
import type { EntryContext } from "./context.js";
import { createEntryRouter } from "./httpRoutes.js";
import type { RequestPipeline } from "./requestPipeline.js";

/** Running HTTP server of an entry instance; disposing of it answers the open requests before it closes them. */
export interface EntryServer extends AsyncDisposable {
    readonly port: number;
    /** Counts the responses that have not been sent completely. */
    readonly countOpen: () => number;
    readonly isDraining: () => boolean;
    /** Refuses further requests. */
    beginDrain(): void;
}

/**
 * Starts the HTTP server of an entry instance.
 *
 * @param context - the entry instance
 * @param pipeline - handles the requests of callers
 * @returns the server, or an error if the address cannot be bound
 */
export async function startEntryServer(
    context: EntryContext,
    pipeline: RequestPipeline,
): Promise<Result<EntryServer, GoldcrestpointError>> {
    const calls = createCallerCalls(context);
    let draining = false;
    const router = createEntryRouter(context, { pipeline, calls, isDraining: () => draining });
    const { clock, logger, settings } = context;
    const started = await startHttpServer(settings.instance.httpAddress, router, clock, undefined, logger);
    return started.map(server => ({
        port: server.port,
        countOpen: server.countOpen,
        isDraining: () => draining,
        beginDrain: () => {
            draining = true;
        },
        [Symbol.asyncDispose]: async () => {
            draining = true;
            await server.stopAccepting();
            calls.endDrain();
            await server[Symbol.asyncDispose]();
        },
    }));
}
