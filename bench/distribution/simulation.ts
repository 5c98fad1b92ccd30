import {
    addChunk,
    createBitfield,
    createOriginReaders,
    decideUpload,
    type DistributionOptions,
    hasChunk,
    isComplete,
    originSource,
    type PeerRow,
    recordAvailability,
    recordCorruptChunk,
    recordStall,
    resolveBudgetOptions,
    selectNeighbours,
    selectTransfers,
    selectWatchedReaders,
    type TransferCommand,
    type TransferRow,
} from "../../src/runtime/distribution/index.js";
import type { Manifest, Objective } from "../../src/types/index.js";
import { createSeededRandom, createTable, type Table } from "../../src/utils/index.js";
import type { RunFaults, RunScale } from "./messages.js";
import { listMoving } from "./turns.js";

/** Simulated time between two steps, in milliseconds. */
const step = 10;
/** Share of a link that transfers use; the rest is left to live requests, which are not simulated. */
const transferShare = resolveBudgetOptions({ bytesPerSecond: 1 }).idleShare;
/** Simulated times, in steps, between two decisions without an event. */
const decisionSteps = 5;

/** Swarm to simulate. */
export interface SimulationPlan {
    readonly agents: number;
    readonly objective: Objective;
    readonly scale: RunScale;
    readonly faults: RunFaults;
    readonly options: DistributionOptions;
    readonly exchangeInterval: number;
    readonly retryChokedAfter: number;
    readonly seed: number;
}

/** Figures of a simulated swarm. */
export interface SimulationResult {
    /** Undefined if some agent had not completed the set within ten times the time for one copy. */
    readonly seconds: number | undefined;
    readonly completed: number;
    readonly originCopies: number;
    readonly linkCopiesMean: number;
    readonly linkCopiesMaximum: number;
}

interface Transfer extends TransferRow {
    readonly receiver: Agent;
    readonly sender: Agent | undefined;
    remaining: number;
}

interface Agent {
    readonly instance: string;
    readonly held: Uint8Array;
    readonly peers: Table<string, PeerRow>;
    readonly transfers: Table<number, TransferRow>;
    readonly running: Map<number, Transfer>;
    readonly neighbours: readonly string[];
    readonly ranks: ReturnType<typeof createOriginReaders>;
    readonly exchangeAt: Map<string, number>;
    uploads: number;
    sentBytes: number;
    receivedBytes: number;
    complete: boolean;
    dead: boolean;
    decide: boolean;
}

/**
 * Runs the decisions of all agents against links that share their capacity evenly. It measures the policy alone: no
 * processor time, no message overhead.
 *
 * @param plan - swarm, sizes, faults and options
 * @returns the figures
 */
