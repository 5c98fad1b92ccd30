import type { Logger } from "pino";
import { err, ok, type Result } from "true-myth/result";
import type {
    CallerProtocol,
    Clock,
    GoldcrestpointError,
    KeyedLogPort,
    RandomSource,
    RecordDecoder,
} from "../../types/index.js";
import { type DisposalStack, sleep } from "../../utils/index.js";
import type { DrainableDaemon } from "../daemon/runDaemon.js";
import { startOwned } from "../daemon/startOwned.js";
import { replicaServiceDefinition, startRpcServer } from "../grpc/index.js";
import { startHttpServer } from "../httpServer/index.js";
import { createDecisionLog } from "../logging/index.js";
import { createMetrics, observeProcess } from "../metrics/index.js";
import {
    createRecordRelay,
    createRecordStore,
    createRelayFollowers,
    followLog,
    listInstances,
    type LogFollowerInput,
    startRegistration,
} from "../replica/index.js";
import type { GatewaySettings } from "../settings/index.js";
import { createAdmissionGates } from "./admissionGates.js";
import { createAgentWatch } from "./agentWatch.js";
import { createBackendClients } from "./backendClients.js";
import { startCallerServer } from "./callerServer.js";
import { createCrashContainment } from "./crashContainment.js";
import { createGatewayList } from "./gatewayList.js";
import { createGatewayMetrics } from "./gatewayMetrics.js";
import { createGatewayState } from "./gatewayState.js";
import { createRequestLog } from "./requestLog.js";
import { createRequestPipeline } from "./requestPipeline.js";
import { createRetryBudgets } from "./retryBudgets.js";
import { createServerChoice } from "./serverChoice.js";
import { createServerNotices } from "./serverNotices.js";
import { createRouter } from "./statusRouter.js";
import { deriveWeightSources } from "./weightSources.js";

/** Outside systems of a gateway. */
export interface GatewayPorts {
    readonly log: KeyedLogPort;
    readonly decoder: RecordDecoder;
    readonly protocol: CallerProtocol;
    readonly clock: Clock;
    readonly random: RandomSource;
    /** Path at which the platform asks for readiness. */
    readonly readyPath: string;
    /** Seeds in force, which may change while the process runs. Default: those of the settings. */
    readonly readSeeds?: (() => readonly string[]) | undefined;
}

/** Running gateway. */
export interface Gateway extends DrainableDaemon {
    /** Ends the acceptance of new work, as the signal to shut down does. */
    drain(): Promise<void>;
}

/** Interval of the systems that expire what is old. */
const tickInterval = 100;
/** Servers for readiness, metrics and relayed records, which stop one after the other within the shutdown margin. */
const ownServers = 3;
/** Connections to a backend server are shared by the gateways; a few are left for others. */
const connectionShare = 0.8;

/**
 * Starts a gateway: an entry instance that sends requests straight to backend servers.
 *
 * @param settings - resolved settings
 * @param ports - outside systems
 * @param logger - log of the process
 * @returns the gateway, or the error that kept it from starting
 */
