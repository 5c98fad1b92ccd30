import type { Logger } from "pino";
import { err, ok, type Result } from "true-myth/result";
import type {
    CallerProtocol,
    Clock,
    GoldcrestpointError,
    KeyedLogPort,
    ListedBackendServer,
    Milliseconds,
    RandomSource,
    RecordDecoder,
} from "../../types/index.js";
import type { DisposalStack } from "../../utils/index.js";
import type { DrainableDaemon } from "../daemon/runDaemon.js";
import { startDisposableDaemon } from "../daemon/startDisposableDaemon.js";
import { replicaServiceDefinition, startRpcServer } from "../grpc/index.js";
import { startHttpServer } from "../httpServer/index.js";
import { createDecisionLog } from "../logging/index.js";
import { createMetrics, registerProcessMetrics } from "../metrics/index.js";
import { createRecordRelay, createRelayFollowers, createStallMonitor, startRegistration } from "../replica/index.js";
import type { GatewaySettings } from "../settings/index.js";
import { createBackendClients, divideConnections } from "./attempts/backendClients.js";
import { createRetryBudgets } from "./attempts/retryBudgets.js";
import { createUsedTurnLog } from "./attempts/usedTurnLog.js";
import { startCallerServer } from "./callers/callerServer.js";
import { drainCallers } from "./callers/drainCallers.js";
import { createCrashContainment } from "./crashes/crashContainment.js";
import { createGatewayMemory } from "./gatewayMemory.js";
import { createGatewayMetrics, registerEligibilityGauges, registerReplicaGauges } from "./gatewayMetrics.js";
import { createAgentWatch } from "./membership/agentWatch.js";
import { describeEvacuations } from "./membership/evacuationStatus.js";
import { createGatewayRecords } from "./membership/gatewayRecords.js";
import { longPolledTopics, startLogFollowers } from "./membership/logFollowers.js";
import { createMembership } from "./membership/membership.js";
import { deriveWeightSources } from "./membership/weightSources.js";
import { createRequestLog } from "./requestLog.js";
import { createRequestPipeline } from "./requestPipeline.js";
import { createAdmissionQueues } from "./selection/admissionQueues.js";
import { createEligibility } from "./selection/eligibility.js";
import { createRegionLimits } from "./selection/regionLimits.js";
import { createRemainingWork } from "./selection/remainingWork.js";
import { createRouteExplainer } from "./selection/routeExplainer.js";
import { createServerSelector } from "./selection/serverSelector.js";
import { createRouter } from "./statusRouter.js";

/** External systems of a gateway. */
export interface GatewayPorts {
    readonly log: KeyedLogPort;
    readonly decoder: RecordDecoder;
    readonly protocol: CallerProtocol;
    readonly clock: Clock;
    readonly random: RandomSource;
    /** Path at which the platform checks readiness. */
    readonly readyPath: string;
    /** Reads the time since the process started. Default: it starts with the gateway. */
    readonly readProcessAge?: (() => Milliseconds) | undefined;
    /** Reads the current seeds, which may change while the process runs. Default: those of the settings. */
    readonly readSeeds?: (() => readonly string[]) | undefined;
}

/** Running gateway. */
export interface Gateway extends DrainableDaemon {
    /** Stops accepting new work and waits for requests in progress, as on the signal to shut down. */
    drain(): Promise<void>;
}

/** Interval at which expired state is removed. */
const maintenanceIntervalMilliseconds = 100;
/** Number of servers for callers, readiness, metrics and relayed records, which stop in turn within the shutdown margin. */
const serverCount = 4;

/**
 * Starts a gateway: an entry instance that sends requests directly to backend servers.
 *
 * @param settings - resolved settings
 * @param ports - external systems
 * @param logger - log of the process
 * @returns the gateway, or the error that prevented its start
 */
export function startGateway(
    settings: GatewaySettings,
    ports: GatewayPorts,
    logger: Logger,
): Promise<Result<Gateway, GoldcrestpointError>> {
    return startDisposableDaemon(stack => assemble(settings, ports, logger, stack));
}

