import type { Logger } from "pino";
import { err, ok, type Result } from "true-myth/result";
import type { GoldcrestpointError } from "../../types/index.js";
import { createBoundedDestination, createLogger } from "../logging/index.js";
import type { AllSettings } from "../settings/index.js";
import { waitForShutdownSignal } from "./signals.js";

/** Daemon that can complete its requests before it stops. */
export interface DrainableDaemon extends AsyncDisposable {
    /** Rejects new requests and waits for those in progress, up to the drain time limit. */
    drain(): Promise<void>;
}

/**
 * Runs a daemon until SIGTERM or SIGINT, then drains it.
 *
 * @param program - name of the program, for log lines
 * @param settings - resolved settings
 * @param start - starts the daemon
 * @returns once the daemon has stopped, or the error that kept it from starting
 */
export async function runDaemon<Settings extends Pick<AllSettings, "instance" | "log">>(
    program: string,
    settings: Settings,
    start: (settings: Settings, logger: Logger) => Promise<Result<DrainableDaemon, GoldcrestpointError>>,
): Promise<Result<void, GoldcrestpointError>> {
    const destination = createBoundedDestination();
    const logger = createLogger({ level: settings.log.level, program, instance: settings.instance.id, destination });
    process.once("exit", destination.flush);
    // A signal may arrive while the daemon starts, and finds requests in progress then.
    const signaled = waitForShutdownSignal();
    const started = await start(settings, logger);
    if (started.isErr) {
        logger.error({ error: started.error }, "the daemon could not start");
        return err(started.error);
    }
    {
        await using daemon = started.value;
        const signal = await signaled;
        logger.info({ signal }, "draining");
        await daemon.drain();
    }
    logger.info({}, "stopped");
    return ok(undefined);
}