export function startGateway(
    settings: GatewaySettings,
    ports: GatewayPorts,
    logger: Logger,
): Promise<Result<Gateway, GoldcrestpointError>> {
    return startOwned(stack => assemble(settings, ports, logger, stack));
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
    observeProcess(metrics);
    const gatewayMetrics = createGatewayMetrics(metrics);
    const decisions = createDecisionLog({
        logger,
        instance: instance.id,
        clock,
        sampleShare: settings.log.decisionSampleShare,
        recentDecisions: settings.log.recentDecisions,
    });
    const store = createRecordStore(
        ["backend-servers", "operator", "instances", "condemned-requests", "weight-sources"],
        clock,
        logger,
    );
    log.onEra?.(store.noteEra);
    const notices = createServerNotices({
        clock,
        logger,
        memory: gateway.noticeMemory,
        maximumPause: gateway.maximumPause,
    });
    const state = createGatewayState({
        store,
        decoder: ports.decoder,
        clock,
        logger,
        regions: new Map(gateway.zoneRegions.map(text => text.split(":") as [string, string])),
        membership: gateway,
        versions: gateway,
        notices,
    });

    const gateways = createGatewayList(store, settings, clock, ports.readSeeds ?? (() => gateway.seeds));
    const choice = createServerChoice({
        state,
        zone: instance.zone,
        region: instance.region,
        clock,
        random,
        options: settings.routing,
        countGateways: gateways.count,
        queuedPerServer: gateway.queuedPerServer,
    });
    const gates = createAdmissionGates({
        clock,
        options: settings.admission,
        measureShare: choice.measureShare,
    });
    const clients = stack.use(createBackendClients({
        connectTimeLimit: gateway.connectTimeLimit,
        maximumHeldBytes: gateway.maximumHeldAnswerBytes,
        connections: ({ service }) => {
            const maximum = state.routes()?.services.get(service)?.maximumConnections ?? 1;
            return Math.max(1, Math.floor(maximum * connectionShare / gateways.count()));
        },
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
        listAddresses: gateways.listAddresses,
    }));
    const budgets = createRetryBudgets(settings, store, gateways, clock);
    const serve = createRequestPipeline({
        protocol: ports.protocol,
        clock,
        choice,
        gates,
        clients,
        crashes: containment.watch,
        notices,
        knowledge: containment.knowledge,
        findBudget: budgets.find,
        readRetry: budgets.readOptions,
        routing: settings.routing,
        switchAfter: gateway.switchAfter,
        log: createRequestLog({
            decisions,
            clock,
            countQueued: gates.countQueued,
            countOpen: gates.countOpen,
            measureShare: gates.measureShare,
        }),
        metrics: gatewayMetrics,
    });

    // The last share is left for the process to end.
    const serverShutdownLimit = gateway.shutdownMargin / (ownServers + 1);
    const relay = stack.use(createRecordRelay({ store, clock, options: replica }));
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
    // The server waits for the streams of the relay, so they end before it stops.
    stack.use(relay);
    stack.use(createRelayFollowers({
        self: instance.id,
        store,
        clock,
        random,
        logger,
        options: replica,
        listAddresses: gateways.listAddresses,
    }));
    const agentWatch = stack.use(createAgentWatch({
        self: instance.id,
        listServers: () =>
            [...state.servers.rows()].filter(({ listed }) =>
                state.routes()?.services.get(listed.service)?.engine !== undefined
            ),
        agentPort: gateway.agentPort,
        clock,
        random,
        logger,
        silentAfter: gateway.reportExpiry,
        reconnectAfter: replica.reconnectAfter,
        onReport: () => gates.update(),
    }));

    state.onServers(() => {
        clients.keepOnly(new Set(state.servers.keys()));
        agentWatch.tick();
        gates.update();
    });

    const callers = await startCallerServer({
        address: instance.httpAddress,
        protocol: ports.protocol,
        clock,
        routes: state.routes,
        serve,
        metrics: gatewayMetrics,
        waitShare: gateway.waitForEarlyAnswerShare,
        logRejected: fields => logger.warn(fields, "request rejected"),
    });
    if (callers.isErr) {
        return err(callers.error);
    }
    const callerServer = stack.use(callers.value);
    state.onOperator(routes => {
        callerServer.applyLimits(routes.configuration.limits);
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
    /** The log may have been restored just now: what it lost, other gateways know. */
    const awaitsGateways = (): boolean =>
        clock.monotonic() < startedAt + gateway.peerWait && store.newestEra() > 0 &&
        store.relayedCurrentAt("operator") === undefined && gateways.listAddresses().length > 0;
    let draining = false;
    const router = createRouter({
        readyPath: ports.readyPath,
        readUnreadiness: () => [
            ...(draining ? ["draining"] : []),
            ...(state.routes() === undefined ? ["no configuration"] : []),
            ...(state.servers.size === 0 ? ["no backend server is known"] : []),
            ...(registration.isSettled() ? [] : ["not registered"]),
            ...(awaitsGateways() ? ["other gateways not heard"] : []),
        ],
        renderMetrics: () => metrics.render(),
        decisions,
    });
    for (const address of new Set([gateway.readyAddress, gateway.metricsAddress])) {
        const server = await startHttpServer(address, router, serverShutdownLimit);
        if (server.isErr) {
            return err(server.error);
        }
        stack.use(server.value);
    }

    const followerInput: LogFollowerInput = {
        log,
        store,
        self: instance.id,
        listRelays: () => listInstances(store).map(row => row.instance),
        clock,
        random,
        logger,
        options: replica,
        signal: ended.signal,
    };
    void followLog(followerInput, "operator", "wait");
    void followLog(followerInput, "instances", "wait");
    void followLog(followerInput, "condemned-requests", "wait");
    void followLog(followerInput, "backend-servers", "poll");

    const timer = setInterval(() => {
        state.expire();
        containment.knowledge.expire();
        agentWatch.tick();
        gates.update();
    }, tickInterval);
    stack.defer(() => clearInterval(timer));
    logger.info({ address: instance.httpAddress, zone: instance.zone }, "gateway started");

    return ok({
        drain: async () => {
            draining = true;
            callerServer.beginShutdown();
            const limit = Math.max(0, instance.drainTimeLimit - gateway.shutdownMargin);
            const endsAt = clock.monotonic() + limit;
            await sleep(Math.min(gateway.acceptAfterShutdown, limit));
            callerServer.stopAccepting();
            while (callerServer.countOpen() > 0 && clock.monotonic() < endsAt) {
                await sleep(tickInterval);
                callerServer.stopAccepting();
            }
            logger.info({ open: callerServer.countOpen() }, "drained");
        },
    });
}
