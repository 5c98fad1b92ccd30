import {
    addChunk,
    createBitfield,
    createOriginReaders,
    decideUpload,
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
import type { Manifest } from "../../src/types/index.js";
import { createSeededRandom, createTable } from "../../src/utils/index.js";
import { selectActiveTransfers } from "./activeTransfers.js";
import type { Agent, SimulationPlan, SimulationResult, Transfer } from "./simulationTypes.js";

/** Simulated time between two steps, in milliseconds. */
const stepMilliseconds = 10;
/** Share of a link that transfers use; the rest is reserved for live requests, which are not simulated. */
const transferShare = resolveBudgetOptions({ bytesPerSecond: 1 }).idleShare;
/** Steps after which an agent decides even without an event. */
const stepsPerDecision = 5;

/**
 * Runs the decisions of all agents with simulated links that share their capacity evenly among transfers. It measures
 * only the policy, without processor time and message overhead.
 *
 * @param plan - size of the swarm, speeds, faults and options
 * @returns the results
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
            readerRanks: createOriginReaders(digest, chunks, instances, instance),
            nextExchangeAt: new Map(),
            availableSince: new Map(),
            uploads: 0,
            sentBytes: 0,
            receivedBytes: 0,
            complete: false,
            dead: false,
            needsDecision: true,
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
            originReaders: agent.readerRanks,
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
            if ((agent.nextExchangeAt.get(instance) ?? 0) > now) {
                continue;
            }
            agent.nextExchangeAt.set(instance, now + interval * (0.75 + random.next() / 2));
            const other = agents.get(instance)!;
            const peer = findPeer(agent, instance);
            if (other.dead) {
                peer.avoidedUntil = now + 1_000;
                continue;
            }
            recordAvailability(peer, Uint8Array.from(other.held), other.sentBytes, now);
            const peerOfOther = findPeer(other, agent.instance);
            recordAvailability(peerOfOther, Uint8Array.from(agent.held), peerOfOther.sentBytes, now);
            agent.needsDecision = true;
        }
    }

    function removeTransfer(transfer: Transfer): void {
        transfer.receiver.running.delete(transfer.index);
        transfer.receiver.transfers.delete(transfer.index);
        transfer.receiver.needsDecision = true;
        if (transfer.sender !== undefined) {
            transfer.sender.uploads--;
            transfer.sender.sentBytes -= Math.max(0, transfer.remaining);
        }
    }

    function startTransfer(agent: Agent, command: Exclude<TransferCommand, { kind: "abandon"; }>): void {
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
        agent.needsDecision = false;
        const peers = [...agent.peers.rows()];
        for (let index = 0; index < chunks; index++) {
            if (!agent.availableSince.has(index) && peers.some(({ bitfield }) => hasChunk(bitfield, index))) {
                agent.availableSince.set(index, now);
            }
        }
        const commands = selectTransfers({
            manifest,
            held: agent.held,
            transfers: agent.transfers,
            peers: agent.peers,
            originReaders: agent.readerRanks,
            zone: "",
            zoneReaders: agent.readerRanks,
            availableSince: agent.availableSince,
            startedAt: 0,
            neighboursAnswered: true,
            objective: plan.objective,
            budgetBytes: Infinity,
            arrivedBytes: 0,
            arrivedAt: -Infinity,
            originAvoidedUntil: 0,
            now,
            random,
            options,
        });
        for (const command of commands) {
            if (command.kind !== "abandon") {
                startTransfer(agent, command);
                continue;
            }
            const peer = agent.peers.get(command.source);
            if (peer !== undefined) {
                recordStall(peer, now, options);
            }
            removeTransfer(agent.running.get(command.index)!);
        }
    }

    function finishTransfer(transfer: Transfer): void {
        removeTransfer(transfer);
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
        const peer = receiver.peers.get(source);
        if (peer !== undefined) {
            peer.stalledTransfers = 0;
        }
        addChunk(receiver.held, index);
        receiver.complete = isComplete(receiver.held, chunks);
    }

    function advanceTransfers(): void {
        const allTransfers = [...agents.values()].flatMap(agent => [...agent.running.values()]);
        const slots = options.maximumBytesInFlight / scale.chunkBytes / 3;
        const running = selectActiveTransfers(allTransfers, slots, isStopped);
        const availableBytes = new Map<Agent | undefined, { up: number; down: number; }>();
        const rate = scale.linkBytesPerSecond * transferShare * stepMilliseconds / 1_000;
        availableBytes.set(undefined, { up: scale.originBytesPerSecond * stepMilliseconds / 1_000, down: 0 });
        for (const agent of agents.values()) {
            availableBytes.set(agent, { up: rate, down: rate });
        }
        // Each round divides the remaining capacity of the links among the transfers that have bytes left.
        for (let round = 0; round < 4; round++) {
            const active = running.filter(({ receiver, remaining, sender }) =>
                remaining > 0 && availableBytes.get(sender)!.up > 1 && availableBytes.get(receiver)!.down > 1
            );
            const uploadCounts = new Map<Agent | undefined, number>();
            const downloadCounts = new Map<Agent, number>();
            for (const { receiver, sender } of active) {
                uploadCounts.set(sender, (uploadCounts.get(sender) ?? 0) + 1);
                downloadCounts.set(receiver, (downloadCounts.get(receiver) ?? 0) + 1);
            }
            const shares = active.map(({ receiver, remaining, sender }) =>
                Math.min(
                    remaining,
                    availableBytes.get(sender)!.up / uploadCounts.get(sender)!,
                    availableBytes.get(receiver)!.down / downloadCounts.get(receiver)!,
                )
            );
            active.forEach((transfer, position) => {
                const share = shares[position]!;
                transfer.remaining -= share;
                transfer.progressedAt = now;
                availableBytes.get(transfer.sender)!.up -= share;
                availableBytes.get(transfer.receiver)!.down -= share;
            });
        }
        for (const transfer of running.filter(({ remaining }) => remaining <= 0.5)) {
            finishTransfer(transfer);
        }
    }

    function isStopped(agent: Agent): boolean {
        return agent.dead || (agent.instance === faults.stalled && now >= faults.after);
    }

    function killAgents(): void {
        for (const instance of faults.killed) {
            const agent = agents.get(instance)!;
            agent.dead = true;
            [...agent.running.values()].forEach(removeTransfer);
        }
    }

    /** Empties agents as if their machines were replaced under the same name; they learn of their peers again. */
    function replaceAgents(): void {
        const step = Math.max(1, Math.round(1 / plan.replacedShare));
        for (const agent of [...agents.values()].filter((...[, position]) => position % step === 0)) {
            const sent = [...agents.values()].flatMap(other =>
                [...other.running.values()].filter(({ sender }) => sender === agent)
            );
            [...agent.running.values(), ...sent].forEach(removeTransfer);
            agent.held.fill(0);
            for (const peer of [...agent.peers.keys()]) {
                agent.peers.delete(peer);
            }
            for (const other of agents.values()) {
                other.peers.get(agent.instance)?.bitfield.fill(0);
            }
            agent.nextExchangeAt.clear();
            agent.availableSince.clear();
            agent.sentBytes = 0;
            agent.complete = false;
            agent.needsDecision = true;
        }
    }

    const limit = scale.totalBytes / scale.linkBytesPerSecond * 10_000;
    for (let stepCount = 0; now < limit; stepCount++, now += stepMilliseconds) {
        if (stepCount > 0 && now - stepMilliseconds < faults.after && now >= faults.after) {
            killAgents();
        }
        if (plan.replacedShare > 0 && now - stepMilliseconds < plan.replacedAfter && now >= plan.replacedAfter) {
            replaceAgents();
        }
        const alive = [...agents.values()].filter(({ dead }) => !dead);
        if (alive.every(({ complete }) => complete)) {
            break;
        }
        for (const agent of alive.filter(({ complete }) => !complete)) {
            exchange(agent);
            if (agent.needsDecision || stepCount % stepsPerDecision === 0) {
                decide(agent);
            }
        }
        advanceTransfers();
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
