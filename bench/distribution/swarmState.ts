import {
    createBitfield,
    createOriginReaders,
    createTransferWindow,
    hasChunk,
    type PeerRow,
    recordAvailability,
    selectNeighbours,
    selectWatchedReaders,
    type TransferRow,
} from "../../src/runtime/distribution/index.js";
import { createSeededRandom, createTable } from "../../src/utils/index.js";
import type { Agent, AgentSet, SimulationPlan } from "./simulationTypes.js";

/** Availability zones; the origin is in the first one. */
const zones = ["zone-0", "zone-1", "zone-2"];

/** Zone of the origin. */
export const originZone = zones[0]!;

/**
 * Creates the agents of a simulated swarm and the exchanges of bitfields between them.
 *
 * @param plan - size of the swarm and options
 * @returns the agents, and the simulated time, which the caller advances
 */
export function createSwarmState(plan: SimulationPlan) {
    const { options, scale } = plan;
    const random = createSeededRandom(plan.seed);
    const chunks = Math.ceil(scale.totalBytes / scale.chunkBytes);
    const agents = new Map(
        Array.from({ length: plan.agents }, (...[, number]) => createAgent(number)).map(
            agent => [agent.instance, agent],
        ),
    );
    const instances = [...agents.keys()];
    const time = { now: 0 };

    function createAgent(number: number): Agent {
        return {
            instance: `agent-${number}`,
            zone: zones[number % zones.length]!,
            incoming: {},
            outgoing: {},
            sets: new Map(),
            target: undefined,
            newestComplete: 1,
            completedAt: new Map(),
            window: createTransferWindow(),
            queueDelay: 0,
            nextTickAt: random.next() * plan.tickInterval,
            sentBytes: 0,
            receivedBytes: 0,
            dead: false,
            needsDecision: true,
        };
    }

    function createSet({ instance, zone }: Agent, version: number): AgentSet {
        const digest = `${plan.seed}/${version}/simulated`;
        const isInOriginZone = (member: string) =>
            plan.zoneBytesPerSecond < Infinity &&
            agents.get(member)!.zone === originZone;
        const zoneMembers = instances.filter(member => agents.get(member)!.zone === zone);
        return {
            version,
            startedAt: time.now,
            held: createBitfield(chunks),
            peers: createTable<string, PeerRow>(),
            transfers: createTable<number, TransferRow>(),
            running: new Map(),
            neighbours: selectNeighbours(
                digest,
                instance,
                instances,
                options.neighbours,
                member => options.preferOwnZone && agents.get(member)!.zone === zone,
            ),
            originReaders: createOriginReaders(digest, chunks, instances, instance, isInOriginZone),
            zoneReaders: createOriginReaders(digest, chunks, zoneMembers, instance),
            nextExchangeAt: new Map(),
            availableSince: new Map(),
            originFailures: 0,
            originAvoidedUntil: 0,
            originRefusedAt: undefined,
            uploads: 0,
            sentBytes: 0,
            complete: false,
        };
    }

    function findPeer(set: AgentSet, instance: string): PeerRow {
        const peer: PeerRow = set.peers.get(instance) ?? {
            instance,
            zone: agents.get(instance)!.zone,
            bitfield: createBitfield(chunks),
            heardAt: time.now,
            progressedAt: time.now,
            sentBytes: 0,
            corruptChunks: 0,
            failedTransfers: 0,
            avoidedUntil: 0,
            chokedUntil: 0,
        };
        set.peers.set(instance, peer);
        return peer;
    }

    function storeAvailability(set: AgentSet, peer: PeerRow, held: Uint8Array, sentBytes: number): void {
        recordAvailability(peer, Uint8Array.from(held), sentBytes, time.now);
        if (set.availableSince.size < chunks) {
            for (let index = 0; index < chunks; index++) {
                if (hasChunk(held, index) && !set.availableSince.has(index)) {
                    set.availableSince.set(index, time.now);
                }
            }
        }
    }

    /** Gives both agents the bitfield of the other one, as exchanges and requests for chunks do. */
    function exchangeBitfields(agent: Agent, set: AgentSet, other: Agent): void {
        const otherSet = other.sets.get(set.version);
        if (otherSet === undefined) {
            return;
        }
        const peerOfOther = findPeer(otherSet, agent.instance);
        storeAvailability(set, findPeer(set, other.instance), otherSet.held, otherSet.sentBytes);
        storeAvailability(otherSet, peerOfOther, set.held, peerOfOther.sentBytes);
        agent.needsDecision = true;
        other.needsDecision = true;
    }

    function exchange(agent: Agent, set: AgentSet): void {
        const watched = selectWatchedReaders({
            chunks,
            held: set.held,
            peers: set.peers,
            originReaders: set.originReaders,
            startedAt: set.startedAt,
            now: time.now,
            random,
            options,
        });
        const intervals = new Map([...set.peers.keys()].map(peer => [peer, plan.exchangeInterval * 4]));
        for (const instance of [...set.neighbours, ...watched]) {
            intervals.set(instance, plan.exchangeInterval);
        }
        for (const [instance, interval] of intervals) {
            if ((set.nextExchangeAt.get(instance) ?? 0) > time.now) {
                continue;
            }
            set.nextExchangeAt.set(instance, time.now + interval * (0.75 + random.next() / 2));
            const other = agents.get(instance)!;
            // The answer waits on this agent's link behind the bytes of transfers.
            agent.window.startProbe(instance, time.now)({ sentAt: time.now }, time.now + agent.queueDelay);
            if (other.dead) {
                findPeer(set, instance).avoidedUntil = time.now + 1_000;
                continue;
            }
            exchangeBitfields(agent, set, other);
        }
    }

    return { agents, chunks, createSet, exchange, exchangeBitfields, findPeer, random, time };
}
