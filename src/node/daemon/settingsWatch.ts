import { readFileSync } from "node:fs";
import type { Logger } from "pino";
import type { Result } from "true-myth/result";
import type { GoldcrestpointError, Milliseconds } from "../../types/index.js";

/** Dependencies of {@link watchSettings}. */
export interface SettingsWatchInput<Settings> {
    /** Path of the settings file; undefined if there is none to watch. */
    readonly path: string | undefined;
    readonly initial: Settings;
    /** Reads and validates the file. */
    readonly resolve: () => Result<Settings, GoldcrestpointError>;
    /** Interval at which the file is checked, since it may change without a signal. */
    readonly interval: Milliseconds;
    readonly logger: Logger;
}

/** Current settings, which follow the file. */
export interface SettingsWatch<Settings> extends Disposable {
    readonly current: () => Settings;
    /** Checks the file now. */
    readonly check: () => void;
}

function readContent(path: string): string | undefined {
    try {
        return readFileSync(path, "utf8");
    }
    catch {
        // The file may be missing for a moment while it is replaced; the next check finds it again.
        return undefined;
    }
}

/**
 * Watches a settings file. SIGHUP triggers a check at once instead of ending the process. If the file is invalid, an
 * error is logged and the settings stay as they are.
 *
 * @param input - file, initial settings and how to resolve them
 * @returns the current settings; disposing of it ends the watch
 */
export function watchSettings<Settings>(input: SettingsWatchInput<Settings>): SettingsWatch<Settings> {
    const { logger, path } = input;
    let settings = input.initial;
    let content = path === undefined ? undefined : readContent(path);

    function check(): void {
        const found = path === undefined ? undefined : readContent(path);
        if (found === undefined || found === content) {
            return;
        }
        content = found;
        const resolved = input.resolve();
        if (resolved.isErr) {
            const { code, message, peer, step } = resolved.error;
            logger.error({ code, step, peer, detail: message }, "changed settings have faults and are left out");
            return;
        }
        settings = resolved.value;
        logger.info({ path }, "settings reloaded");
    }

    process.on("SIGHUP", check);
    const timer = setInterval(check, input.interval);
    timer.unref();
    return {
        current: () => settings,
        check,
        [Symbol.dispose]: () => {
            clearInterval(timer);
            process.off("SIGHUP", check);
        },
    };
}
