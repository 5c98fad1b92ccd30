import { waitForShutdownSignal } from "../daemon/index.js";
import { createLogger } from "../logging/index.js";
import type { AgentSettings } from "../settings/index.js";
import { startAgent } from "./agentDaemon.js";

export { type AgentDaemon, startAgent } from "./agentDaemon.js";

/**
 * Runs an agent until SIGTERM or SIGINT, then drains it.
 *
 * @param settings - resolved settings
 * @returns exit code of the process
 */
export async function runAgent(settings: AgentSettings): Promise<number> {
    const logger = createLogger({ level: settings.log.level, program: "agent", instance: settings.instance.id });
    const started = await startAgent(settings, logger);
    if (started.isErr) {
        logger.error({ error: started.error }, "agent could not start");
        return 1;
    }
    await using daemon = started.value;
    const signal = await waitForShutdownSignal();
    logger.info({ signal }, "draining");
    await daemon.drain();
    logger.info({}, "agent stopped");
    return 0;
}
