import { type HttpStandIn, startHttpStandIn } from "../../test/platform/standIn/httpStandIn.js";
import type { StoreStandIn } from "../../test/platform/standIn/storeStandIn.js";

/** Request that a runner has run. */
export interface Run {
    readonly id: string;
    readonly path: string;
    /** Monotonic time in milliseconds at which it reached the runner. */
    readonly reachedAt: number;
    /** True once the whole answer was written. */
    isAnswered: boolean;
}

/** Sound runner of a plain service, with its entry in the store. */
export interface Runner extends HttpStandIn {
    readonly id: string;
    readonly runs: readonly Run[];
    /** Writes the entry, and again with each check-in. */
    register(): void;
    /** Ends the check-ins; the entry stays. */
    endCheckIns(): void;
    /** Says in all further answers that the runner leaves. */
    leave(): void;
}

/** Options of {@link startRunner}. */
export interface RunnerOptions {
    readonly id: string;
    readonly service: string;
    readonly store: StoreStandIn;
    /** Unix time in milliseconds of the start. */
    readonly born: number;
    /** Time in milliseconds for which a request is worked on. */
    readonly work: number;
    /** Number of events of a streamed answer, one each 150 ms. Default: the answer is no stream. */
    readonly events?: number;
    /** Port to listen on. Default: a free one. */
    readonly port?: number;
}

const heartbeat = 1_200;
const eventInterval = 150;

/**
 * Starts a runner that follows the platform's pages.
 *
 * @param options - identifier, service and store
 * @returns the runner, without an entry
 */
export async function startRunner({ born, events, id, port, service, store, work }: RunnerOptions): Promise<Runner> {
    const runs: Run[] = [];
    let isLeaving = false;
    let sequence = 0;
    let timer: NodeJS.Timeout | undefined;
    const server = await startHttpStandIn(async (incoming, response, url) => {
        const attempt = String(incoming.headers["attempt-id"]);
        const head = { "attempt-id": attempt, ...isLeaving ? { "server-leaving": "1" } : {} };
        if (incoming.headers["expect-instance"] !== id) {
            response.writeHead(421, { ...head, "runner-id": id }).end();
            return;
        }
        const run: Run = { id: attempt, path: url.pathname, reachedAt: performance.now(), isAnswered: false };
        runs.push(run);
        response.once("close", () => {
            run.isAnswered = response.writableFinished;
        });
        await new Promise(resolve => {
            setTimeout(resolve, work);
        });
        const proven = { ...head, "response-seal": `${id}.${runs.length}`, "runner-load": "1,0,16" };
        if (events === undefined) {
            response.writeHead(200, proven).end(`${service} ${id} ${attempt}`);
            return;
        }
        response.writeHead(200, { ...proven, "content-type": "text/event-stream" });
        for (let event = 1; event <= events && !response.destroyed; event++) {
            response.write(`id: ${event}\ndata: ${attempt}\n\n`);
            await new Promise(resolve => {
                setTimeout(resolve, eventInterval);
            });
        }
        response.end();
    }, port);

    function register(): void {
        sequence++;
        store.write("keyed.servers", id, {
            service,
            address: server.address,
            zone: "zone-a",
            version: "v1",
            slots: 16,
            state: "ready",
            cold_remaining_ms: 0,
            sequence,
            born,
        });
    }

    return {
        ...server,
        id,
        runs,
        register: () => {
            register();
            timer ??= setInterval(register, heartbeat);
        },
        endCheckIns: () => {
            clearInterval(timer);
        },
        leave: () => {
            isLeaving = true;
        },
    };
}
