import { readFileSync } from "node:fs";
import type { Logger } from "pino";
import type { Result } from "true-myth/result";
import type { GoldcrestpointError, Milliseconds } from "../../types/index.js";

/** Dependencies of {@link watchSettings}. */
export interface SettingsWatchInput<Settings> {
    /** Path of the settings file; undefined if there is none to watch. */
    readonly path: string | undefined;
    readonly initial: Settings;
    /** Reads and checks the file. */
    readonly resolve: () => Result<Settings, GoldcrestpointError>;
    /** Time between two looks at the file, which may change without a signal. */
    readonly interval: Milliseconds;
    readonly logger: Logger;
}

/** Settings in force. */
export interface SettingsWatch<Settings> extends Disposable {
    readonly current: () => Settings;
    /** Looks at the file now. */
    readonly check: () => void;
}

function readContent(path: string): string | undefined {
    try {
        return readFileSync(path, "utf8");
    }
    catch {
        // The file may be replaced at this moment; the next look finds it again.
        return undefined;
    }
}

/**
 * Follows a settings file. SIGHUP makes it look at once, and no longer ends the process. A file with faults is logged and
 * leaves the settings as they are.
 *
 * @param input - file, settings at the start and how to resolve them
 * @returns the settings in force; disposing of it ends the watch
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
