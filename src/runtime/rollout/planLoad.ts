import type { EngineReport, Milliseconds } from "../../types/index.js";
import { rankByRendezvous } from "../../utils/index.js";

/** Options of the change of all backend servers of a service to a new version. */
export interface RolloutOptions {
    /** Groups that load one after the other, so that the others keep serving. */
    readonly waves: number;
    /** Time after the declaration at which the first group may load, if it is complete. */
    readonly firstWaveAfter: Milliseconds;
    /** Time by which each group loads later than the one before. */
    readonly waveInterval: Milliseconds;
    /** Time after the declaration at which every group may stop serving, since its version will not be asked for. */
    readonly lastWaveAfter: Milliseconds;
    /** Time after which an order without effect is given again. */
    readonly repeatAfter: Milliseconds;
    /** Longest time in which requests in progress may finish before the engine loads. */
    readonly drainBeforeLoad: Milliseconds;
}

/** Transfer of a version of which chunks are still missing. */
export interface VersionTransfer {
    readonly version: number;
    /** Share of the chunks that are held and verified, from 0 to 1. */
    readonly share: number;
}

/** Version that an agent was told to load. */
export interface WantedVersion {
    readonly version: number;
    /** Monotonic time at which this process learned of it. */
    readonly declaredAt: Milliseconds;
}

/** Input of {@link planLoad}. */
export interface LoadInput {
    readonly report: EngineReport;
    readonly model: string;
    /** Declared versions, newest first; at least one. */
    readonly wanted: readonly WantedVersion[];
    /** Newest version of which every chunk is held and verified; undefined if there is none. */
    readonly target: number | undefined;
    /** Monotonic time at which the last chunk of the target was verified; undefined if there is no target. */
    readonly completedAt: Milliseconds | undefined;
    /** Transfer of a newer version than the target; undefined if there is none. */
    readonly transfer: VersionTransfer | undefined;
    /** Monotonic time since which the engine gets no new requests, so that it can load. */
    readonly drainingSince: Milliseconds | undefined;
    readonly self: string;
    /** Backend servers of the service that serve, this one included. */
    readonly members: readonly string[];
    /** Monotonic time of the last order; undefined if none was given to this start of the engine. */
    readonly orderedAt: Milliseconds | undefined;
    readonly now: Milliseconds;
    readonly options: RolloutOptions;
}

/** Result of {@link planLoad}. */
export type LoadDecision =
    | { readonly kind: "load"; readonly version: number; readonly reason: string; }
    /** No new requests, while the last chunks arrive. */
    | { readonly kind: "drain"; readonly version: number; readonly reason: string; }
    | { readonly kind: "wait"; readonly reason: string; };

/**
 * Chooses the group of a backend server. The order is the same in every process and changes with the version, so that
 * the same servers do not always go last.
 *
 * @param members - backend servers of the service
 * @param self - this one
 * @param version - version that is loaded
 * @param waves - number of groups
 * @returns number of the group, from 0
 */
export function chooseWave(members: readonly string[], self: string, version: number, waves: number): number {
    const ranked = rankByRendezvous(`wave/${version}`, [...new Set([...members, self])]);
    return Math.floor(ranked.indexOf(self) * waves / ranked.length);
}

/** How many times the time to drain an engine may go without requests while it waits for chunks. */
const longestDrains = 2;

/**
 * Finds the time from which on the engine may stop serving to load a version. The first group waits until the chunks
 * are nearly there, and the others by as much: if it were late alone, it would load together with the second one.
 */
function findTurn(
    { members, options, self, wanted }: LoadInput,
    loaded: number,
    version: number,
    completeAt: Milliseconds,
): { readonly wave: number; readonly at: Milliseconds; } {
    const { declaredAt } = wanted.filter(candidate => candidate.version > loaded).at(-1) ?? wanted[0]!;
    const wave = chooseWave(members, self, version, options.waves);
    const first = Math.max(declaredAt + options.firstWaveAfter, completeAt - options.drainBeforeLoad);
    return { wave, at: Math.min(first + wave * options.waveInterval, declaredAt + options.lastWaveAfter) };
}

/** Decides whether requests in progress should finish now, since the last chunks will have arrived by then. */
function planDrain(input: LoadInput, loaded: number): LoadDecision {
    const missing: LoadDecision = { kind: "wait", reason: "chunks are missing" };
    const { drainingSince, now, options, transfer, wanted } = input;
    const declared = wanted.find(({ version }) => version === transfer?.version);
    if (transfer === undefined || declared === undefined || transfer.share === 0 || loaded === 0) {
        return missing;
    }
    if (drainingSince !== undefined && now - drainingSince >= longestDrains * options.drainBeforeLoad) {
        return { kind: "wait", reason: "the last chunks take longer than expected" };
    }
    const remaining = (now - declared.declaredAt) * (1 - transfer.share) / transfer.share;
    const { at, wave } = findTurn(input, loaded, transfer.version, now + remaining);
    const isDue = drainingSince !== undefined || (now >= at && remaining <= options.drainBeforeLoad);
    return isDue ? { kind: "drain", version: transfer.version, reason: `turn of group ${wave}` } : missing;
}

/**
 * Decides whether the engine is to load the target version now. An engine without weights loads at once; the others go
 * in groups, timed from the declaration of the oldest version that they still lack. An engine whose turn has come while
 * the last chunks arrive lets its requests finish meanwhile.
 *
 * @param input - engine, versions and progress of the transfer
 * @returns the order to give, or why there is none
 */
export function planLoad(input: LoadInput): LoadDecision {
    const { model, now, options, orderedAt, report, target, wanted } = input;
    const { weights } = report;
    const loaded = weights?.complete === true && weights.model === model ? weights.version : 0;
    if (loaded >= wanted[0]!.version) {
        return { kind: "wait", reason: "the newest version is loaded" };
    }
    if (target === undefined || loaded >= target) {
        return report.busy ? { kind: "wait", reason: "chunks are missing" } : planDrain(input, loaded);
    }
    if (report.busy) {
        return { kind: "wait", reason: "the engine carries out an order" };
    }
    if (orderedAt !== undefined && now - orderedAt < options.repeatAfter) {
        return { kind: "wait", reason: "an order was given a moment ago" };
    }
    if (loaded === 0) {
        return { kind: "load", version: target, reason: "no weights are loaded" };
    }
    const { at, wave } = findTurn(input, loaded, target, input.completedAt ?? now);
    return now >= at ?
        { kind: "load", version: target, reason: `turn of group ${wave}` } :
        { kind: "wait", reason: `group ${wave} loads later` };
}
