/** Settings from which the limit on the answers in memory follows. */
export interface HeldAnswerSettings {
    /** Memory that the process may use; 0 if it is not limited. */
    readonly memoryMegabytes: number;
    readonly maximumHeldAnswerBytes: number;
}

/** Share of the memory for answers; each byte of an answer takes several in buffers that are not released yet. */
const heldAnswerShare = 0.1;
const bytesPerMegabyte = 1_048_576;

/**
 * Limits the answers that a process holds by the memory that the platform states.
 *
 * @param settings - settings of the gateway
 * @returns the settings with the lower one of both limits
 */
export function limitHeldAnswers<Settings extends HeldAnswerSettings>(settings: Settings): Settings {
    const { maximumHeldAnswerBytes, memoryMegabytes } = settings;
    return memoryMegabytes === 0 ? settings : {
        ...settings,
        maximumHeldAnswerBytes: Math.min(
            maximumHeldAnswerBytes,
            Math.floor(memoryMegabytes * bytesPerMegabyte * heldAnswerShare),
        ),
    };
}
