import type { Logger } from "pino";
import type { EngineControlPort, Manifest } from "../../types/index.js";

/** Set that is being transferred, if its chunks may take the place of what is staged. */
export interface SetToStage {
    readonly manifest: Manifest;
    /** Reads a verified chunk; undefined if it has not arrived. */
    readonly read: (index: number) => Uint8Array | undefined;
}

/** Dependencies of {@link createStageAhead}. */
export interface StageAheadInput {
    readonly engine: EngineControlPort;
    /** Reads the set to stage now; undefined while the stage is needed for another one. */
    readonly readSet: () => SetToStage | undefined;
    readonly logger: Logger;
}

/** Stages chunks while the rest of their set is still on the way. */
export interface StageAhead {
    /** Stages what has arrived by now; does nothing while an earlier call is at work. */
    run(): Promise<void>;
}

/**
 * Creates what stages chunks ahead of the load. It does not read them back: the load does so for the whole set.
 *
 * @param input - engine and set
 * @returns the stager
 */
export function createStageAhead({ engine, logger, readSet }: StageAheadInput): StageAhead {
    let staged: Manifest | undefined;
    const written = new Set<number>();
    let working = false;

    /** Stages one chunk; false if there is nothing to stage. */
    async function stageNext(): Promise<boolean> {
        const set = readSet();
        if (set === undefined) {
            return false;
        }
        if (set.manifest !== staged) {
            staged = set.manifest;
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
            if (working) {
                return;
            }
            working = true;
            try {
                while (await stageNext()) {
                    // Each pass asks again whether the set is still the one to stage.
                }
            }
            finally {
                working = false;
            }
        },
    };
}
