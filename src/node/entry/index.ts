import { err, ok, type Result } from "true-myth/result";
import type { GoldcrestpointError } from "../../types/index.js";
import { waitForShutdownSignal } from "../daemon/index.js";
import { createLogger } from "../logging/index.js";
import type { EntrySettings } from "../settings/index.js";
import { startEntry } from "./entryDaemon.js";

export { type EntryDaemon, startEntry } from "./entryDaemon.js";
export type { DeploymentStatus, StatusReport, ZoneStatus } from "./statusReport.js";

/**
 * Runs an entry instance until SIGTERM or SIGINT, then drains it.
 *
 * @param settings - resolved settings
 * @returns once the daemon has stopped, or the error that kept it from starting
 */
export async function runEntry(settings: EntrySettings): Promise<Result<void, GoldcrestpointError>> {
    const logger = createLogger({ level: settings.log.level, program: "entry", instance: settings.instance.id });
    const started = await startEntry(settings, logger);
    if (started.isErr) {
        logger.error({ error: started.error }, "entry instance could not start");
        return err(started.error);
    }
    await using daemon = started.value;
    const signal = await waitForShutdownSignal();
    logger.info({ signal }, "draining");
    await daemon.drain();
    logger.info({}, "entry instance stopped");
    return ok(undefined);
}
