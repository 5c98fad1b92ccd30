import { randomUUID } from "node:crypto";
import { createSystemClock } from "../../utils/index.js";
import type { OperatorSettings } from "../settings/index.js";
import { createEntryQuery } from "./entryQuery.js";
import { implementations } from "./implementations.js";
import type { OperatorPorts } from "./types.js";

/**
 * Creates the clients that the operator commands use.
 *
 * @param settings - addresses and time limits
 * @returns the ports; disposing of them closes their connections
 */
export async function createOperatorPorts(settings: OperatorSettings): Promise<OperatorPorts & AsyncDisposable> {
    const { platform, placement } = settings;
    const [state, distribution, clients] = await Promise.all([
        implementations.state(),
        implementations.distribution(),
        implementations.platform(),
    ]);
    const timeouts = { head: platform.requestTimeLimit, total: 2 * platform.requestTimeLimit };
    const log = clients.createLogClient({ baseUrl: platform.logUrl, timeouts });
    const origin = clients.createOriginClient({
        weightStoreBaseUrl: platform.weightStoreUrl,
        originBaseUrl: platform.originUrl,
        timeouts,
    });
    const entries = createEntryQuery(platform.requestTimeLimit);
    const interruptiblePause = createInterruptiblePause();
    return {
        log,
        origin,
        entries,
        fold: {
            createFoldState: state.createFoldState,
            foldEntry: state.foldEntry,
            beginAfterTruncation: (folded, firstOffset) =>
                state.beginAfterTruncation(folded, firstOffset, placement.retention),
        },
        computeManifestDigest: distribution.computeManifestDigest,
        clock: createSystemClock(),
        createId: randomUUID,
        pause: interruptiblePause.pause,
        [Symbol.asyncDispose]: async () => {
            interruptiblePause.dispose();
            await Promise.all([log, origin, entries].map(client => client[Symbol.asyncDispose]()));
        },
    };
}

/** Creates a pause function that returns early on SIGINT or SIGTERM. */
function createInterruptiblePause() {
    const abort = new AbortController();
    const stop = () => abort.abort();
    process.once("SIGINT", stop);
    process.once("SIGTERM", stop);
    return {
        pause: (duration: number) =>
            new Promise<boolean>(resolve => {
                const timer = setTimeout(finish, duration);
                function finish(): void {
                    clearTimeout(timer);
                    abort.signal.removeEventListener("abort", finish);
                    resolve(!abort.signal.aborted);
                }
                abort.signal.addEventListener("abort", finish);
                if (abort.signal.aborted) {
                    finish();
                }
            }),
        dispose: () => {
            process.off("SIGINT", stop);
            process.off("SIGTERM", stop);
        },
    };
}
