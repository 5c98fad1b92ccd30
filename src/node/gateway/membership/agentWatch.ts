import { create } from "@bufbuild/protobuf";
import type { ClientReadableStream } from "@grpc/grpc-js";
import type { Logger } from "pino";
import { type LoadReport, WatchLoadRequestSchema } from "../../../generated/goldcrestpoint_pb.js";
import {
    applyAgentReport,
    areReportedWeightsVerified,
    type BackendServerRow,
    formatWeightName,
} from "../../../runtime/gateway/index.js";
import type { Clock, CopyPhase, ListedBackendServer, Milliseconds, RandomSource } from "../../../types/index.js";
import { type AgentClient, createAgentClient } from "../../grpc/index.js";
import { splitAddress } from "../../httpServer/index.js";

/** Dependencies of {@link createAgentWatch}. */
export interface AgentWatchInput {
    readonly self: string;
    /** Lists the backend servers that have an agent beside them. */
    readonly listServers: () => readonly BackendServerRow[];
    readonly agentPort: number;
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly logger: Logger;
    /** Time without a report after which a stream is closed. */
    readonly silentAfter: Milliseconds;
    readonly reconnectAfter: Milliseconds;
    /** Time after which missing first reports no longer delay the readiness of the gateway. */
    readonly settleWithin: Milliseconds;
    /** Called with each report before it is applied, with the start of the backend server if the agent knows it. */
    readonly onStarted: (server: BackendServerRow, startedAt: number | undefined) => void;
    /** Called after each report. */
    readonly onReport: () => void;
}

/** Streams of load reports from agents. */
export interface AgentWatch extends Disposable {
    /** Opens and closes streams according to the list of backend servers. */
    tick(): void;
    /**
     * Tells whether missing reports no longer delay the readiness of the gateway.
     *
     * @returns true once the agents of half of the listed engines of each service have reported, or some time has passed
     */
    isSettled(): boolean;
}

interface Watch {
    readonly address: string;
    readonly client: AgentClient;
    readonly call: ClientReadableStream<LoadReport>;
    lastReportAt: Milliseconds;
    connected: boolean;
}

const phases: ReadonlySet<string> = new Set<CopyPhase>([
    "waiting",
    "staging",
    "complete",
    "activating",
    "serving",
    "unloading",
    "released",
    "lapsed",
]);

function toPhase(text: string): CopyPhase {
    return phases.has(text) ? text as CopyPhase : "waiting";
}

/** What the log shows about the weights of a backend server. */
interface DescribedWeights {
    readonly phase: CopyPhase;
    readonly weights: string | undefined;
    readonly orderSequence: number | undefined;
    readonly weightsVerified: boolean;
}

function isSame(left: DescribedWeights, right: DescribedWeights): boolean {
    return left.phase === right.phase && left.weights === right.weights &&
        left.orderSequence === right.orderSequence && left.weightsVerified === right.weightsVerified;
}

function describeWeights({ reportedWeights, runner }: BackendServerRow): DescribedWeights {
    return {
        phase: runner.phase,
        weights: runner.manifestDigest,
        orderSequence: reportedWeights.newest?.orderSequence,
        weightsVerified: areReportedWeightsVerified(reportedWeights),
    };
}

/**
 * Follows the load reports of the agents beside backend servers.
 *
 * @param input - backend servers, port and limits
 * @returns the streams; disposing of them closes the connections
 */
