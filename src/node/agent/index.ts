import { err, ok, type Result } from "true-myth/result";
import type { GoldcrestpointError } from "../../types/index.js";
import { waitForShutdownSignal } from "../daemon/index.js";
import { createLogger } from "../logging/index.js";
import type { AgentSettings } from "../settings/index.js";
import { startAgent } from "./agentDaemon.js";

export { type AgentDaemon, startAgent } from "./agentDaemon.js";

/**
 * Runs an agent until SIGTERM or SIGINT, then drains it.
 *
 * @param settings - resolved settings
 * @returns once the daemon has stopped, or the error that kept it from starting
 */
export async function runAgent(settings: AgentSettings): Promise<Result<void, GoldcrestpointError>> {
    const logger = createLogger({ level: settings.log.level, program: "agent", instance: settings.instance.id });
    const started = await startAgent(settings, logger);
    if (started.isErr) {
        logger.error({ error: started.error }, "agent could not start");
        return err(started.error);
    }
    await using daemon = started.value;
    const signal = await waitForShutdownSignal();
    logger.info({ signal }, "draining");
    await daemon.drain();
    logger.info({}, "agent stopped");
    return ok(undefined);
}
