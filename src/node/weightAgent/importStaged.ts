import type { Logger } from "pino";
import { formatWeightName, initialVersion } from "../../runtime/gateway/index.js";
import type { EngineControlPort, EngineReport } from "../../types/index.js";
import { runParallel } from "../../utils/index.js";
import type { WeightSource } from "../gateway/membership/weightSources.js";
import { parallelChunks } from "./stageWeights.js";
import type { WeightMemory } from "./weightMemory.js";

/**
 * Copies the chunks that are staged in the engine to the agent's memory, so that an agent that has just started can
 * send them to others. The engine does not report the version of staged chunks: the loaded version is assumed, and the
 * transfer service verifies each chunk.
 *
 * @param engine - engine on the same instance
 * @param memory - memory that the chunks are copied to
 * @param source - model and number of chunks
 * @param report - newest report of the engine
 * @param logger - logger of the process
 */
export async function importStaged(
    engine: EngineControlPort,
    memory: WeightMemory,
    source: WeightSource,
    report: EngineReport,
    logger: Logger,
): Promise<void> {
    const version = report.weights?.version ?? source.version ?? initialVersion;
    const listed = await engine.listStaged(source.model);
    if (listed.isErr) {
        const { code, message, peer, step } = listed.error;
        logger.warn({ code, step, peer, detail: message }, "staged chunks not listed");
        return;
    }
    const chunks = new Map<number, Uint8Array>();
    await runParallel(listed.value, parallelChunks, async index => {
        const content = await engine.readStaged(source.model, index);
        if (content.isOk && content.value !== undefined) {
            chunks.set(index, content.value);
        }
        return true;
    });
    memory.import(formatWeightName(source.model, version), source.chunks, chunks);
    logger.info({ model: source.model, version, chunks: chunks.size }, "staged chunks imported");
}
