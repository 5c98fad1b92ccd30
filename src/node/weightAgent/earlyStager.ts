import type { Logger } from "pino";
import type { EngineControlPort, Manifest } from "../../types/index.js";

/** Set in transfer whose chunks may replace those in the engine's staging area. */
export interface SetToStage {
    readonly manifest: Manifest;
    /** Reads a verified chunk; undefined if it has not been received. */
    readonly read: (index: number) => Uint8Array | undefined;
}

/** Dependencies of {@link createEarlyStager}. */
export interface EarlyStagerInput {
    readonly engine: EngineControlPort;
    /** Reads the set to stage now; undefined while the staging area is needed for another set. */
    readonly readSet: () => SetToStage | undefined;
    readonly logger: Logger;
}

/** Stages chunks while the rest of their set is still being transferred. */
export interface EarlyStager {
    /** Stages the chunks received so far; does nothing while an earlier call is running. */
    run(): Promise<void>;
}

/**
 * Creates the stager of chunks ahead of the load. It does not read them back: the load does so for the whole set.
 *
 * @param input - engine and set
 * @returns the stager
 */
export function createEarlyStager({ engine, logger, readSet }: EarlyStagerInput): EarlyStager {
    let currentManifest: Manifest | undefined;
    const written = new Set<number>();
    let isRunning = false;

    /** Stages one chunk; false if there is nothing to stage. */
    async function stageNext(): Promise<boolean> {
        const set = readSet();
        if (set === undefined) {
            return false;
        }
        if (set.manifest !== currentManifest) {
            currentManifest = set.manifest;
            written.clear();
        }
        const { chunks, model } = set.manifest;
        const index = [...chunks.keys()].find(position => !written.has(position) && set.read(position) !== undefined);
        const content = index === undefined ? undefined : set.read(index);
        if (index === undefined || content === undefined) {
            return false;
        }
        const put = await engine.stage(model, index, content);
        if (put.isErr) {
            const { code, message, peer, step } = put.error;
            logger.info({ code, step, peer, detail: message, model, index }, "chunk not staged ahead");
            return false;
        }
        written.add(index);
        return true;
    }

    return {
        run: async () => {
            if (isRunning) {
                return;
            }
            isRunning = true;
            try {
                while (await stageNext()) {
                    // The set to stage is read again for each chunk, since it may have changed.
                }
            }
            finally {
                isRunning = false;
            }
        },
    };
}