export function simulateSwarm(plan: SimulationPlan): SimulationResult {
    const { faults, options, scale } = plan;
    const random = createSeededRandom(plan.seed);
    const chunks = Math.ceil(scale.totalBytes / scale.chunkBytes);
    const manifest: Manifest = {
        model: "scribe",
        adapter: "",
        version: "v1",
        totalBytes: scale.totalBytes,
        chunks: new Array<Manifest["chunks"][number]>(chunks).fill({ bytes: scale.chunkBytes, digest: "" }),
    };
    const instances = Array.from({ length: plan.agents }, (...[, number]) => `agent-${number}`);
    const digest = `${plan.seed}/simulated`;
    const agents = new Map(instances.map(instance => [instance, createAgent(instance)]));
    let originBytes = 0;
    let now = 0;

    function createAgent(instance: string): Agent {
        return {
            instance,
            held: createBitfield(chunks),
            peers: createTable<string, PeerRow>(),
            transfers: createTable<number, TransferRow>(),
            running: new Map(),
            neighbours: selectNeighbours(digest, instance, instances, options.neighbours),
            ranks: createOriginReaders(digest, chunks, instances, instance),
            exchangeAt: new Map(),
            uploads: 0,
            sentBytes: 0,
            receivedBytes: 0,
            complete: false,
            dead: false,
            decide: true,
        };
    }

    function findPeer(agent: Agent, instance: string): PeerRow {
        const peer: PeerRow = agent.peers.get(instance) ?? {
            instance,
            zone: "",
            bitfield: createBitfield(chunks),
            heardAt: now,
            progressedAt: now,
            sentBytes: 0,
            corruptChunks: 0,
            failedTransfers: 0,
            avoidedUntil: 0,
            chokedUntil: 0,
        };
        agent.peers.set(instance, peer);
        return peer;
    }

    function exchange(agent: Agent): void {
        const watched = selectWatchedReaders({
            chunks,
            held: agent.held,
            peers: agent.peers,
            originReaders: agent.ranks,
            startedAt: 0,
            now,
            random,
            options,
        });
        const intervals = new Map([...agent.peers.keys()].map(peer => [peer, plan.exchangeInterval * 4]));
        for (const instance of [...agent.neighbours, ...watched]) {
            intervals.set(instance, plan.exchangeInterval);
        }
        for (const [instance, interval] of intervals) {
            if ((agent.exchangeAt.get(instance) ?? 0) > now) {
                continue;
            }
            agent.exchangeAt.set(instance, now + interval * (0.75 + random.next() / 2));
            const other = agents.get(instance)!;
            const peer = findPeer(agent, instance);
            if (other.dead) {
                peer.avoidedUntil = now + 1_000;
                continue;
            }
            recordAvailability(peer, Uint8Array.from(other.held), other.sentBytes, now);
            const own = findPeer(other, agent.instance);
            recordAvailability(own, Uint8Array.from(agent.held), own.sentBytes, now);
            agent.decide = true;
        }
    }

    function end(transfer: Transfer): void {
        transfer.receiver.running.delete(transfer.index);
        transfer.receiver.transfers.delete(transfer.index);
        transfer.receiver.decide = true;
        if (transfer.sender !== undefined) {
            transfer.sender.uploads--;
            transfer.sender.sentBytes -= Math.max(0, transfer.remaining);
        }
    }

    function start(agent: Agent, command: Exclude<TransferCommand, { kind: "abandon"; }>): void {
        const { index } = command;
        const sender = command.kind === "fetch-from-peer" ? agents.get(command.peer)! : undefined;
        if (sender !== undefined && command.kind === "fetch-from-peer") {
            const { allowed } = decideUpload({
                held: hasChunk(sender.held, index),
                chunkBytes: scale.chunkBytes,
                totalBytes: scale.totalBytes,
                sentBytes: sender.sentBytes,
                uploadsInProgress: sender.uploads,
                lastResort: command.lastResort,
                options,
            });
            if (!allowed) {
                findPeer(agent, sender.instance).chokedUntil = now + plan.retryChokedAfter * (1 + random.next());
                return;
            }
            sender.uploads++;
            sender.sentBytes += scale.chunkBytes;
        }
        const source = sender?.instance ?? originSource;
        const transfer = {
            index,
            source,
            startedAt: now,
            progressedAt: now,
            receiver: agent,
            sender,
            remaining: scale.chunkBytes,
        };
        agent.running.set(index, transfer);
        agent.transfers.set(index, transfer);
    }

    function decide(agent: Agent): void {
        agent.decide = false;
        const commands = selectTransfers({
            manifest,
            held: agent.held,
            transfers: agent.transfers,
            peers: agent.peers,
            originReaders: agent.ranks,
            zone: "",
            zoneReaders: agent.ranks,
            availableSince: new Map(),
            startedAt: 0,
            neighboursAsked: true,
            objective: plan.objective,
            budgetBytes: Infinity,
            originAvoidedUntil: 0,
            now,
            random,
            options,
        });
        for (const command of commands) {
            if (command.kind !== "abandon") {
                start(agent, command);
                continue;
            }
            const peer = agent.peers.get(command.source);
            if (peer !== undefined) {
                recordStall(peer, now, options);
            }
            end(agent.running.get(command.index)!);
        }
    }

    function finish(transfer: Transfer): void {
        end(transfer);
        const { index, receiver, source } = transfer;
        receiver.receivedBytes += scale.chunkBytes;
        originBytes += source === originSource ? scale.chunkBytes : 0;
        if (random.next() < faults.corruptShare) {
            const peer = receiver.peers.get(source);
            if (peer !== undefined) {
                recordCorruptChunk(peer, now, options);
            }
            return;
        }
        addChunk(receiver.held, index);
        receiver.complete = isComplete(receiver.held, chunks);
    }

    function move(): void {
        const waiting = [...agents.values()].flatMap(agent => [...agent.running.values()]);
        const slots = options.maximumBytesInFlight / scale.chunkBytes / 3;
        const running = listMoving(waiting, slots, isStopped);
        const left = new Map<Agent | undefined, { up: number; down: number; }>();
        const rate = scale.linkBytesPerSecond * transferShare * step / 1_000;
        left.set(undefined, { up: scale.originBytesPerSecond * step / 1_000, down: 0 });
        for (const agent of agents.values()) {
            left.set(agent, { up: rate, down: rate });
        }
        // Each round shares out what is left of the links among the transfers that still want more.
        for (let round = 0; round < 4; round++) {
            const open = running.filter(({ receiver, remaining, sender }) =>
                remaining > 0 && left.get(sender)!.up > 1 && left.get(receiver)!.down > 1
            );
            const ups = new Map<Agent | undefined, number>();
            const downs = new Map<Agent, number>();
            for (const { receiver, sender } of open) {
                ups.set(sender, (ups.get(sender) ?? 0) + 1);
                downs.set(receiver, (downs.get(receiver) ?? 0) + 1);
            }
            const shares = open.map(({ receiver, remaining, sender }) =>
                Math.min(
                    remaining,
                    left.get(sender)!.up / ups.get(sender)!,
                    left.get(receiver)!.down / downs.get(receiver)!,
                )
            );
            open.forEach((transfer, position) => {
                const share = shares[position]!;
                transfer.remaining -= share;
                transfer.progressedAt = now;
                left.get(transfer.sender)!.up -= share;
                left.get(transfer.receiver)!.down -= share;
            });
        }
        for (const transfer of running.filter(({ remaining }) => remaining <= 0.5)) {
            finish(transfer);
        }
    }

    function isStopped(agent: Agent): boolean {
        return agent.dead || (agent.instance === faults.stalled && now >= faults.after);
    }

    function kill(): void {
        for (const instance of faults.dying) {
            const agent = agents.get(instance)!;
            agent.dead = true;
            [...agent.running.values()].forEach(end);
        }
    }

    const limit = scale.totalBytes / scale.linkBytesPerSecond * 10_000;
    for (let count = 0; now < limit; count++, now += step) {
        if (count > 0 && now - step < faults.after && now >= faults.after) {
            kill();
        }
        const alive = [...agents.values()].filter(({ dead }) => !dead);
        if (alive.every(({ complete }) => complete)) {
            break;
        }
        for (const agent of alive.filter(({ complete }) => !complete)) {
            exchange(agent);
            if (agent.decide || count % decisionSteps === 0) {
                decide(agent);
            }
        }
        move();
    }
    const alive = [...agents.values()].filter(({ dead }) => !dead);
    const copies = alive.map(({ receivedBytes, sentBytes }) => (receivedBytes + sentBytes) / scale.totalBytes);
    return {
        seconds: alive.every(({ complete }) => complete) ? now / 1_000 : undefined,
        completed: alive.filter(({ complete }) => complete).length,
        originCopies: originBytes / scale.totalBytes,
        linkCopiesMean: copies.reduce((sum, value) => sum + value, 0) / copies.length,
        linkCopiesMaximum: Math.max(...copies),
    };
}