async function assemble(
    settings: GatewaySettings,
    ports: GatewayPorts,
    logger: Logger,
    stack: DisposalStack,
): Promise<Result<Pick<Gateway, "drain">, GoldcrestpointError>> {
    const { clock, log, random } = ports;
    const { gateway, instance, replica } = settings;
    const startedAt = clock.monotonic();
    const ended = new AbortController();
    stack.defer(() => ended.abort());
    const metrics = createMetrics({ clock });
    registerProcessMetrics(metrics);
    const gatewayMetrics = createGatewayMetrics(metrics);
    const decisions = createDecisionLog({
        logger,
        instance: instance.id,
        clock,
        sampleShare: settings.log.decisionSampleShare,
        recentDecisions: settings.log.recentDecisions,
    });
    const store = createGatewayRecords(ports, logger);
    const stalls = createStallMonitor({ clock, logger });
    const following = { self: instance.id, store, clock, stalls, random, logger, logTopics: longPolledTopics };
    const { evacuations, gateways, notices, rateLimits, slowStarts, state } = createMembership({
        settings,
        ports,
        store,
        stalls,
        logger,
        startedAt,
    });
    registerEligibilityGauges(metrics, {
        countEvacuated: () => evacuations.list().length,
        countCold: slowStarts.countCold,
    });
    const readConnections = ({ service }: Pick<ListedBackendServer, "service">) =>
        divideConnections(state.routes()?.services.get(service)?.maximumConnections, gateways.count());
    const choice = createServerSelector({
        state,
        zone: instance.zone,
        region: instance.region,
        clock,
        random,
        options: settings.routing,
        isEvacuated: evacuations.isEvacuated,
        countGateways: gateways.count,
        queuedPerServer: gateway.queuedPerServer,
        readConnections,
    });
    const regions = createRegionLimits(state.routes);
    const work = createRemainingWork({ clock, costAware: settings.routing.costAware, metrics: gatewayMetrics });
    const eligibility = createEligibility({ regions, explainIneligible: choice.explainIneligible });
    const { computeServiceShare } = choice;
    const queues = createAdmissionQueues({ clock, options: settings.admission, computeServiceShare });
    const memory = createGatewayMemory({ clock, gateway, logger, metrics, gatewayMetrics });
    log.onRead?.(bytes => memory.recordRead(bytes));
    const clients = stack.use(createBackendClients({
        connectTimeLimit: gateway.connectTimeLimit,
        connections: readConnections,
        usedTurns: createUsedTurnLog(clock, logger, gatewayMetrics),
    }));
    const containment = stack.use(createCrashContainment({
        log,
        store,
        clock,
        random,
        logger,
        metrics,
        gatewayMetrics,
        options: settings.retry,
        connectTimeLimit: gateway.connectTimeLimit,
        settleTime: gateway.settleTime,
        notices,
        rateLimits,
        listAddresses: gateways.listAddresses,
        goneAfter: gateway.goneAfter,
    }));
    const budgets = createRetryBudgets(settings, store, gateways, clock);
    const serve = createRequestPipeline({
        protocol: ports.protocol,
        clock,
        choice,
        regions,
        eligibility,
        queues,
        work,
        clients,
        crashes: containment.watch,
        notices,
        rateLimits,
        slowStarts,
        crashEvidence: containment.crashEvidence,
        findBudget: budgets.find,
        readRetry: budgets.readOptions,
        routing: settings.routing,
        switchAfter: gateway.switchAfter,
        log: createRequestLog({
            decisions,
            logger,
            clock,
            countQueued: queues.countQueued,
            countOpen: queues.countOpen,
            computeServiceShare: queues.computeServiceShare,
            findAllowedRegions: regions.find,
            findCrashingPart: containment.crashEvidence.findCrashingPart,
        }),
        metrics: gatewayMetrics,
    });

    // One share of the margin is left for the exit of the process.
    const serverShutdownLimit = gateway.shutdownMargin / (serverCount + 1);
    const relay = stack.use(createRecordRelay({
        store,
        clock,
        stalls,
        options: { ...replica, maximumUnsentBytes: gateway.maximumRelayedBytes },
    }));
    registerReplicaGauges(metrics, store, relay);
    const rpcServer = await startRpcServer(instance.grpcAddress, [
        {
            definition: replicaServiceDefinition,
            implementation: {
                followRecords: relay.followRecords,
                exchangeCrashEvidence: containment.exchangeCrashEvidence,
            },
        },
    ], serverShutdownLimit);
    if (rpcServer.isErr) {
        return err(rpcServer.error);
    }
    stack.use(rpcServer.value);
    // The server waits for the streams of the relay, so the relay must be disposed of first.
    stack.use(relay);
    stack.use(createRelayFollowers({ ...following, options: replica, listAddresses: gateways.listAddresses }));
    const agentWatch = stack.use(createAgentWatch({
        self: instance.id,
        listServers: state.listEngines,
        agentPort: gateway.agentPort,
        clock,
        random,
        logger,
        silentAfter: gateway.reportExpiry,
        reconnectAfter: replica.reconnectAfter,
        settleWithin: gateway.agentWait,
        onStarted: slowStarts.recordReport,
        onReport: () => queues.update(),
    }));

    state.onServers(() => {
        clients.keepOnly(new Set(state.servers.keys()));
        agentWatch.tick();
        eligibility.update();
        queues.update();
    });

    const callers = await startCallerServer({
        address: instance.httpAddress,
        protocol: ports.protocol,
        clock,
        routes: state.routes,
        serve,
        metrics: gatewayMetrics,
        memory,
        waitShare: gateway.waitForEarlyAnswerShare,
        closeTimeLimit: serverShutdownLimit,
        configurationLimit: gateway.configurationLimit,
        logger,
    });
    if (callers.isErr) {
        return err(callers.error);
    }
    const callerServer = stack.use(callers.value);
    state.onOperator(routes => {
        callerServer.applyConfiguration(routes.configuration);
        slowStarts.update(state.servers.rows());
        eligibility.update();
        queues.update();
        const { era, nextOffset, records } = store.topic("operator");
        const origin = {
            era: Math.min(era, ...[...records.values()].map(record => record.era)),
            offset: Math.max(0, nextOffset - 1),
        };
        const readVersion = (model: string) => state.readVersions(model).newest;
        store.receive({
            topic: "weight-sources",
            page: { records: deriveWeightSources(routes, readVersion, origin), nextOffset, era },
            complete: true,
            age: 0,
            source: "local",
            peer: "local",
        });
        agentWatch.tick();
    });

    const registration = startRegistration({
        log,
        store,
        self: gateways.self,
        clock,
        random,
        logger,
        signal: ended.signal,
        settleWithin: gateway.registrationLimit,
    });
    /** If the log was just restored from a backup, other gateways still have the records that it lost. */
    const awaitsGateways = (): boolean =>
        clock.monotonic() < startedAt + gateway.peerWait && store.newestEra() > 0 &&
        store.relayedCurrentAt("operator") === undefined && gateways.listAddresses().length > 0;
    let draining = false;
    const router = createRouter({
        readyPath: ports.readyPath,
        listUnreadyReasons: () => [
            ...(draining ? ["draining"] : []),
            ...(state.routes() === undefined ? ["no configuration"] : []),
            ...(state.servers.size === 0 ? ["no backend server is known"] : []),
            ...(registration.isSettled() ? [] : ["not registered"]),
            ...(agentWatch.isSettled() ? [] : ["agents not heard"]),
            ...(awaitsGateways() ? ["other gateways not heard"] : []),
        ],
        renderMetrics: () => metrics.render(),
        describeEvacuations: () => describeEvacuations(evacuations.list(), state.servers.rows(), clock),
        decisions,
        explainRoute: createRouteExplainer({ ...ports, ...state, choice, regions, work, options: settings.routing }),
    });
    for (const address of new Set([gateway.readyAddress, gateway.metricsAddress])) {
        const server = await startHttpServer(address, router, clock, serverShutdownLimit, logger);
        if (server.isErr) {
            return err(server.error);
        }
        stack.use(server.value);
    }

    startLogFollowers({
        ...following,
        log,
        listRelays: gateways.listIdentifiers,
        signal: ended.signal,
    }, settings);

    const timer = setInterval(() => {
        stalls.check();
        memory.check();
        state.expire();
        rateLimits.update();
        slowStarts.update(state.servers.rows());
        containment.crashEvidence.expire();
        agentWatch.tick();
        queues.update();
    }, maintenanceIntervalMilliseconds);
    stack.defer(() => clearInterval(timer));
    logger.info({ address: instance.httpAddress, zone: instance.zone }, "gateway started");

    return ok({
        drain: async () => {
            draining = true;
            await drainCallers(callerServer, queues, settings, clock);
            logger.info({ ...callerServer.countOpen(), queued: queues.countQueued() }, "drained");
        },
    });
}
