import { cutoverMargin, maximumMarginShare } from "../../runtime/gateway/index.js";
import type { Milliseconds } from "../../types/index.js";

/** Settings of a gateway from which the times of a switch to a new version follow. */
export interface VersionTimeSettings {
    /** Time after the declaration of a version from which on older ones may not begin an answer; 0 if none is stated. */
    readonly versionLimit: Milliseconds;
    readonly cutoverAfter: Milliseconds;
    readonly abandonAfter: Milliseconds;
}

/** Time before the version limit at which unanswered attempts are aborted; the abort still has to arrive. */
const abandonMargin: Milliseconds = 300;
/** Time before the cutover at which all waves may load, so that the new version is served when requests require it. */
const lastWaveMargin: Milliseconds = 1_100;

function subtractMargin(limit: Milliseconds, margin: Milliseconds): Milliseconds {
    return limit - Math.min(margin, limit * maximumMarginShare);
}

/**
 * Derives the times of a switch to a new version from the version limit that the platform states.
 *
 * @param settings - settings of the gateway
 * @returns the settings with times that follow from the limit; unchanged if none is stated
 */
export function deriveVersionTimes<Settings extends VersionTimeSettings>(settings: Settings): Settings {
    const { versionLimit } = settings;
    return versionLimit === 0 ? settings : {
        ...settings,
        cutoverAfter: subtractMargin(versionLimit, cutoverMargin),
        abandonAfter: subtractMargin(versionLimit, abandonMargin),
    };
}

/**
 * Limits the start of the last wave of loads, so that it ends before requests require the new version.
 *
 * @param lastWaveAfter - time of the settings after the declaration
 * @param settings - settings of the gateway, with derived times
 * @returns time after the declaration at which all waves may load
 */
export function limitLastWave(lastWaveAfter: Milliseconds, settings: VersionTimeSettings): Milliseconds {
    return settings.versionLimit === 0 ?
        lastWaveAfter :
        Math.min(lastWaveAfter, subtractMargin(settings.cutoverAfter, lastWaveMargin));
}
