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
import type { PlacementChange, ProposerCommand, ProposerInput } from "./types.js";
import { planUpdates } from "./updates.js";
import { planWitnesses } from "./witnesses.js";

/** Record that this proposer wants to append; the delay of its rank may not have passed yet. */
interface Proposal {
    readonly deployment: string;
    readonly chain: string;
    readonly base: number;
    readonly create: () => ProposerCommand;
}

/**
 * Runs one tick of the proposer: plans the placements of all deployments and lists the rows that have to be written
 * again. Each entry instance runs a proposer; those that rank later act only if the earlier ones do not.
 *
 * @param input - state, observations and the proposer's memory, which is updated
 * @returns records to append; none for a deployment that needs no change, or while the delay of the rank lasts
 */
export function runProposer(input: ProposerInput): ProposerCommand[] {
    const tick = beginTick(input);
    const due = listDueRecords(input.state, input.clock.now(), input.options.retention);
    const dueChains = new Set(due.map(record => createChainKey(record.kind, record.deployment)));
    const proposals = due.filter(record => !input.state.unresolved.has(createChainKey(record.kind, record.deployment)))
        .map(record => proposeRefresh(tick, record));
    const unplanned = new Set<string>();
    for (const configuration of input.state.configurations.rows()) {
        if (!shouldPlan(tick, configuration.deployment)) {
            unplanned.add(createChainKey("placement", configuration.deployment));
            continue;
        }
        const proposal = proposePlacement(tick, configuration);
        // A row that is due is written again first, so that no new record is based on one that is about to expire.
        if (proposal !== undefined && !dueChains.has(proposal.chain)) {
            proposals.push(proposal);
        }
    }
    const commands = proposals.flatMap(proposal => createDueCommands(tick, proposal));
    deleteSettledProposals(tick, proposals, unplanned);
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
    // After a truncation of the log, a placement that is not known yet must not be mistaken for a missing one.
    if (state.unresolved.has(chain) || state.unresolved.has(createChainKey("configuration", deployment))) {
        return undefined;
    }
    const placement = state.placements.get(deployment) ?? createEmptyPlacement(configuration);
    const assessed = assessCopies(tick, placement);
    const copied = planCopies(tick, configuration, assessed);
    const updated = planUpdates(tick, configuration, assessed, copied);
    const { copies, changes, candidates } = planWitnesses(tick, placement, updated);
    const { owners, nextOwners, reason } = planOwners(tick, placement, assessed, copies);
    const ownersChange: PlacementChange[] = reason === undefined ?
        [] :
        [{ kind: "owners-change", instance: "", reason }];
    const allChanges = [...changes, ...ownersChange];
    if (allChanges.length === 0) {
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
        return { kind: "append-placement", deployment, record, changes: allChanges, candidates };
    };
    return { deployment, chain, base: placement.offset, create };
}

/**
 * Creates the command of a proposal once it may be appended. The proposer of rank k waits for k times the rank delay
 * after a change is first wanted on a base. If the record does not appear in the log, the command is repeated after one
 * rank delay.
 */
function createDueCommands(tick: Tick, proposal: Proposal): ProposerCommand[] {
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
    const rank = computeRank(tick, proposal.deployment);
    if (tick.now - progress.since < rank * options.rankDelay) {
        return [];
    }
    memory.wanted.set(proposal.chain, { ...progress, proposedAt: tick.now });
    return [proposal.create()];
}

/** Deletes the progress of proposals that are no longer wanted, except for chains that this tick has not planned. */
function deleteSettledProposals(tick: Tick, proposals: readonly Proposal[], unplanned: ReadonlySet<string>): void {
    const { wanted } = tick.input.memory;
    const chains = new Set(proposals.map(({ chain }) => chain));
    for (const chain of [...wanted.keys()].filter(key => !chains.has(key) && !unplanned.has(key))) {
        wanted.delete(chain);
    }
}

/** Agents connect to the entry instances that rank first for their pool, so these receive their heartbeats. */
function computeRank(tick: Tick, deployment: string): number {
    const pool = tick.input.state.configurations.get(deployment)?.pool ?? deployment;
    return rankProposer(pool, tick.input.self, tick.entries.map(({ instance }) => instance));
}

/** Proposers of later ranks plan less often: their plans are rarely used, and a plan takes time for each copy. */
function shouldPlan(tick: Tick, deployment: string): boolean {
    const { memory, options } = tick.input;
    const chain = createChainKey("placement", deployment);
    const plannedAt = memory.plannedAt.get(chain) ?? Number.NEGATIVE_INFINITY;
    if (tick.now - plannedAt < computeRank(tick, deployment) * options.rankDelay / 2) {
        return false;
    }
    memory.plannedAt.set(chain, tick.now);
    return true;
}
