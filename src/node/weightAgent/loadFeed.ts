import { create } from "@bufbuild/protobuf";
import type { ServerWritableStream } from "@grpc/grpc-js";
import {
    CopyStatusSchema,
    type LoadReport,
    LoadReportSchema,
    type WatchLoadRequest,
} from "../../generated/goldcrestpoint_pb.js";
import type { Clock, CopyPhase, EngineReport, Milliseconds } from "../../types/index.js";

/** State of the engine as the agent passes it on. */
export interface EngineStatus {
    /** Undefined while the engine does not answer. */
    readonly report: EngineReport | undefined;
    readonly phase: CopyPhase;
    readonly slots: number;
}

/** Options of {@link createLoadFeed}. */
export interface LoadFeedOptions {
    /** Longest time after which a report is sent although it has hardly changed. */
    readonly unchangedReport: Milliseconds;
    /** Change of the number of requests that is reported at once. */
    readonly reportedLoadChange: number;
}

/** Reports to the gateways that follow this agent. */
export interface LoadFeed {
    /** Handler for the agent's gRPC server. */
    readonly watchLoad: (call: ServerWritableStream<WatchLoadRequest, LoadReport>) => void;
    /**
     * Sends the status to all followers if it has changed or none was sent for a while.
     *
     * @param status - newest status
     * @param age - time since it was read
     */
    publish(status: EngineStatus, age: Milliseconds): void;
    readonly countFollowers: () => number;
}

function toReport(instance: string, { phase, report, slots }: EngineStatus, age: Milliseconds): LoadReport {
    const weights = report?.weights;
    return create(LoadReportSchema, {
        instance,
        incarnation: report?.startedAt === undefined ? "" : String(report.startedAt),
        copies: weights === undefined ? [] : [
            create(CopyStatusSchema, { deployment: weights.model, version: String(weights.version), phase }),
        ],
        running: report?.running ?? 0,
        queued: report?.queued ?? 0,
        capacity: slots,
        draining: false,
        ageMilliseconds: BigInt(Math.max(0, Math.round(age))),
    });
}

function measureLoad({ report }: EngineStatus): number {
    return (report?.running ?? 0) + (report?.queued ?? 0);
}

/**
 * Creates the reports of an agent.
 *
 * @param instance - identifier of the agent's instance
 * @param clock - time
 * @param options - which changes are sent
 * @returns the feed, without followers
 */
export function createLoadFeed(instance: string, clock: Clock, options: LoadFeedOptions): LoadFeed {
    const calls = new Set<ServerWritableStream<WatchLoadRequest, LoadReport>>();
    const blocked = new Set<ServerWritableStream<WatchLoadRequest, LoadReport>>();
    let last: LoadReport | undefined;
    let sent: EngineStatus | undefined;
    let sentAt: Milliseconds = -Infinity;

    function isDue(status: EngineStatus): boolean {
        if (sent === undefined || clock.monotonic() - sentAt >= options.unchangedReport) {
            return true;
        }
        const { report } = sent;
        const isSameState = status.phase === sent.phase && status.slots === sent.slots &&
            status.report?.startedAt === report?.startedAt &&
            status.report?.weights?.version === report?.weights?.version;
        const change = Math.abs(measureLoad(status) - measureLoad(sent));
        return !isSameState || change >= options.reportedLoadChange;
    }

    function send(call: ServerWritableStream<WatchLoadRequest, LoadReport>, report: LoadReport): void {
        // A follower that does not read gets the next report once it does; an old one is of no use to it.
        if (blocked.has(call)) {
            return;
        }
        if (!call.write(report)) {
            blocked.add(call);
            call.once("drain", () => blocked.delete(call));
        }
    }

    return {
        countFollowers: () => calls.size,
        publish: (status, age) => {
            const report = toReport(instance, status, age);
            last = report;
            if (!isDue(status)) {
                return;
            }
            sent = status;
            sentAt = clock.monotonic();
            for (const call of calls) {
                send(call, report);
            }
        },
        watchLoad: call => {
            calls.add(call);
            const forget = (): void => {
                calls.delete(call);
                blocked.delete(call);
            };
            call.on("cancelled", forget);
            call.on("error", forget);
            call.on("close", forget);
            if (last !== undefined) {
                send(call, last);
            }
        },
    };
}
