import { create } from "@bufbuild/protobuf";
import createRouter from "find-my-way";
import { randomUUID } from "node:crypto";
import type { Logger } from "pino";
import { err, ok, type Result } from "true-myth/result";
import { TransferTotalsSchema } from "../../generated/goldcrestpoint_pb.js";
import { createAdmissionTable } from "../../runtime/admission/index.js";
import { createLedger } from "../../runtime/idempotency/index.js";
import { createInstanceTable } from "../../runtime/placement/index.js";
import type { BackendServerPort, GoldcrestpointError } from "../../types/index.js";
import { createDisposalStack, createSystemClock, createSystemRandom } from "../../utils/index.js";
import { createBackendServerClient } from "../backendServer/index.js";
import { createRelaySilenceCheck, listRelayTargets, startPlatformReaders, waitUntilIdle } from "../daemon/index.js";
import { agentServiceDefinition, startRpcServer } from "../grpc/index.js";
import { registerStatusRoutes, sendJson, startHttpServer } from "../httpServer/index.js";
import { createDecisionLog, registerDecisionRoute } from "../logging/index.js";
import { createMetrics, registerProcessMetrics } from "../metrics/index.js";
import { createInstanceListClient, createLogClient, createOriginClient } from "../platform/index.js";
import { createStateStore, registerStateMetrics, startFollowerSet } from "../relay/index.js";
import type { AgentSettings } from "../settings/index.js";
import { registerAgentMetrics } from "./agentMetrics.js";
import type { AgentContext } from "./context.js";
import { type CopyController, createCopyController } from "./copyController.js";
import { createExecutor, type Executor } from "./executor.js";
import type { ExecuteCall } from "./frames.js";
import { createHoldEvaluator } from "./holdEvaluator.js";
import { startLoadReports, type WatchLoadCall } from "./loadReports.js";
import { recordOwnershipChanges } from "./ownershipRecorder.js";
import { createLinkBudget, createTransferService, type TransferService } from "./transfer/index.js";

/** Running agent. */
export interface AgentDaemon extends AsyncDisposable {
    readonly grpcPort: number;
    readonly httpPort: number;
    /** Refuses new requests and waits, up to the drain time limit, until none is queued or in progress. */
    drain(): Promise<void>;
}

/**
 * Starts the agent of a backend server on the same instance.
 *
 * @param settings - resolved settings
 * @param logger - logger of the process
 * @returns the daemon once it is listening, or an error if an address cannot be bound
 */
