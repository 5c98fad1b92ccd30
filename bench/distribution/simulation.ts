import {
    addChunk,
    computeOriginBackoff,
    decideUpload,
    hasChunk,
    isComplete,
    type OriginFailureKind,
    originSource,
    recordCorruptChunk,
    recordStall,
    resolveBudgetOptions,
    selectTransfers,
    type TransferCommand,
} from "../../src/runtime/distribution/index.js";
import { selectTarget } from "../../src/runtime/rollout/index.js";
import type { Manifest } from "../../src/types/index.js";
import { advanceTransfers, stepMilliseconds } from "./links.js";
import type { Agent, AgentSet, SimulationPlan, SimulationResult, Transfer } from "./simulationTypes.js";
import { createSwarmState, originZone } from "./swarmState.js";

/** Share of a link that transfers use; the rest is reserved for live requests, which are not simulated. */
const transferShare = resolveBudgetOptions({ bytesPerSecond: 1 }).idleShare;
/** First version that is named; the engines have loaded the one before. */
const firstVersion = 2;

/**
 * Runs the decisions of all agents with simulated links that share their capacity evenly among transfers. It measures
 * only the policy, without processor time and message overhead.
 *
 * @param plan - size of the swarm, speeds, faults and options
 * @returns the results
 */
export function simulateSwarm(plan: SimulationPlan): SimulationResult {
    const { faults, options, outage, scale } = plan;
    const { agents, chunks, createSet, exchange, exchangeBitfields, findPeer, random, time } = createSwarmState(plan);
    const manifest: Manifest = {
        model: "scribe",
        adapter: "",
        version: "v1",
        totalBytes: scale.totalBytes,
        chunks: new Array<Manifest["chunks"][number]>(chunks).fill({ bytes: scale.chunkBytes, digest: "" }),
    };
    const wanted = plan.namedAt.map((declaredAt, index) => ({ version: firstVersion + index, declaredAt })).reverse();
    let originBytes = 0;

    /** Chooses the version to transfer; an incomplete set that is no longer the target is dropped. */
    function updateTarget(agent: Agent): void {
        const known = wanted.filter(({ declaredAt }) => declaredAt + plan.manifestAfter <= time.now);
        const chosen = known.length === 0 ? undefined : selectTarget({
            wanted: known,
            held: agent.newestComplete,
            now: time.now,
            options: plan.target,
        });
        if (chosen === undefined || chosen.version === agent.target?.version) {
            return;
        }
        if (agent.target !== undefined && !agent.target.complete) {
            stopTransfers(agent, agent.target);
            agent.sets.delete(agent.target.version);
        }
        agent.target = agent.sets.get(chosen.version) ?? createSet(agent, chosen.version);
        agent.sets.set(chosen.version, agent.target);
        agent.needsDecision = true;
    }

    function stopTransfers(agent: Agent, set: AgentSet): void {
        const sent = [...agents.values()].flatMap(other =>
            [...other.sets.get(set.version)?.running.values() ?? []].filter(({ sender }) => sender === agent)
        );
        [...set.running.values(), ...sent].forEach(removeTransfer);
    }

    function removeTransfer(transfer: Transfer): void {
        const { index, receiver, sender, version } = transfer;
        const set = receiver.sets.get(version);
        set?.running.delete(index);
        set?.transfers.delete(index);
        receiver.needsDecision = true;
        if (sender !== undefined) {
            const unsent = Math.max(0, transfer.remaining);
            sender.sentBytes -= unsent;
            const senderSet = sender.sets.get(version);
            if (senderSet !== undefined) {
                senderSet.uploads--;
                senderSet.sentBytes -= unsent;
            }
        }
    }

    function avoidOrigin(set: AgentSet, kind: OriginFailureKind): void {
        set.originFailures++;
        set.originAvoidedUntil = time.now + computeOriginBackoff({
            kind,
            failures: set.originFailures,
            firstDelay: plan.retryFailedAfter,
            members: plan.agents,
            random,
        });
        set.originRefusedAt = kind === "refused" ? time.now : undefined;
    }

    function isOriginAway(): boolean {
        return outage !== undefined && time.now >= outage.from && time.now < outage.until;
    }

    /** Requests a chunk from a peer; returns false if the peer refuses it. */
    function requestUpload(
        agent: Agent,
        set: AgentSet,
        { index, lastResort, peer: instance }: Extract<TransferCommand, { kind: "fetch-from-peer"; }>,
    ): boolean {
        const sender = agents.get(instance)!;
        const senderSet = sender.sets.get(set.version);
        const decision = decideUpload({
            held: senderSet !== undefined && hasChunk(senderSet.held, index),
            chunkBytes: scale.chunkBytes,
            totalBytes: scale.totalBytes,
            sentBytes: senderSet?.sentBytes ?? 0,
            uploadsInProgress: senderSet?.uploads ?? 0,
            lastResort,
            options,
        });
        if (senderSet === undefined || !decision.allowed) {
            findPeer(set, instance).chokedUntil = time.now + plan.retryChokedAfter * (1 + random.next());
            return false;
        }
        senderSet.uploads++;
        senderSet.sentBytes += scale.chunkBytes;
        sender.sentBytes += scale.chunkBytes;
        exchangeBitfields(agent, set, sender);
        return true;
    }

    function startTransfer(
        agent: Agent,
        set: AgentSet,
        command: Exclude<TransferCommand, { kind: "abandon"; }>,
    ): void {
        const { index } = command;
        const isFromPeer = command.kind === "fetch-from-peer";
        if (!isFromPeer && isOriginAway()) {
            avoidOrigin(set, "refused");
            return;
        }
        if (isFromPeer && !requestUpload(agent, set, command)) {
            return;
        }
        const transfer = {
            version: set.version,
            index,
            source: isFromPeer ? command.peer : originSource,
            startedAt: time.now,
            progressedAt: time.now,
            receiver: agent,
            sender: isFromPeer ? agents.get(command.peer) : undefined,
            remaining: scale.chunkBytes,
        };
        set.running.set(index, transfer);
        set.transfers.set(index, transfer);
    }

    function decide(agent: Agent, set: AgentSet): void {
        agent.needsDecision = false;
        const commands = selectTransfers({
            ...set,
            manifest,
            zone: agent.zone,
            neighboursAnswered: true,
            objective: plan.objective,
            budgetBytes: agent.window.read({
                chunkBytes: scale.chunkBytes,
                requestedBytes: set.transfers.size * scale.chunkBytes,
                maximumBytes: options.maximumBytesInFlight * 2 / 3,
                now: time.now,
            }).availableBytes,
            arrivedBytes: agent.window.arrivedBytes,
            arrivedAt: agent.window.arrivedAt,
            now: time.now,
            random,
            options,
        });
        for (const command of commands) {
            if (command.kind !== "abandon") {
                startTransfer(agent, set, command);
                continue;
            }
            const peer = set.peers.get(command.source);
            if (peer !== undefined) {
                recordStall(peer, time.now, options);
            }
            else if (command.source === originSource) {
                avoidOrigin(set, "other");
            }
            removeTransfer(set.running.get(command.index)!);
        }
    }

    function finishTransfer(transfer: Transfer): void {
        removeTransfer(transfer);
        const { index, receiver, source, version } = transfer;
        const set = receiver.sets.get(version)!;
        receiver.receivedBytes += scale.chunkBytes;
        receiver.window.recordArrival(scale.chunkBytes, time.now);
        originBytes += source === originSource ? scale.chunkBytes : 0;
        const peer = set.peers.get(source);
        if (random.next() < faults.corruptShare) {
            if (peer !== undefined) {
                recordCorruptChunk(peer, time.now, options);
            }
            else {
                avoidOrigin(set, "other");
            }
            return;
        }
        if (peer !== undefined) {
            peer.stalledTransfers = 0;
        }
        else {
            set.originFailures = 0;
        }
        addChunk(set.held, index);
        if (isComplete(set.held, chunks)) {
            set.complete = true;
            receiver.newestComplete = Math.max(receiver.newestComplete, version);
            receiver.completedAt.set(version, time.now);
        }
    }

    function listTransfers(): Transfer[] {
        return [...agents.values()].flatMap(({ sets }) => [...sets.values()].flatMap(set => [...set.running.values()]));
    }

    function isStopped(agent: Agent): boolean {
        return agent.dead || (agent.instance === faults.stalled && time.now >= faults.after);
    }

    function killAgents(): void {
        for (const instance of faults.killed) {
            const agent = agents.get(instance)!;
            agent.dead = true;
            [...agent.sets.values()].flatMap(set => [...set.running.values()]).forEach(removeTransfer);
        }
    }

    /** Ends the reads in progress when the origin stops. */
    function stopOrigin(): void {
        for (const transfer of listTransfers().filter(({ source }) => source === originSource)) {
            removeTransfer(transfer);
            avoidOrigin(transfer.receiver.sets.get(transfer.version)!, "other");
        }
    }

    /** Empties agents as if their machines were replaced under the same name; they learn of their peers again. */
    function replaceAgents(): void {
        const step = Math.max(1, Math.round(1 / plan.replacedShare));
        for (const agent of [...agents.values()].filter((...[, position]) => position % step === 0)) {
            for (const set of [...agent.sets.values()]) {
                stopTransfers(agent, set);
                for (const other of agents.values()) {
                    other.sets.get(set.version)?.peers.get(agent.instance)?.bitfield.fill(0);
                }
            }
            agent.sets.clear();
            agent.target = undefined;
            agent.newestComplete = 0;
            agent.completedAt.clear();
        }
    }

    function hasPassed(at: number): boolean {
        return time.now >= at && time.now - stepMilliseconds < at;
    }

    const perStep = stepMilliseconds / 1_000;
    const speeds = {
        agent: scale.linkBytesPerSecond * transferShare * perStep,
        origin: scale.originBytesPerSecond * perStep,
        zones: plan.zoneBytesPerSecond * perStep,
    };
    const slots = options.maximumBytesInFlight / scale.chunkBytes / 3;
    const newest = wanted[0]!.version;
    const limit = scale.totalBytes / scale.linkBytesPerSecond * 10_000;
    for (; time.now < limit; time.now += stepMilliseconds) {
        if (time.now > 0 && hasPassed(faults.after)) {
            killAgents();
        }
        if (plan.replacedShare > 0 && hasPassed(plan.replacedAfter)) {
            replaceAgents();
        }
        if (outage !== undefined && hasPassed(outage.from)) {
            stopOrigin();
        }
        const alive = [...agents.values()].filter(({ dead }) => !dead);
        if (alive.every(({ newestComplete }) => newestComplete === newest)) {
            break;
        }
        for (const agent of alive) {
            const isTick = time.now >= agent.nextTickAt;
            if (isTick) {
                agent.nextTickAt += plan.tickInterval;
                updateTarget(agent);
            }
            const { target } = agent;
            if (target === undefined || target.complete) {
                continue;
            }
            if (isTick) {
                exchange(agent, target);
            }
            if (isTick || agent.needsDecision) {
                decide(agent, target);
            }
        }
        advanceTransfers({ transfers: listTransfers(), slots, originZone, speeds, now: time.now, isStopped })
            .forEach(finishTransfer);
    }
    const alive = [...agents.values()].filter(({ dead }) => !dead);
    const copies = alive.map(({ receivedBytes, sentBytes }) => (receivedBytes + sentBytes) / scale.totalBytes);
    const completed = alive.filter(({ newestComplete }) => newestComplete === newest).length;
    return {
        seconds: completed === alive.length ? time.now / 1_000 : undefined,
        completed,
        originCopies: originBytes / scale.totalBytes,
        linkCopiesMean: copies.reduce((sum, value) => sum + value, 0) / copies.length,
        linkCopiesMaximum: Math.max(...copies),
        versions: plan.namedAt.map((...[, index]) => {
            const times = alive.map(({ completedAt }) => completedAt.get(firstVersion + index)).filter(time =>
                time !== undefined
            );
            return { completed: times.length, lastAt: Math.max(...times) };
        }),
    };
}