export function createAgentWatch(input: AgentWatchInput): AgentWatch {
    const { clock, logger, random } = input;
    const settlesAt = clock.monotonic() + input.settleWithin;
    const watches = new Map<string, Watch>();
    const retryAt = new Map<string, Milliseconds>();
    const addresses = new WeakMap<ListedBackendServer, string>();
    /** Backend servers by the address of their agent; updated by each tick, which follows each change of the list. */
    let rowsByAddress: ReadonlyMap<string, readonly BackendServerRow[]> = new Map();

    function findAddress({ listed }: BackendServerRow): string {
        let address = addresses.get(listed);
        if (address === undefined) {
            address = `${splitAddress(listed.address).host}:${input.agentPort}`;
            addresses.set(listed, address);
        }
        return address;
    }

    function groupByAddress(): Map<string, BackendServerRow[]> {
        const groups = new Map<string, BackendServerRow[]>();
        for (const row of input.listServers()) {
            const address = findAddress(row);
            const group = groups.get(address);
            if (group === undefined) {
                groups.set(address, [row]);
            }
            else {
                group.push(row);
            }
        }
        return groups;
    }

    function closeWatch(watch: Watch, reason: string): void {
        if (watches.get(watch.address) !== watch) {
            return;
        }
        watches.delete(watch.address);
        retryAt.set(watch.address, clock.monotonic() + input.reconnectAfter * (0.5 + random.next()));
        watch.call.cancel();
        watch.client.close();
        if (watch.connected) {
            logger.warn({ peer: watch.address, reason }, "agent lost");
        }
    }

    function receive(watch: Watch, report: LoadReport): void {
        const now = clock.monotonic();
        watch.lastReportAt = now;
        if (!watch.connected) {
            watch.connected = true;
            logger.info({ peer: watch.address }, "agent followed");
        }
        const copy = report.copies[0];
        for (const row of rowsByAddress.get(watch.address) ?? []) {
            // The report is about an earlier process of the backend server.
            const startedAt = row.listed.startedAt;
            if (startedAt !== undefined && report.incarnation !== "" && Number(report.incarnation) < startedAt) {
                continue;
            }
            input.onStarted(row, report.incarnation === "" ? undefined : Number(report.incarnation));
            const phase = copy === undefined ? "waiting" : toPhase(copy.phase);
            const version = Number(copy?.version ?? "");
            const manifestDigest = copy === undefined ? undefined : formatWeightName(copy.deployment, version);
            const before = describeWeights(row);
            applyAgentReport(row, {
                startedAt: report.incarnation === "" ? undefined : Number(report.incarnation),
                orderSequence: Number(report.orderSequence),
                manifestDigest,
                verified: report.weightsVerified,
                phase,
                draining: report.draining,
                running: report.running,
                queued: report.queued,
                capacity: report.capacity,
                cachedPrefixes: [],
                age: Number(report.ageMilliseconds),
            }, now);
            const after = describeWeights(row);
            if (!isSame(before, after)) {
                logger.info(
                    {
                        peer: row.listed.instance,
                        ...after,
                        verificationReported: report.weightsVerified,
                        ageMilliseconds: Number(report.ageMilliseconds),
                    },
                    "backend server reported",
                );
            }
        }
        input.onReport();
    }

    function openWatch(address: string): void {
        const client = createAgentClient(address);
        const call = client.watchLoad(create(WatchLoadRequestSchema, { instance: input.self }));
        const row: Watch = { address, client, call, lastReportAt: clock.monotonic(), connected: false };
        watches.set(address, row);
        call.on("data", (report: LoadReport) => receive(row, report));
        call.on("error", error => closeWatch(row, error.message));
        call.on("end", () => closeWatch(row, "the agent ended the stream"));
    }

    function hasReports(rows: readonly BackendServerRow[]): boolean {
        return rows.filter(({ reportedAt }) => reportedAt !== undefined).length >= rows.length / 2;
    }

    return {
        isSettled: () => {
            const engines = input.listServers().filter(({ listed }) => listed.weights !== undefined);
            const services = new Set(engines.map(({ listed }) => listed.service));
            return clock.monotonic() >= settlesAt ||
                [...services].every(service => hasReports(engines.filter(({ listed }) => listed.service === service)));
        },
        tick: () => {
            const now = clock.monotonic();
            rowsByAddress = groupByAddress();
            for (const row of [...watches.values()]) {
                if (!rowsByAddress.has(row.address)) {
                    closeWatch(row, "no longer listed");
                }
                else if (now - row.lastReportAt > input.silentAfter) {
                    closeWatch(row, "no report");
                }
            }
            for (const address of rowsByAddress.keys()) {
                if (!watches.has(address) && (retryAt.get(address) ?? 0) <= now) {
                    openWatch(address);
                }
            }
        },
        [Symbol.dispose]: () => {
            for (const row of [...watches.values()]) {
                closeWatch(row, "the process ends");
            }
        },
    };
}
