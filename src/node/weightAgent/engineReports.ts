import type { Logger } from "pino";
import type { Clock, EngineControlPort, EngineReport, Milliseconds } from "../../types/index.js";

/** Dependencies of {@link createEngineReports}. */
export interface EngineReportsInput {
    readonly engine: Pick<EngineControlPort, "readReport">;
    readonly clock: Clock;
    readonly logger: Logger;
    /**
     * Called with each report, in the order of the reads.
     *
     * @param report - the report
     * @param requestedAt - monotonic time at which it was requested
     */
    readonly onReport: (report: EngineReport, requestedAt: Milliseconds) => void;
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
export function createEngineReports({ clock, engine, logger, onReport }: EngineReportsInput): EngineReports {
    let report: EngineReport | undefined;
    let newestRequestedAt: Milliseconds = -Infinity;
    let wasReachable: boolean | undefined;

    return {
        newest: () => report,
        read: async () => {
            const requestedAt = clock.monotonic();
            const answer = await engine.readReport();
            // Reads of a drain overlap with those of the control loop.
            if (requestedAt < newestRequestedAt) {
                return;
            }
            newestRequestedAt = requestedAt;
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
            report = answer.unwrapOr(undefined as never);
            if (report !== undefined) {
                onReport(report, requestedAt);
            }
        },
    };
}
