import type { Logger } from "pino";
import { err } from "true-myth/result";
import { type Clock, createError, type EngineControlPort, type Milliseconds } from "../../types/index.js";

/** Finds the version whose chunk at an index has this content; undefined if no known version has it. */
export type FindChunkVersion = (index: number, content: Uint8Array) => number | undefined;

/** Write to the staging area whose response was lost. */
export interface UnresolvedWrite {
    readonly index: number;
    readonly version: number | undefined;
}

/** Time for which the engine has to answer reports until it no longer carries out writes whose responses were lost. */
const lateWriteLimit: Milliseconds = 5_000;

/** Dependencies of {@link trackStagedWrites}. */
export interface StagedWritesInput {
    readonly engine: EngineControlPort;
    readonly clock: Clock;
    readonly logger: Logger;
    readonly findVersion: FindChunkVersion;
    /** False while nothing may change what is staged; writes are refused then. */
    readonly mayWrite: () => boolean;
}

/** Writes of this process to the engine's staging area. */
export interface StagedWrites {
    /** The engine, with its writes recorded. */
    readonly engine: EngineControlPort;
    /** @returns number of writes that have begun, plus those that have ended; it changes with each of both */
    readonly countEvents: () => number;
    /** @returns writes whose response was lost; the engine may still carry them out */
    listUnresolved(): readonly UnresolvedWrite[];
    /**
     * Checks whether a late write of another version can be hidden by a late write of this one, so that reading back the
     * staged chunks shows neither.
     */
    mayHideEachOther(version: number): boolean;
    /**
     * Notes whether the engine has answered, and forgets writes that it no longer carries out.
     *
     * @param isReachable - whether it has answered the last read of its report
     */
    observe(isReachable: boolean): void;
    readonly isWriting: () => boolean;
    /** Forgets the writes to an engine that has restarted, since it no longer has their connections. */
    reset(): void;
}

/**
 * Records the writes to the engine's staging area.
 *
 * @param input - engine to write to
 * @returns the engine with its record of writes
 */
export function trackStagedWrites({ clock, engine, findVersion, logger, mayWrite }: StagedWritesInput): StagedWrites {
    let inProgress = 0;
    let events = 0;
    const unresolved = new Map<string, UnresolvedWrite & { readonly endedAt: Milliseconds; }>();
    /** Monotonic time since which the engine has answered every read of its report. */
    let reachableSince: Milliseconds | undefined;

    const stage: EngineControlPort["stage"] = async (model, index, content) => {
        if (!mayWrite()) {
            return err(createError("CHUNK_REFUSED", "stage chunk", "local", "a load may take what is staged"));
        }
        inProgress++;
        events++;
        try {
            const written = await engine.stage(model, index, content);
            if (written.isErr && written.error.mayHaveTakenEffect) {
                const { code, message, peer, step } = written.error;
                const version = findVersion(index, content);
                unresolved.set(`${index}/${version}`, { index, version, endedAt: clock.monotonic() });
                logger.warn(
                    { code, step, peer, detail: message, model, index, version },
                    "outcome of a chunk write unknown",
                );
            }
            return written;
        }
        finally {
            inProgress--;
            events++;
        }
    };

    return {
        engine: {
            readReport: () => engine.readReport(),
            listStaged: model => engine.listStaged(model),
            readStaged: (model, index) => engine.readStaged(model, index),
            stage,
            load: order => engine.load(order),
            unload: order => engine.unload(order),
        },
        countEvents: () => events,
        listUnresolved: () => [...unresolved.values()].map(({ index, version }) => ({ index, version })),
        mayHideEachOther: version => {
            const writes = [...unresolved.values()];
            return writes.some(write =>
                write.version === version &&
                writes.some(other => other.index === write.index && other.version !== version)
            );
        },
        observe: isReachable => {
            const now = clock.monotonic();
            reachableSince = isReachable ? reachableSince ?? now : undefined;
            for (const [key, { endedAt }] of unresolved) {
                if (reachableSince !== undefined && now - Math.max(endedAt, reachableSince) >= lateWriteLimit) {
                    unresolved.delete(key);
                }
            }
        },
        isWriting: () => inProgress > 0,
        reset: () => {
            unresolved.clear();
        },
    };
}
