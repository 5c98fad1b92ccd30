import { once } from "node:events";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { monitorEventLoopDelay } from "node:perf_hooks";
import { setTimeout as delay } from "node:timers/promises";
import {
    createLinkBudget,
    createTransferService,
    type TransferMember,
    type TransferService,
    type TransferServiceOptions,
} from "../../src/node/agent/transfer/index.js";
import { agentServiceDefinition, startRpcServer } from "../../src/node/grpc/index.js";
import { createSeededRandom, createSystemClock } from "../../src/utils/index.js";
import { chainBudgets, createCorruptingEngine, createHttpOrigin } from "./benchPorts.js";
import type { BenchAgent, FromChild, LiveWaits, Method, ToChild } from "./messages.js";

type StartMessage = Extract<ToChild, { kind: "start-agents"; }>;
type BeginMessage = Extract<ToChild, { kind: "begin"; }>;

/** Time that a live request takes on an idle instance, without the transfer of its bytes. */
const liveServiceMilliseconds = 20;
const liveRequestBytes = 2_048;
const liveResponse = Buffer.alloc(8_192, "response");
/** Interval at which the progress is checked; the measured times are at most this much too long. */
const progressIntervalMilliseconds = 5;

const clock = createSystemClock();
const eventCounts: Record<string, number> = {};

/** Times of the live requests since the transfer began. */
const liveWaits: LiveWaits = { incoming: [], outgoing: [], serverTime: [] };
const eventLoop = monitorEventLoopDelay({ resolution: 1 });

async function measureWait(part: keyof LiveWaits, wait: Promise<unknown>): Promise<void> {
    const startedAt = clock.monotonic();
    await wait;
    liveWaits[part].push(clock.monotonic() - startedAt);
}

/** Agent that runs in this process. */
interface LocalAgent {
    readonly agent: BenchAgent;
    readonly service: TransferService;
    /** Stops all data that leaves the agent. */
    readonly stall: () => void;
}

function send(message: FromChild): void {
    process.send?.(message);
}

/** The baselines run the same service, either without peers or with the agent's parent in the tree as the only peer. */
function resolveMethodOptions(method: Method, isRoot: boolean): TransferServiceOptions {
    if (method !== "binary-tree") {
        return method === "origin-only" ? { maximumOriginTransfers: 8 } : {};
    }
    return {
        uploadAllowanceCopies: 100,
        maximumUploads: 16,
        maximumTransfersFromPeer: 8,
        maximumOriginTransfers: isRoot ? 8 : 0,
    };
}

function selectMembers(method: Method, agents: readonly BenchAgent[], self: string): TransferMember[] {
    const position = agents.findIndex(({ instance }) => instance === self);
    const own = agents[position]!;
    if (method === "swarm") {
        return [...agents];
    }
    return method === "origin-only" || position === 0 ? [own] : [own, agents[(position - 1) >> 1]!];
}

