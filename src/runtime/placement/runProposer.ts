import type { ConfigurationRow, PlacementRecord, PlacementRow } from "../../types/index.js";
import { createChainKey, listDueRecords } from "../state/index.js";
import type { DueRecord } from "../state/index.js";
import { assessCopies } from "./assess.js";
import { planCopies } from "./copies.js";
import { planOwners } from "./owners.js";
import { rankProposer } from "./rank.js";
import { createRecordId } from "./recordId.js";
import { createRefreshRecord } from "./refreshRecords.js";
import type { RefreshHeader } from "./refreshRecords.js";
import { beginTick, endTick } from "./tick.js";
import type { Tick } from "./tick.js";
import type { PlacementMove, ProposerCommand, ProposerInput } from "./types.js";
import { planUpdates } from "./updates.js";
import { planWitnesses } from "./witnesses.js";

/** Records that this proposer would append, before the delay by rank. */
interface Proposal {
    readonly deployment: string;
    readonly chain: string;
    readonly base: number;
    readonly create: () => ProposerCommand;
}

/**
 * Runs one tick of the proposer over all deployments.
 *
 * @param input - state, observations and the proposer's memory, which is updated
 * @returns records to append; none for a deployment whose placement needs no change or whose turn it is not
 */
export function runProposer(input: ProposerInput): ProposerCommand[] {
    const tick = beginTick(input);
    const due = listDueRecords(input.state, input.clock.now(), input.options.retention);
    const dueChains = new Set(due.map(record => createChainKey(record.kind, record.deployment)));
    const proposals = due.filter(record => !input.state.unresolved.has(createChainKey(record.kind, record.deployment)))
        .map(record => proposeRefresh(tick, record));
    const waiting = new Set<string>();
    for (const configuration of input.state.configurations.rows()) {
        if (!mayPlan(tick, configuration.deployment)) {
            waiting.add(createChainKey("placement", configuration.deployment));
            continue;
        }
        const proposal = proposePlacement(tick, configuration);
        // An old record is refreshed first, so that nothing is based on one that expires.
        if (proposal !== undefined && !dueChains.has(proposal.chain)) {
            proposals.push(proposal);
        }
    }
    const commands = proposals.flatMap(proposal => takeTurn(tick, proposal));
    forgetSettled(tick, proposals, waiting);
    endTick(tick);
    return commands;
}

function createHeader(tick: Tick): RefreshHeader {
    const { input } = tick;
    return {
        id: createRecordId(input.random),
        writtenAt: input.clock.now().toISOString(),
        writer: input.self,
    };
}

function proposeRefresh(tick: Tick, due: DueRecord): Proposal {
    return {
        deployment: due.deployment,
        chain: createChainKey(due.kind, due.deployment),
        base: due.base,
        create: () => ({
            kind: "append-refresh",
            deployment: due.deployment,
            record: createRefreshRecord(tick.input.state, due, createHeader(tick)),
        }),
    };
}

function createEmptyPlacement(configuration: ConfigurationRow): PlacementRow {
    return {
        deployment: configuration.deployment,
        offset: 0,
        configurationOffset: configuration.offset,
        writtenAt: configuration.writtenAt,
        copies: [],
        owners: [],
        nextOwners: undefined,
    };
}

function proposePlacement(tick: Tick, configuration: ConfigurationRow): Proposal | undefined {
    const { deployment } = configuration;
    const { state } = tick.input;
    const chain = createChainKey("placement", deployment);
    // A placement that exists but is not known yet must not be taken for a missing one.
    if (state.unresolved.has(chain) || state.unresolved.has(createChainKey("configuration", deployment))) {
        return undefined;
    }
    const placement = state.placements.get(deployment) ?? createEmptyPlacement(configuration);
    const assessed = assessCopies(tick, placement);
    const copied = planCopies(tick, configuration, assessed);
    const updated = planUpdates(tick, configuration, assessed, copied);
    const { copies, moves, candidates } = planWitnesses(tick, placement, updated);
    const { owners, nextOwners, reason } = planOwners(tick, placement, assessed, copies);
    const ownersMove: PlacementMove[] = reason === undefined ? [] : [{ kind: "owners-change", instance: "", reason }];
    const allMoves = [...moves, ...ownersMove];
    if (allMoves.length === 0) {
        return undefined;
    }
    const create = (): ProposerCommand => {
        const record: PlacementRecord = {
            ...createHeader(tick),
            kind: "placement",
            deployment,
            base: placement.offset,
            configurationOffset: configuration.offset,
            copies,
            owners,
            nextOwners,
        };
        return { kind: "append-placement", deployment, record, moves: allMoves, candidates };
    };
    return { deployment, chain, base: placement.offset, create };
}

/** Rank k waits k delays on each base. A command whose record does not appear in the log is repeated after a delay. */
function takeTurn(tick: Tick, proposal: Proposal): ProposerCommand[] {
    const { memory, options } = tick.input;
    const known = memory.wanted.get(proposal.chain);
    const progress = known?.base === proposal.base ?
        known :
        { base: proposal.base, since: tick.now, proposedAt: undefined };
    memory.wanted.set(proposal.chain, progress);
    const { proposedAt } = progress;
    if (proposedAt !== undefined && tick.now - proposedAt < options.rankDelay) {
        return [];
    }
    const rank = readRank(tick, proposal.deployment);
    if (tick.now - progress.since < rank * options.rankDelay) {
        return [];
    }
    memory.wanted.set(proposal.chain, { ...progress, proposedAt: tick.now });
    return [proposal.create()];
}

/** Forgets changes that are no longer wanted; chains that were not planned in this tick are left as they are. */
function forgetSettled(tick: Tick, proposals: readonly Proposal[], waiting: ReadonlySet<string>): void {
    const { wanted } = tick.input.memory;
    const chains = new Set(proposals.map(({ chain }) => chain));
    for (const chain of [...wanted.keys()].filter(key => !chains.has(key) && !waiting.has(key))) {
        wanted.delete(chain);
    }
}

/** Agents follow the entry instances that rank first for their pool, so these are the ones that hear them. */
function readRank(tick: Tick, deployment: string): number {
    const pool = tick.input.state.configurations.get(deployment)?.pool ?? deployment;
    return rankProposer(pool, tick.input.self, tick.entries.map(({ instance }) => instance));
}

/** Plans less often at the later ranks, whose turn rarely comes, since a plan costs time for each copy. */
function mayPlan(tick: Tick, deployment: string): boolean {
    const { memory, options } = tick.input;
    const chain = createChainKey("placement", deployment);
    const plannedAt = memory.plannedAt.get(chain) ?? Number.NEGATIVE_INFINITY;
    if (tick.now - plannedAt < readRank(tick, deployment) * options.rankDelay / 2) {
        return false;
    }
    memory.plannedAt.set(chain, tick.now);
    return true;
}
