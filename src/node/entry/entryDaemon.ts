import { randomUUID } from "node:crypto";
import type { Logger } from "pino";
import { err, ok, type Result } from "true-myth/result";
import { createAdmissionTable } from "../../runtime/admission/index.js";
import { createInstanceTable } from "../../runtime/placement/index.js";
import { createRetryBudget, createSuspectTable } from "../../runtime/retry/index.js";
import type { GoldcrestpointError, InstanceRow } from "../../types/index.js";
import { createDisposalStack, createSystemClock, createSystemRandom, createTable } from "../../utils/index.js";
import { createRelaySilenceCheck, listRelayTargets, startPlatformReaders, waitUntilIdle } from "../daemon/index.js";
import { relayServiceDefinition, startRpcServer } from "../grpc/index.js";
import { createDecisionLog } from "../logging/index.js";
import { registerProcessMetrics } from "../metrics/index.js";
import { createInstanceListClient, createLogClient } from "../platform/index.js";
import {
    createRelayHandler,
    createStateStore,
    type FollowCall,
    registerStateMetrics,
    startFollowerSet,
} from "../relay/index.js";
import type { EntrySettings } from "../settings/index.js";
import type { EntryContext } from "./context.js";
import { createEntryMetrics } from "./entryMetrics.js";
import { startEntryServer } from "./entryServer.js";
import { recordHeartbeat } from "./heartbeats.js";
import { isLogReader } from "./logReaders.js";
import { createPlacementProposer } from "./placementProposer.js";
import { createRequestPipeline } from "./requestPipeline.js";
import { listRequiredWitnesses } from "./requiredWitnesses.js";
import { createRunnerDirectory } from "./runnerDirectory.js";
import { createSuspicionSharing, type ShareCall, type ShareCallback } from "./suspicionSharing.js";

/** Running entry instance. */
export interface EntryDaemon extends AsyncDisposable {
    readonly grpcPort: number;
    readonly httpPort: number;
    /** Refuses new requests and waits until those in progress have ended, at most for the drain time limit. */
    drain(): Promise<void>;
}

/** Interval of the ticks that process every deployment; the next tick does so as well if the state has changed. */
const fullTickIntervalMilliseconds = 500;

/**
 * Starts an entry instance.
 *
 * @param settings - resolved settings
 * @param logger - logger of the process
 * @returns the daemon once its servers listen, or an error if an address cannot be bound
 */
export async function startEntry(
    settings: EntrySettings,
    logger: Logger,
): Promise<Result<EntryDaemon, GoldcrestpointError>> {
    await using resources = createDisposalStack();
    const timeouts = { total: settings.platform.requestTimeLimit };
    const log = resources.use(createLogClient({ baseUrl: settings.platform.logUrl, timeouts }));
    const list = resources.use(createInstanceListClient({ baseUrl: settings.platform.instanceListUrl, timeouts }));
    const context = createContext(settings, logger, log);
    const { clock, random, store, instances } = context;
    const incarnation = randomUUID();

    const relay = createRelayHandler({
        self: context.self,
        store,
        instances,
        clock,
        startedAt: context.startedAt,
        holdDuration: settings.hold.duration,
        onHeartbeat: request => recordHeartbeat(context, request),
    });
    const sharing = resources.use(createSuspicionSharing(context));
    const rpc = await startRpcServer(settings.instance.grpcAddress, [{
        definition: relayServiceDefinition,
        implementation: {
            follow: (call: FollowCall) => relay.follow(call),
            shareSuspicion: (call: ShareCall, callback: ShareCallback) => sharing.shareSuspicion(call, callback),
        },
    }]);
    if (rpc.isErr) {
        return err(rpc.error);
    }
    resources.use(rpc.value);
    resources.defer(() => relay.close());

    const directory = resources.use(createRunnerDirectory(context));
    const pipeline = createRequestPipeline(context, directory, sharing);
    const http = await startEntryServer(context, pipeline);
    if (http.isErr) {
        return err(http.error);
    }
    resources.use(http.value);

    const followers = resources.use(startFollowerSet({
        self: context.self,
        incarnation,
        store,
        clock,
        logger,
        startedAt: context.startedAt,
        listTargets: () => listRelayTargets(instances, settings.relay.entryAddresses),
        rankKey: context.self,
        listRequired: () => listRequiredWitnesses(context),
        maximumFollowed: settings.relay.parents,
        heartbeatMilliseconds: settings.relay.heartbeat,
        readContent: () => ({ copies: [], draining: http.value.isDraining() }),
        onHeartbeatResponse: response => {
            const { instance, sentAt, appliedOffset, uptime } = response;
            context.witnesses.set(instance, { instance, heardAt: sentAt, appliedOffset, uptime });
        },
        onInstances: () => undefined,
    }));
    const areRelaysSilent = createRelaySilenceCheck({
        clock,
        random,
        readHeardAt: () => followers.heardAt,
        silentAfter: settings.relay.silentAfter,
        jitter: settings.relay.directReadJitter,
    });
    startPlatformReaders(resources, {
        settings,
        clock,
        random,
        logger,
        log,
        list,
        store,
        instances,
        shouldReadLog: () => isLogReader(context) || areRelaysSilent(),
        shouldReadList: () => true,
        onInstances: rows => {
            logNonLiveInstances(logger, rows);
            relay.publishInstances(rows);
            directory.refresh();
        },
    });

    registerProcessMetrics(context.metrics.registry);
    registerStateMetrics(context.metrics.registry, store, clock);
    const proposer = createPlacementProposer(context);
    let stateChanged = true;
    store.onChange(() => {
        stateChanged = true;
    });
    let nextFullTickAt = 0;
    const timer = setInterval(() => {
        pipeline.expire();
        if (stateChanged || clock.monotonic() >= nextFullTickAt) {
            stateChanged = false;
            nextFullTickAt = clock.monotonic() + fullTickIntervalMilliseconds;
            directory.refresh();
            proposer.tick();
        }
    }, settings.relay.tick);
    resources.defer(() => clearInterval(timer));

    const ownedResources = resources.move();
    logger.info({ grpcPort: rpc.value.port, httpPort: http.value.port }, "entry instance started");
    return ok({
        grpcPort: rpc.value.port,
        httpPort: http.value.port,
        drain: async () => {
            http.value.beginDrain();
            await waitUntilIdle(clock, settings.instance.drainTimeLimit, () => pipeline.open + http.value.countOpen());
        },
        [Symbol.asyncDispose]: () => ownedResources[Symbol.asyncDispose](),
    });
}

function createContext(settings: EntrySettings, logger: Logger, log: EntryContext["log"]): EntryContext {
    const clock = createSystemClock();
    const startedAt = clock.monotonic();
    return {
        self: settings.instance.id,
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
        metrics: createEntryMetrics(clock),
        startedAt,
        log,
        store: createStateStore(),
        instances: createInstanceTable(),
        observations: createTable(),
        witnesses: createTable(),
        admission: createAdmissionTable(settings.admission),
        retryBudget: createRetryBudget(startedAt, settings.retry),
        suspects: createSuspectTable(settings.retry),
    };
}

function logNonLiveInstances(logger: Logger, rows: readonly InstanceRow[]): void {
    for (const { instance, state } of rows) {
        if (state !== "live") {
            logger.info({ peer: instance, state }, "instance is no longer live");
        }
    }
}
