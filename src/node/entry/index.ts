import type { Result } from "true-myth/result";
import type { GoldcrestpointError } from "../../types/index.js";
import { runDaemon } from "../daemon/index.js";
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
export function runEntry(settings: EntrySettings): Promise<Result<void, GoldcrestpointError>> {
    return runDaemon("entry", settings, startEntry);
}