export async function startAgent(
    settings: AgentSettings,
    logger: Logger,
): Promise<Result<AgentDaemon, GoldcrestpointError>> {
    await using resources = createDisposalStack();
    const { platform, relay } = settings;
    const timeouts = { total: platform.requestTimeLimit };
    const log = resources.use(createLogClient({ baseUrl: platform.logUrl, timeouts }));
    const list = resources.use(createInstanceListClient({ baseUrl: platform.instanceListUrl, timeouts }));
    const origin = resources.use(createOriginClient({
        weightStoreBaseUrl: platform.weightStoreUrl,
        originBaseUrl: platform.originUrl,
        timeouts: { total: platform.chunkTimeLimit },
    }));
    const backend = resources.use(createBackendServerClient({
        baseUrl: settings.backendServer.url,
        kind: settings.backendServer.kind === "model" ? "engine" : "service",
        requestTimeouts: { idle: settings.backendServer.requestTimeLimit },
        timeouts: { total: settings.backendServer.orderTimeLimit, head: settings.backendServer.orderTimeLimit },
    }));
    const context = createContext(settings, logger, backend);
    const { clock, random, self, store, instances } = context;
    const hold = createHoldEvaluator(store, clock, context.startedAt, settings.hold.duration);

    const transfer = resources.use(createTransferService({
        self,
        zone: settings.instance.zone,
        backend,
        origin,
        linkBudget: createLinkBudget({
            bytesPerSecond: settings.distribution.linkBytesPerSecond,
            clock,
            requestsInProgress: () => executor.running,
        }),
        clock,
        random,
        options: settings.distribution,
        log: logger,
    }));
    const copyController: CopyController = createCopyController({
        context,
        hold,
        transfer,
        readRunning: () => executor.running,
        onServingChange: () => {
            reports.publish();
            followers.sendHeartbeats();
        },
    });
    const executor: Executor = createExecutor({
        self,
        backend,
        admission: context.admission,
        ledger: context.ledger,
        ownership: deployment => context.ownership.get(deployment),
        readServing: () => copyController.readServing(),
        clock,
        logger,
    });
    const reports = resources.use(startLoadReports(() => ({
        instance: self,
        incarnation: context.incarnation,
        copies: copyController.readServedStatuses(),
        running: executor.running,
        queued: executor.queued,
        capacity: context.admission.options.maximumInProgress,
        draining: copyController.draining,
        ageMilliseconds: 0n,
        cachedPrefixes: [...executor.recentPrefixes],
        orderSequence: 0n,
    }), relay.heartbeat));

    const followers = resources.use(startFollowerSet({
        self,
        incarnation: context.incarnation,
        store,
        clock,
        logger,
        startedAt: context.startedAt,
        listTargets: () => listRelayTargets(instances, relay.entryAddresses),
        rankKey: settings.instance.pool,
        listRequired: () => copyController.listWitnesses(),
        maximumFollowed: relay.parents,
        heartbeatMilliseconds: relay.heartbeat,
        readContent: () => ({
            copies: copyController.readStatuses(),
            draining: copyController.draining,
            transfers: readTotals(transfer),
        }),
        onHeartbeatResponse: answer => hold.recordAnswer(answer),
        onInstances: rows => {
            rows.forEach(row => instances.set(row.instance, row));
            copyController.refreshAssignment();
        },
    }));
    const silence = { clock, random, readHeardAt: () => followers.heardAt, silentAfter: relay.silentAfter };
    startPlatformReaders(resources, {
        settings,
        clock,
        random,
        logger,
        log,
        list,
        store,
        instances,
        shouldReadLog: createRelaySilenceCheck({ ...silence, jitter: relay.directReadJitter }),
        shouldReadList: createRelaySilenceCheck({ ...silence, jitter: 0 }),
        onInstances: () => copyController.refreshAssignment(),
    });

    const rpcServer = await startRpcServer(settings.instance.grpcAddress, [{
        definition: agentServiceDefinition,
        implementation: {
            watchLoad: (call: WatchLoadCall) => reports.watchLoad(call),
            execute: (call: ExecuteCall) => executor.execute(call),
            exchangeAvailability: transfer.exchangeAvailability,
            streamAvailability: transfer.streamAvailability,
            fetchChunk: transfer.fetchChunk,
        },
    }]);
    if (rpcServer.isErr) {
        return err(rpcServer.error);
    }
    resources.use(rpcServer.value);
    resources.defer(() => executor.endDrain());
    const httpServer = await startHttpServer(
        settings.instance.httpAddress,
        createAgentRouter(context, copyController),
        context.clock,
        undefined,
        logger,
    );
    if (httpServer.isErr) {
        return err(httpServer.error);
    }
    resources.use(httpServer.value);
    registerAgentMetrics(context.metrics, { executor, transfer, reports });
    registerProcessMetrics(context.metrics);
    registerStateMetrics(context.metrics, store, clock);

    recordOwnershipChanges(context);
    store.onChange(() => copyController.refreshAssignment());
    const timer = setInterval(() => {
        executor.expire();
        copyController.tick().catch((error: unknown) => logger.error({ error: String(error) }, "tick failed"));
    }, relay.tick);
    resources.defer(() => clearInterval(timer));

    const ownedResources = resources.move();
    logger.info({ grpcPort: rpcServer.value.port, httpPort: httpServer.value.port }, "agent started");
    return ok({
        grpcPort: rpcServer.value.port,
        httpPort: httpServer.value.port,
        drain: async () => {
            copyController.startDraining();
            await waitUntilIdle(clock, settings.instance.drainTimeLimit, () => executor.running + executor.queued);
            executor.endDrain();
        },
        [Symbol.asyncDispose]: () => ownedResources[Symbol.asyncDispose](),
    });
}

function createContext(settings: AgentSettings, logger: Logger, backend: BackendServerPort): AgentContext {
    const clock = createSystemClock();
    return {
        self: settings.instance.id,
        incarnation: randomUUID(),
        settings,
        clock,
        random: createSystemRandom(),
        logger,
        decisions: createDecisionLog({
            logger,
            instance: settings.instance.id,
            clock,
            sampleShare: settings.log.decisionSampleShare,
            recentDecisions: settings.log.recentDecisions,
        }),
        metrics: createMetrics({ clock }),
        startedAt: clock.monotonic(),
        backend,
        store: createStateStore(),
        instances: createInstanceTable(),
        admission: createAdmissionTable(settings.admission),
        ledger: createLedger(settings.idempotency),
        ownership: new Map(),
    };
}

function readTotals(transfer: TransferService) {
    const { originBytes, peerReceivedBytes, peerSentBytes } = transfer.totals();
    return create(TransferTotalsSchema, {
        originBytes: BigInt(originBytes),
        peerReceivedBytes: BigInt(peerReceivedBytes),
        peerSentBytes: BigInt(peerSentBytes),
    });
}

function createAgentRouter(context: AgentContext, copyController: CopyController) {
    const router = createRouter({
        defaultRoute: (...[, response]) => sendJson(response, 404, { error: "no route" }),
    });
    registerDecisionRoute(router, context.decisions);
    registerStatusRoutes(router, {
        listUnreadyReasons: () => copyController.readServing().serving ? [] : [`the copy is ${copyController.phase}`],
        renderMetrics: () => context.metrics.render(),
    });
    return router;
}
