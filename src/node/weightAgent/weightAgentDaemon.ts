import type { Logger } from "pino";
import { err, ok, type Result } from "true-myth/result";
import { initialVersion, nameWeights } from "../../runtime/gateway/index.js";
import { chooseTarget, type WantedVersion } from "../../runtime/rollout/index.js";
import {
    type BackendServerPort,
    type Clock,
    createError,
    type EngineControlPort,
    type GoldcrestpointError,
    type KeyedLogPort,
    type ListedBackendServer,
    type Manifest,
    type OriginPort,
    type RandomSource,
    type RecordDecoder,
    type VersionOriginPort,
} from "../../types/index.js";
import { createDisposalStack, type DisposalStack, sleep } from "../../utils/index.js";
import { createLinkBudget, createTransferService } from "../agent/transfer/index.js";
import type { DrainableDaemon } from "../daemon/index.js";
import { readWeightSource, type WeightSource } from "../gateway/weightSources.js";
import { agentServiceDefinition, startRpcServer } from "../grpc/index.js";
import { splitAddress } from "../httpServer/index.js";
import { createRecordStore, createRelayFollowers, listInstances, type RecordStore } from "../replica/index.js";
import type { WeightAgentSettings } from "../settings/index.js";
import { createEngineLoop, type EngineTarget } from "./engineLoop.js";
import { importStaged } from "./importStaged.js";
import { createLoadFeed } from "./loadFeed.js";
import { createWeightMemory } from "./weightMemory.js";

/** Origin whose address the configuration names. */
export interface AddressedOrigin extends VersionOriginPort {
    useAddress(address: string): void;
}

/** Outside systems of an agent. */
export interface WeightAgentPorts {
    readonly log: KeyedLogPort;
    readonly decoder: RecordDecoder;
    readonly engine: EngineControlPort;
    readonly origin: AddressedOrigin;
    readonly clock: Clock;
    readonly random: RandomSource;
}

/** Time without any relay after which the agent reads the list of gateways from the log. */
const withoutRelaysUntilRead = 2_000;

/** Interval of the transfer system; a chunk takes about as long on the links that agents have. */
const transferTickInterval = 50;

const bytesPerMegabit = 125_000;

/** Larger parts would hold up live requests on a thin link: this one takes about ten milliseconds. */
const transferPartBytes = 8_192;

/** Splits the name of a set into model and version. */
function splitWeights(set: string): { readonly model: string; readonly version: number; } {
    const separator = set.lastIndexOf("@");
    return { model: set.slice(0, separator), version: Number(set.slice(separator + 1)) };
}

/** Lets the transfer service, which names sets by digest, read from an origin that names them by version. */
function createSetOrigin(
    origin: VersionOriginPort,
    keepManifest: (set: string, manifest: Manifest) => void,
): OriginPort {
    const step = "resolve manifest";
    return {
        resolveManifest: () =>
            Promise.resolve(err(createError("MANIFEST_INVALID", step, "origin", "sets are named by version here"))),
        readManifest: async set => {
            const { model, version } = splitWeights(set);
            const manifest = await origin.readManifest(model, version);
            if (manifest.isOk) {
                keepManifest(set, manifest.value);
            }
            return manifest;
        },
        readChunk: (set, index, signal) => {
            const { model, version } = splitWeights(set);
            return origin.readChunk(model, version, index, signal);
        },
    };
}

/**
 * Starts an agent that keeps the weights of the engine beside it at the declared version.
 *
 * @param settings - resolved settings
 * @param ports - outside systems
 * @param logger - log of the process
 * @returns the agent, or the error that kept it from starting
 */
export async function startWeightAgent(
    settings: WeightAgentSettings,
    ports: WeightAgentPorts,
    logger: Logger,
): Promise<Result<DrainableDaemon, GoldcrestpointError>> {
    await using stack = createDisposalStack();
    const started = await assemble(settings, ports, logger, stack);
    if (started.isErr) {
        return err(started.error);
    }
    const owned = stack.move();
    return ok({ drain: () => Promise.resolve(), [Symbol.asyncDispose]: () => owned[Symbol.asyncDispose]() });
}

