import type { Logger } from "pino";
import { err, ok, type Result } from "true-myth/result";
import { computeAssumedAge, formatWeightName } from "../../runtime/gateway/index.js";
import {
    type BackendServerPort,
    type Clock,
    type EngineControlPort,
    type GoldcrestpointError,
    type KeyedLogPort,
    type ListedBackendServer,
    type RandomSource,
    type RecordDecoder,
    type VersionOriginPort,
} from "../../types/index.js";
import { type DisposalStack, sleep } from "../../utils/index.js";
import { createLinkBudget, createTransferService } from "../agent/transfer/index.js";
import type { DrainableDaemon } from "../daemon/runDaemon.js";
import { startDisposableDaemon } from "../daemon/startDisposableDaemon.js";
import { createRecordChecks } from "../gateway/membership/recordChecks.js";
import { agentServiceDefinition, startRpcServer } from "../grpc/index.js";
import { splitAddress } from "../httpServer/index.js";
import { createRecordStore, createRelayFollowers, createStallMonitor } from "../replica/index.js";
import type { WeightAgentSettings } from "../settings/index.js";
import { createEarlyStager } from "./earlyStager.js";
import { createEngineController, type EngineTarget } from "./engineController.js";
import { importStaged } from "./importStaged.js";
import { createLoadFeed } from "./loadFeed.js";
import { createDirectGatewayReader, listRelays } from "./relays.js";
import { trackStagedWrites } from "./stagedWrites.js";
import { createVersionPlan } from "./versionPlan.js";
import { createWeightMemory } from "./weightMemory.js";
import { createWeightSetOrigin } from "./weightSetOrigin.js";

/** Origin whose address comes from the configuration. */
export interface AddressedOrigin extends VersionOriginPort {
    useAddress(address: string): void;
}

/** External systems that an agent uses. */
export interface WeightAgentPorts {
    readonly log: KeyedLogPort;
    readonly decoder: RecordDecoder;
    readonly engine: EngineControlPort;
    readonly origin: AddressedOrigin;
    readonly clock: Clock;
    readonly random: RandomSource;
    /** Reads the current seeds, which may change while the process runs. Default: those of the settings. */
    readonly readSeeds?: (() => readonly string[]) | undefined;
}

/** Interval of the ticks of the transfer service; the agents' links take about as long for one chunk. */
const transferTickIntervalMilliseconds = 100;

/** Interval at which the report of an engine that drains or loads is read; short, so that it soon serves again. */
const loadingReportIntervalMilliseconds = 60;

const bytesPerMegabit = 125_000;

/** Largest part of a chunk in one message: about 25 ms on a slow link; larger ones would delay live requests. */
const transferPartBytes = 16_384;

/**
 * Starts an agent that keeps the weights of the engine on its instance at the declared version.
 *
 * @param settings - resolved settings
 * @param ports - external systems
 * @param logger - logger of the process
 * @returns the agent, or the error that prevented its start
 */
export function startWeightAgent(
    settings: WeightAgentSettings,
    ports: WeightAgentPorts,
    logger: Logger,
): Promise<Result<DrainableDaemon, GoldcrestpointError>> {
    return startDisposableDaemon(stack => assemble(settings, ports, logger, stack));
}

