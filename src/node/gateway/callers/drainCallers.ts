import type { Clock, Milliseconds } from "../../../types/index.js";
import { sleep } from "../../../utils/index.js";
import type { GatewaySettings } from "../../settings/index.js";
import type { AdmissionQueues } from "../selection/admissionQueues.js";
import type { CallerServer } from "./callerServer.js";

/** Interval at which open requests are counted. */
const countInterval: Milliseconds = 100;
/** Share of the rest of a drain in which connections that have arrived may still be accepted. */
const acceptShare = 0.5;

/**
 * Accepts new connections and starts queued requests for a while, then waits for the requests in progress.
 *
 * @param callers - server for callers
 * @param queues - queues of the requests that wait for a backend server
 * @param settings - time limits of the drain
 * @param clock - time source
 * @returns resolves when no request is open, or at the time limit
 */
export async function drainCallers(
    callers: Pick<CallerServer, "beginShutdown" | "countOpen" | "stopAccepting">,
    queues: Pick<AdmissionQueues, "close">,
    { gateway, instance }: Pick<GatewaySettings, "gateway" | "instance">,
    clock: Clock,
): Promise<void> {
    callers.beginShutdown();
    const limit = Math.max(0, instance.drainTimeLimit - gateway.shutdownMargin);
    const endsAt = clock.monotonic() + limit;
    await sleep(Math.min(gateway.acceptAfterShutdown, limit));
    const stopping = callers.stopAccepting((endsAt - clock.monotonic()) * acceptShare);
    queues.close();
    await stopping;
    while (callers.countOpen().open > 0 && clock.monotonic() < endsAt) {
        await sleep(countInterval);
    }
}
