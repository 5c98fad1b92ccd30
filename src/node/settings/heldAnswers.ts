/** Settings from which the limit on the answers in memory follows. */
export interface HeldAnswerSettings {
    /** Memory that the process may use; 0 if it is not limited. */
    readonly memoryMegabytes: number;
    readonly maximumHeldAnswerBytes: number;
}

/** Limits that follow from the memory of the process. */
export interface DerivedMemoryLimits {
    /**
     * Bytes that may be held for callers and backend servers that send or read slowly; `Infinity` if the memory is not
     * limited.
     */
    readonly maximumHeldBytes: number;
    /** Bytes of buffers that may wait for their release; `Infinity` if the memory is not limited. */
    readonly maximumUnusedBytes: number;
    /** Bytes of records that followers may not have received; undefined if the memory is not limited. */
    readonly maximumRelayedBytes: number | undefined;
}

/**
 * Share of the memory for everything that is held. Half of the memory of the smallest gateways is in use when they are
 * idle.
 */
const heldShare = 0.15;
/** Share of the memory for answers; each byte of an answer takes several in buffers that are not released yet. */
const heldAnswerShare = 0.1;
/** Share of the memory for buffers that are not released yet. */
const unusedShare = 0.08;
/** Share of the memory for records that are being sent; each byte takes several while its message is encoded. */
const relayedShare = 0.04;
const bytesPerMegabyte = 1_048_576;

/**
 * Limits the answers that a process holds, and everything that it holds, by the memory that the platform states.
 *
 * @param settings - settings of the gateway
 * @returns the settings with the lower one of both limits on answers, and the limit on everything
 */
export function limitHeldAnswers<Settings extends HeldAnswerSettings>(
    settings: Settings,
): Settings & DerivedMemoryLimits {
    const { maximumHeldAnswerBytes, memoryMegabytes } = settings;
    if (memoryMegabytes === 0) {
        return {
            ...settings,
            maximumHeldBytes: Infinity,
            maximumUnusedBytes: Infinity,
            maximumRelayedBytes: undefined,
        };
    }
    return {
        ...settings,
        maximumRelayedBytes: Math.floor(memoryMegabytes * bytesPerMegabyte * relayedShare),
        maximumHeldBytes: Math.floor(memoryMegabytes * bytesPerMegabyte * heldShare),
        maximumUnusedBytes: Math.floor(memoryMegabytes * bytesPerMegabyte * unusedShare),
        maximumHeldAnswerBytes: Math.min(
            maximumHeldAnswerBytes,
            Math.floor(memoryMegabytes * bytesPerMegabyte * heldAnswerShare),
        ),
    };
}