async function startAgent(message: StartMessage, planned: BenchAgent, isRoot: boolean): Promise<LocalAgent> {
    const { faults, scale } = message;
    const random = createSeededRandom(message.seed + Number(planned.instance.replace(/\D/g, "")) * 7_919);
    const engine = createCorruptingEngine(faults.corruptShare, random);
    let requestsInProgress = 0;
    let stalled = false;
    const link = createLinkBudget({
        bytesPerSecond: scale.linkBytesPerSecond,
        idleShare: 1,
        busyShare: 1,
        clock,
    });
    const budget = createLinkBudget({
        bytesPerSecond: scale.linkBytesPerSecond,
        clock,
        requestsInProgress: () => requestsInProgress,
    });
    const service = createTransferService({
        self: planned.instance,
        zone: planned.zone,
        backend: engine,
        origin: createHttpOrigin(message.originPort),
        linkBudget: chainBudgets(budget, link, () => stalled),
        clock,
        random,
        options: { ...message.options, ...resolveMethodOptions(message.method, isRoot) },
        log: {
            info: (...[, text]) => {
                eventCounts[text] = (eventCounts[text] ?? 0) + 1;
            },
        },
    });
    await engine.order({
        kind: "prepare",
        token: { epoch: 1, agentStart: 1, sequence: 1 },
        manifestDigest: message.weights.manifestDigest,
        chunksTotal: Math.ceil(scale.totalBytes / scale.chunkBytes),
    });
    const live = createServer((request, response) => {
        requestsInProgress++;
        void measureWait("serverTime", once(response, "finish"));
        request.resume();
        request.once("end", () => {
            void measureWait("incoming", link.take("incoming", liveRequestBytes))
                .then(() => delay(liveServiceMilliseconds))
                .then(() => measureWait("outgoing", link.take("outgoing", liveResponse.length)))
                .then(() => response.end(liveResponse))
                .finally(() => requestsInProgress--);
        });
    });
    await new Promise<void>(resolve => live.listen(0, "127.0.0.1", resolve));
    const server = await startRpcServer("127.0.0.1:0", [{
        definition: agentServiceDefinition,
        implementation: { exchangeAvailability: service.exchangeAvailability, fetchChunk: service.fetchChunk },
    }]);
    if (server.isErr) {
        throw new Error(server.error.message);
    }
    const address = `127.0.0.1:${server.value.port}`;
    const { port } = live.address() as AddressInfo;
    return {
        agent: { ...planned, address, livePort: port },
        service,
        stall: () => {
            stalled = true;
        },
    };
}

async function watchProgress({ agent, service }: LocalAgent): Promise<void> {
    while (service.progress()?.complete !== true) {
        await delay(progressIntervalMilliseconds);
    }
    send({ kind: "complete", instance: agent.instance, at: clock.monotonic() });
}

function beginTransfers(start: StartMessage, message: BeginMessage, localAgents: readonly LocalAgent[]): void {
    liveWaits.incoming.length = 0;
    liveWaits.outgoing.length = 0;
    liveWaits.serverTime.length = 0;
    eventLoop.enable();
    for (const running of localAgents) {
        const { agent, service, stall } = running;
        const members = selectMembers(start.method, message.agents, agent.instance);
        service.setTarget({ weights: start.weights, members, objective: message.objective });
        void watchProgress(running);
        if (agent.instance === start.faults.stalled) {
            setTimeout(stall, start.faults.after);
        }
    }
}

function reportTotals(localAgents: readonly LocalAgent[]): void {
    const totals = localAgents.map(({ agent: { instance }, service }) => {
        const { originBytes, peerReceivedBytes, peerSentBytes } = service.totals();
        return { instance, receivedBytes: originBytes + peerReceivedBytes, sentBytes: peerSentBytes };
    });
    const eventLoopDelay = eventLoop.percentile(95) / 1e6;
    const { system, user } = process.cpuUsage();
    const processorSeconds = (system + user) / 1e6;
    send({ kind: "agent-totals", totals, eventCounts, liveWaits, eventLoopDelay, processorSeconds });
}

async function startAgents(message: StartMessage): Promise<void> {
    const localAgents: LocalAgent[] = [];
    for (const planned of message.agents) {
        localAgents.push(await startAgent(message, planned, planned.instance === "agent-0"));
    }
    send({ kind: "agents-listening", agents: localAgents.map(({ agent }) => agent) });
    process.on("message", (nextMessage: ToChild) => {
        if (nextMessage.kind === "begin") {
            beginTransfers(message, nextMessage, localAgents);
        }
        if (nextMessage.kind === "finish") {
            reportTotals(localAgents);
        }
    });
}

process.once("message", (message: ToChild) => {
    if (message.kind === "start-agents") {
        void startAgents(message);
    }
});

// The parent process can exit without terminating its children, for example on a signal.
process.once("disconnect", () => process.exit());
