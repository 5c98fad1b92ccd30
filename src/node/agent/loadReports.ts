import { create } from "@bufbuild/protobuf";
import type { ServerWritableStream } from "@grpc/grpc-js";
import { type LoadReport, LoadReportSchema, type WatchLoadRequest } from "../../generated/goldcrestpoint_pb.js";
import type { Milliseconds } from "../../types/index.js";

/** Call of the `WatchLoad` method. */
export type WatchLoadCall = ServerWritableStream<WatchLoadRequest, LoadReport>;

/** Content of a load report. */
export type LoadContent = Omit<LoadReport, "$typeName" | "$unknown">;

/** Sends load reports to the entry instances that follow this agent. */
export interface LoadReports extends Disposable {
    watchLoad(call: WatchLoadCall): void;
    /** Sends a report to every follower immediately; called after changes that affect routing. */
    publish(): void;
    readonly watchers: number;
}

/**
 * Starts sending load reports.
 *
 * @param readContent - reads the content of a report
 * @param interval - time between reports without a change
 * @returns the sender of the reports
 */
export function startLoadReports(readContent: () => LoadContent, interval: Milliseconds): LoadReports {
    const calls = new Set<WatchLoadCall>();

    function publish(): void {
        if (calls.size === 0) {
            return;
        }
        const report = create(LoadReportSchema, readContent());
        for (const call of calls) {
            // A slow follower skips reports and gets a current one later, instead of a queue of outdated ones.
            if (!call.writableNeedDrain) {
                call.write(report);
            }
        }
    }

    const timer = setInterval(publish, interval);
    return {
        watchLoad: call => {
            calls.add(call);
            const remove = (): void => {
                calls.delete(call);
            };
            call.on("cancelled", remove);
            call.on("error", remove);
            call.on("close", remove);
            call.write(create(LoadReportSchema, readContent()));
        },
        publish,
        get watchers() {
            return calls.size;
        },
        [Symbol.dispose]: () => {
            clearInterval(timer);
            for (const call of calls) {
                call.end();
            }
            calls.clear();
        },
    };
}