async function assemble(
    settings: WeightAgentSettings,
    ports: WeightAgentPorts,
    logger: Logger,
    stack: DisposalStack,
): Promise<Result<Pick<DrainableDaemon, "drain">, GoldcrestpointError>> {
    const { clock, decoder, random } = ports;
    const { gateway, instance, replica, weightAgent } = settings;
    const topics = ["backend-servers", "instances", "weight-sources"] as const;
    const store = createRecordStore(topics, clock, logger, { checks: createRecordChecks(decoder) });
    ports.log.onEra?.(store.recordEra);
    const servers = new Map<string, ListedBackendServer>();
    const stalls = createStallMonitor({ clock, logger });
    let imported = false;

    const memory = createWeightMemory(() => plan.readSource()?.chunks ?? 0);
    const plan = createVersionPlan({
        clock,
        logger,
        options: {
            copyTime: weightAgent.copyTime,
            cutoverAfter: gateway.cutoverAfter,
            assumedAge: computeAssumedAge(gateway),
        },
        readReport: () => engineController.readReport(),
        readProgress: () => service.progress(),
        readChunk: (set, index) => memory.read(set, index),
    });
    const weightSetOrigin = createWeightSetOrigin(ports.origin, (set, manifest) => plan.keepManifest(set, manifest));
    const feed = createLoadFeed(instance.id, clock, weightAgent);
    const engineHost = splitAddress(weightAgent.engineAddress).host;

    function listMembers(): readonly ListedBackendServer[] {
        return [...servers.values()].filter(({ service, state }) =>
            service === weightAgent.service && state === "ready"
        );
    }

    function readTarget(): EngineTarget | undefined {
        const serving = listMembers().filter(({ weights }) => weights !== undefined);
        return plan.readTarget(serving.map(({ address }) => splitAddress(address).host));
    }

    const { findVersion, readManifest } = plan;
    const writes = trackStagedWrites({
        engine: ports.engine,
        clock,
        logger,
        findVersion,
        mayWrite: () => engineController.mayStage(),
    });
    const engineController = createEngineController({
        writes,
        memory,
        self: engineHost,
        clock,
        stalls,
        logger,
        options: weightAgent,
        publish: status => feed.publish(status, 0),
        readTarget,
        readManifest,
        requestManifest,
        findVersion,
    });

    function requestManifest(model: string, version: number): void {
        // The transfer service reads the manifest of the version that it transfers.
        if (plan.chooseVersion()?.version !== version) {
            void weightSetOrigin.readManifest(formatWeightName(model, version));
        }
    }

    function applyTarget(): void {
        plan.recordProgress();
        const target = plan.chooseVersion();
        const source = plan.readSource();
        if (source === undefined || target === undefined || !imported) {
            return;
        }
        const { model, originZone } = source;
        const set = formatWeightName(model, target.version);
        const retained = plan.listRetained();
        service.setTarget({
            weights: { model, adapter: "", version: String(target.version), manifestDigest: set },
            objective: weightAgent.objective,
            originZone,
            namedAt: target.declaredAt,
            retained,
            members: listMembers().map(({ address, zone }) => {
                const { host } = splitAddress(address);
                return { instance: host, zone, address: `${host}:${gateway.agentPort}` };
            }),
        });
        memory.keepOnly(new Set([set, ...retained]));
    }

    function updateSource(value: Uint8Array): void {
        const source = plan.updateSource(value);
        if (source !== undefined) {
            ports.origin.useAddress(source.originAddress);
        }
    }

    store.onChange((topic, records) => {
        for (const { key, value } of records) {
            if (topic === "weight-sources" && key === weightAgent.service && value !== undefined) {
                updateSource(value);
            }
            if (topic === "backend-servers") {
                const listed = value === undefined ? undefined : decoder.decodeBackendServer(key, value);
                if (listed === undefined) {
                    servers.delete(key);
                }
                else {
                    servers.set(key, listed);
                }
            }
        }
        applyTarget();
    });

    const service = stack.use(createTransferService({
        self: engineHost,
        zone: instance.zone,
        // The transfer service uses only the methods that read the state and that stage and read chunks.
        backend: memory.port as BackendServerPort,
        origin: weightSetOrigin,
        verifyManifest: manifest => ok(manifest),
        keepManifest: (set, manifest) => plan.keepManifest(set, manifest),
        linkBudget: createLinkBudget({
            bytesPerSecond: weightAgent.linkMegabitsPerSecond * bytesPerMegabit,
            idleShare: weightAgent.linkShare,
            clock,
        }),
        clock,
        random,
        options: {
            ...settings.distribution,
            linkBytesPerSecond: weightAgent.linkMegabitsPerSecond * bytesPerMegabit,
            exchangeInterval: weightAgent.exchangeInterval,
            exchangeTimeLimit: weightAgent.exchangeTimeLimit,
            tickInterval: transferTickIntervalMilliseconds,
            partBytes: transferPartBytes,
            retryChokedAfter: transferTickIntervalMilliseconds,
            waitForPreparedSet: false,
            exchangeWhenComplete: false,
        },
        log: logger,
    }));
    const earlyStager = createEarlyStager({
        engine: writes.engine,
        readSet: () => engineController.isLoading() || !engineController.mayStage() ? undefined : plan.readSetToStage(),
        logger,
    });
    const rpcServer = await startRpcServer(instance.grpcAddress, [{
        definition: agentServiceDefinition,
        implementation: {
            watchLoad: feed.watchLoad,
            exchangeAvailability: service.exchangeAvailability,
            streamAvailability: service.streamAvailability,
            fetchChunk: service.fetchChunk,
            execute: (call: { emit(event: "error", error: Error): void; }) =>
                call.emit("error", new Error("gateways send requests directly to backend servers")),
        },
    }]);
    if (rpcServer.isErr) {
        return err(rpcServer.error);
    }
    stack.use(rpcServer.value);

    stack.use(createRelayFollowers({
        self: instance.id,
        store,
        clock,
        stalls,
        random,
        logger,
        options: { ...replica, parents: weightAgent.relays },
        listAddresses: () => listRelays(settings, store, ports.readSeeds?.() ?? gateway.seeds),
        onCheck: createDirectGatewayReader({ ...ports, store, logger }),
    }));

    const disposal = new AbortController();
    stack.defer(() => disposal.abort());
    void controlEngine();
    logger.info({ engine: weightAgent.engineAddress, zone: instance.zone }, "agent started");
    return ok({ drain: () => Promise.resolve() });

    async function controlEngine(): Promise<void> {
        while (!disposal.signal.aborted) {
            const readAt = clock.monotonic();
            const status = await engineController.run();
            feed.publish(status, clock.monotonic() - readAt);
            const source = plan.readSource();
            if (!imported && source !== undefined && status.report !== undefined) {
                await importStaged(ports.engine, memory, source, status.report, logger);
                imported = true;
            }
            applyTarget();
            void earlyStager.run();
            const isChanging = engineController.isLoading() || engineController.isDraining() ||
                !engineController.mayStage();
            await sleep(isChanging ? loadingReportIntervalMilliseconds : weightAgent.reportInterval, disposal.signal);
        }
    }
}
