import { create } from "@bufbuild/protobuf";
import type { ServerWritableStream } from "@grpc/grpc-js";
import {
    CopyStatusSchema,
    type LoadReport,
    LoadReportSchema,
    type WatchLoadRequest,
} from "../../generated/goldcrestpoint_pb.js";
import type { Clock, CopyPhase, EngineReport, Milliseconds } from "../../types/index.js";

/** State of the engine that the agent reports to gateways. */
export interface EngineStatus {
    /** Undefined while the engine does not answer. */
    readonly report: EngineReport | undefined;
    readonly phase: CopyPhase;
    /** Whether the weights that the engine loaded with its last order are known to be right. */
    readonly weightsVerified: boolean;
    /** Requests that the engine runs at the same time. */
    readonly slots: number;
}

/** Options of {@link createLoadFeed}. */
export interface LoadFeedOptions {
    /** Time after which a report is sent even if it has changed only slightly or not at all. */
    readonly unchangedReport: Milliseconds;
    /** Change in the number of requests that is reported immediately. */
    readonly reportedLoadChange: number;
}

/** Sends load reports to the gateways that follow this agent. */
export interface LoadFeed {
    /** gRPC handler of `WatchLoad`. */
    readonly watchLoad: (call: ServerWritableStream<WatchLoadRequest, LoadReport>) => void;
    /**
     * Sends the status to all followers if it has changed enough, or if the last report is old.
     *
     * @param status - newest status
     * @param age - time since it was read
     */
    publish(status: EngineStatus, age: Milliseconds): void;
    readonly countFollowers: () => number;
}

function toReport(instance: string, status: EngineStatus, age: Milliseconds): LoadReport {
    const { phase, report, slots, weightsVerified } = status;
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
        orderSequence: BigInt(report?.orderSequence ?? 0),
        weightsVerified,
        ageMilliseconds: BigInt(Math.max(0, Math.round(age))),
    });
}

function countRequests({ report }: EngineStatus): number {
    return (report?.running ?? 0) + (report?.queued ?? 0);
}

/**
 * Creates the load reports of an agent.
 *
 * @param instance - identifier of the agent's instance
 * @param clock - clock of the process
 * @param options - when reports are sent
 * @returns the feed, without followers
 */
export function createLoadFeed(instance: string, clock: Clock, options: LoadFeedOptions): LoadFeed {
    const calls = new Set<ServerWritableStream<WatchLoadRequest, LoadReport>>();
    const blocked = new Set<ServerWritableStream<WatchLoadRequest, LoadReport>>();
    let lastReport: LoadReport | undefined;
    let sentStatus: EngineStatus | undefined;
    let sentAt: Milliseconds = -Infinity;

    function isDue(status: EngineStatus): boolean {
        if (sentStatus === undefined || clock.monotonic() - sentAt >= options.unchangedReport) {
            return true;
        }
        const { report } = sentStatus;
        const isSameState = status.phase === sentStatus.phase && status.slots === sentStatus.slots &&
            status.weightsVerified === sentStatus.weightsVerified &&
            status.report?.startedAt === report?.startedAt &&
            status.report?.orderSequence === report?.orderSequence &&
            status.report?.weights?.version === report?.weights?.version;
        const change = Math.abs(countRequests(status) - countRequests(sentStatus));
        return !isSameState || change >= options.reportedLoadChange;
    }

    function send(call: ServerWritableStream<WatchLoadRequest, LoadReport>, report: LoadReport): void {
        // Reports are not queued for a slow follower: it gets the next one once its stream drains, not outdated ones.
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
            lastReport = report;
            if (!isDue(status)) {
                return;
            }
            sentStatus = status;
            sentAt = clock.monotonic();
            for (const call of calls) {
                send(call, report);
            }
        },
        watchLoad: call => {
            calls.add(call);
            const removeFollower = (): void => {
                calls.delete(call);
                blocked.delete(call);
            };
            call.on("cancelled", removeFollower);
            call.on("error", removeFollower);
            call.on("close", removeFollower);
            if (lastReport !== undefined) {
                send(call, lastReport);
            }
        },
    };
}