async function assemble(
    settings: WeightAgentSettings,
    ports: WeightAgentPorts,
    logger: Logger,
    stack: DisposalStack,
): Promise<Result<void, GoldcrestpointError>> {
    const { clock, decoder, random } = ports;
    const { gateway, instance, replica, weightAgent } = settings;
    const store = createRecordStore(["backend-servers", "instances", "weight-sources"], clock, logger);
    const manifests = new Map<string, Manifest>();
    const servers = new Map<string, ListedBackendServer>();
    const wanted: WantedVersion[] = [];
    let source: WeightSource | undefined;
    let imported = false;

    const memory = createWeightMemory(() => source?.chunks ?? 0);
    const feed = createLoadFeed(instance.id, clock, weightAgent);
    const engineHost = splitAddress(weightAgent.engineAddress).host;

    function listMembers(): readonly ListedBackendServer[] {
        return [...servers.values()].filter(({ service, state }) =>
            service === weightAgent.service && state === "ready"
        );
    }

    function chooseVersion(): WantedVersion | undefined {
        if (wanted.length === 0) {
            return undefined;
        }
        const weights = loop.readReport()?.weights;
        return chooseTarget({
            wanted,
            loaded: weights?.complete === true ? weights.version : 0,
            now: clock.monotonic(),
            options: { copyTime: weightAgent.copyTime, cutoverAfter: gateway.cutoverAfter },
        });
    }

    function readTarget(): EngineTarget | undefined {
        const target = chooseVersion();
        if (source === undefined || target === undefined) {
            return undefined;
        }
        const set = nameWeights(source.model, target.version);
        const progress = service.progress();
        return {
            model: source.model,
            wanted,
            version: target.version,
            manifest: manifests.get(set),
            isComplete: progress?.manifestDigest === set && progress.complete,
            members: listMembers()
                .filter(({ weights }) => weights !== undefined)
                .map(({ address }) => splitAddress(address).host),
            slots: source.slots,
        };
    }

    const loop = createEngineLoop({
        engine: ports.engine,
        memory,
        self: engineHost,
        clock,
        logger,
        options: weightAgent,
        publish: status => feed.publish(status, 0),
        readTarget,
    });

    function applyTarget(): void {
        const target = chooseVersion();
        if (source === undefined || target === undefined || !imported) {
            return;
        }
        const set = nameWeights(source.model, target.version);
        const { model, originZone } = source;
        service.setTarget({
            weights: { model, adapter: "", version: String(target.version), manifestDigest: set },
            objective: weightAgent.objective,
            originZone,
            members: listMembers().map(({ address, zone }) => {
                const { host } = splitAddress(address);
                return { instance: host, zone, address: `${host}:${gateway.agentPort}` };
            }),
        });
        const loaded = loop.readReport()?.weights;
        memory.keepOnly(new Set([set, ...(loaded === undefined ? [] : [nameWeights(loaded.model, loaded.version)])]));
    }

    function learnSource(value: Uint8Array, isFirst: boolean): void {
        const read = readWeightSource(value);
        if (read === undefined) {
            return;
        }
        source = read;
        ports.origin.useAddress(read.originAddress);
        const version = read.version ?? initialVersion;
        if ((wanted[0]?.version ?? 0) < version) {
            const declaredAt = clock.monotonic() - (isFirst ? gateway.assumedAge : 0);
            wanted.unshift({ version, declaredAt });
            logger.info({ model: read.model, version, isFirst }, "version wanted");
        }
    }

    store.onChange((topic, records) => {
        for (const { key, value } of records) {
            if (topic === "weight-sources" && key === weightAgent.service && value !== undefined) {
                learnSource(value, source === undefined);
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
        // Only the calls that stage and read chunks are used by the transfer service.
        backend: memory.port as BackendServerPort,
        origin: createSetOrigin(ports.origin, (set, manifest) => void manifests.set(set, manifest)),
        verifyManifest: manifest => ok(manifest),
        linkBudget: createLinkBudget({ bytesPerSecond: weightAgent.linkMegabitsPerSecond * bytesPerMegabit, clock }),
        clock,
        random,
        options: {
            ...settings.distribution,
            exchangeInterval: weightAgent.exchangeInterval,
            exchangeTimeLimit: weightAgent.exchangeTimeLimit,
            tickInterval: transferTickInterval,
            partBytes: transferPartBytes,
            retryChokedAfter: transferTickInterval,
            waitForPreparedSet: false,
            exchangeWhenComplete: false,
        },
        log: logger,
    }));
    const rpcServer = await startRpcServer(instance.grpcAddress, [{
        definition: agentServiceDefinition,
        implementation: {
            watchLoad: feed.watchLoad,
            exchangeAvailability: service.exchangeAvailability,
            fetchChunk: service.fetchChunk,
            execute: (call: { emit(event: "error", error: Error): void; }) =>
                call.emit("error", new Error("gateways send requests straight to backend servers")),
        },
    }]);
    if (rpcServer.isErr) {
        return err(rpcServer.error);
    }
    stack.use(rpcServer.value);

    const followers = stack.use(createRelayFollowers({
        self: instance.id,
        store,
        clock,
        random,
        logger,
        options: { ...replica, parents: weightAgent.relays },
        listAddresses: () => listRelays(settings, store),
    }));

    const ended = new AbortController();
    stack.defer(() => ended.abort());
    void readGatewaysWithoutRelays(ports, store, followers.countConnected, logger, ended.signal);
    void runLoop();
    logger.info({ engine: weightAgent.engineAddress, zone: instance.zone }, "agent started");
    return ok(undefined);

    async function runLoop(): Promise<void> {
        while (!ended.signal.aborted) {
            const readAt = clock.monotonic();
            const status = await loop.run();
            feed.publish(status, clock.monotonic() - readAt);
            if (!imported && source !== undefined && status.report !== undefined) {
                await importStaged(ports.engine, memory, source, status.report, logger);
                imported = true;
            }
            applyTarget();
            await sleep(weightAgent.reportInterval, ended.signal);
        }
    }
}

/** Orders the gateways: those of the own zone first, then those of the region. */
function listRelays({ gateway, instance }: WeightAgentSettings, store: RecordStore): readonly string[] {
    const rank = ({ region, zone }: { readonly region: string; readonly zone: string; }): number =>
        zone === instance.zone ? 0 : region === instance.region ? 1 : 2;
    const registered = [...listInstances(store)]
        .sort((left, right) => rank(left) - rank(right))
        .map(({ address }) => address);
    const seeds = gateway.seeds.map(address => `${splitAddress(address).host}:${gateway.relayPort}`);
    return [...new Set([...registered, ...seeds])];
}

/** Reads the gateways from the log while no relay answers, since seeds may be gone. */
async function readGatewaysWithoutRelays(
    { clock, log, random }: WeightAgentPorts,
    store: RecordStore,
    countConnected: () => number,
    logger: Logger,
    signal: AbortSignal,
): Promise<void> {
    let aloneSince = clock.monotonic();
    while (!signal.aborted) {
        await sleep(withoutRelaysUntilRead * (0.5 + random.next()) / 4, signal);
        if (countConnected() > 0) {
            aloneSince = clock.monotonic();
            continue;
        }
        if (clock.monotonic() - aloneSince < withoutRelaysUntilRead) {
            continue;
        }
        aloneSince = clock.monotonic();
        const page = await log.readNewest("instances");
        if (page.isOk) {
            store.receive({ topic: "instances", page: page.value, complete: true, age: 0, source: "log", peer: "log" });
        }
        else {
            const { code, message, peer, step } = page.error;
            logger.warn({ code, step, peer, detail: message }, "gateways not read");
        }
    }
}
