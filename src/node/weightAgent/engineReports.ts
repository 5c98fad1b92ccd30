import type { Logger } from "pino";
import type { EngineReport } from "../../types/index.js";
import type { StagedWrites } from "./stagedWrites.js";

/** Dependencies of {@link createEngineReports}. */
export interface EngineReportsInput {
    readonly writes: StagedWrites;
    readonly logger: Logger;
    /**
     * Called with each report, in the order of the reads.
     *
     * @param report - the report
     * @param writeEvents - result of {@link StagedWrites.countEvents} when it was requested
     */
    readonly onReport: (report: EngineReport, writeEvents: number) => void;
}

/** Reports of the engine. */
export interface EngineReports {
    /** Reads the report; leaves out one that was requested before the newest known one. */
    read(): Promise<void>;
    /** @returns the newest report; undefined if the engine did not answer the last read */
    readonly newest: () => EngineReport | undefined;
}

/**
 * Creates the reader of the engine's reports.
 *
 * @param input - engine and receiver of the reports
 * @returns the reader, without a report
 */
export function createEngineReports({ logger, onReport, writes }: EngineReportsInput): EngineReports {
    let report: EngineReport | undefined;
    let requests = 0;
    let newestRequest = 0;
    let wasReachable: boolean | undefined;

    return {
        newest: () => report,
        read: async () => {
            const request = ++requests;
            const writeEvents = writes.countEvents();
            const answer = await writes.engine.readReport();
            // Reads of a drain overlap with those of the control loop.
            if (request < newestRequest) {
                return;
            }
            newestRequest = request;
            if (answer.isOk !== wasReachable) {
                wasReachable = answer.isOk;
                if (answer.isErr) {
                    const { code, message, peer, step } = answer.error;
                    logger.warn({ code, step, peer, detail: message }, "engine not reachable");
                }
                else {
                    logger.info({ ...answer.value }, "engine reachable");
                }
            }
            writes.observe(answer.isOk);
            report = answer.unwrapOr(undefined as never);
            if (report !== undefined) {
                onReport(report, writeEvents);
            }
        },
    };
}
