import type { Result } from "true-myth/result";
import type { GoldcrestpointError } from "../../types/index.js";
import { runDaemon } from "../daemon/index.js";
import type { AgentSettings } from "../settings/index.js";
import { startAgent } from "./agentDaemon.js";

export { type AgentDaemon, startAgent } from "./agentDaemon.js";

/**
 * Runs an agent until SIGTERM or SIGINT, then drains it.
 *
 * @param settings - resolved settings
 * @returns nothing once the daemon has stopped, or the error that prevented its start
 */
export function runAgent(settings: AgentSettings): Promise<Result<void, GoldcrestpointError>> {
    return runDaemon("agent", settings, startAgent);
}
