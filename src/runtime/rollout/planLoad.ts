import type { EngineReport, Milliseconds } from "../../types/index.js";
import { rankByRendezvous } from "../../utils/index.js";
import type { LoadedWeightsState } from "./loadedWeights.js";

/** Options of the rolling update of the backend servers of a service to a new version. */
export interface RolloutOptions {
    /** Number of waves: groups of backend servers that load one after the other, so that the others keep serving. */
    readonly waves: number;
    /** Time after the declaration at which the first wave may load, if it holds every chunk. */
    readonly firstWaveAfter: Milliseconds;
    /** Time between the starts of two successive waves. */
    readonly waveInterval: Milliseconds;
    /** Time after the declaration at which all waves may load, since the old version will no longer be requested. */
    readonly lastWaveAfter: Milliseconds;
    /** Time after which an order that had no effect is given again. */
    readonly repeatAfter: Milliseconds;
    /** Longest time for which an engine drains, so that its requests in progress finish, before it loads. */
    readonly drainBeforeLoad: Milliseconds;
}

/** Progress of the transfer of a version of which chunks are still missing. */
export interface VersionTransfer {
    readonly version: number;
    /** Share of the chunks that have arrived and are verified, from 0 to 1. */
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
    /** What is known about the loaded weights. */
    readonly loadedState: LoadedWeightsState;
    readonly model: string;
    /** Declared versions, newest first; at least one. */
    readonly wanted: readonly WantedVersion[];
    /** Newest version of which every chunk is held and verified; undefined if there is none. */
    readonly target: number | undefined;
    /** Monotonic time at which the last chunk of the target was verified; undefined if there is no target. */
    readonly completedAt: Milliseconds | undefined;
    /** Transfer of a newer version than the target; undefined if there is none. */
    readonly transfer: VersionTransfer | undefined;
    /**
     * Monotonic time since which the engine gets no new requests, so that it can load; undefined if it is not draining.
     */
    readonly drainingSince: Milliseconds | undefined;
    /** Backend server of the engine. */
    readonly self: string;
    /** Backend servers that serve the service, this one included. */
    readonly members: readonly string[];
    /** Monotonic time of the last order; undefined if the engine got none since it started. */
    readonly orderedAt: Milliseconds | undefined;
    readonly now: Milliseconds;
    readonly options: RolloutOptions;
}

/** Result of {@link planLoad}. */
export type LoadDecision =
    | { readonly kind: "load"; readonly version: number; readonly reason: string; }
    /** The engine gives up its weights, so that it can load the same version again. */
    | { readonly kind: "unload"; readonly version: number; readonly reason: string; }
    /** The engine gets no new requests while the last chunks arrive. */
    | { readonly kind: "drain"; readonly version: number; readonly reason: string; }
    | { readonly kind: "wait"; readonly reason: string; };

/**
 * Assigns a backend server to a wave. The assignment is the same in every process and changes with the version, so that
 * the same servers are not always the last ones.
 *
 * @param members - backend servers of the service
 * @param self - the backend server to assign; need not be one of `members`
 * @param version - version to load
 * @param waves - number of waves
 * @returns number of the wave, from 0
 */
export function assignWave(members: readonly string[], self: string, version: number, waves: number): number {
    const ranked = rankByRendezvous(`wave/${version}`, [...new Set([...members, self])]);
    return Math.floor(ranked.indexOf(self) * waves / ranked.length);
}

/** Longest time for which an engine may drain while it waits for chunks, as a multiple of `drainBeforeLoad`. */
const maximumDrainFactor = 2;

/**
 * Computes the wave of the engine and the time from which on it may stop serving to load a version. If the transfer is
 * late, the first wave starts `drainBeforeLoad` before it is complete, and the other waves are delayed by as much: if
 * only the first wave were delayed, it would load together with the second one.
 */
function findWaveStart(
    { members, options, self, wanted }: LoadInput,
    loaded: number,
    version: number,
    completeAt: Milliseconds,
): { readonly wave: number; readonly at: Milliseconds; } {
    const { declaredAt } = wanted.filter(candidate => candidate.version > loaded).at(-1) ?? wanted[0]!;
    const wave = assignWave(members, self, version, options.waves);
    const firstWaveAt = Math.max(declaredAt + options.firstWaveAfter, completeAt - options.drainBeforeLoad);
    return { wave, at: Math.min(firstWaveAt + wave * options.waveInterval, declaredAt + options.lastWaveAfter) };
}

/**
 * Decides whether to drain the engine now, since the last chunks are expected while its requests in progress finish.
 */
function planDrain(input: LoadInput, loaded: number): LoadDecision {
    const waitForChunks: LoadDecision = { kind: "wait", reason: "chunks are missing" };
    const { drainingSince, now, options, transfer, wanted } = input;
    const declared = wanted.find(({ version }) => version === transfer?.version);
    if (transfer === undefined || declared === undefined || transfer.share === 0 || loaded === 0) {
        return waitForChunks;
    }
    if (drainingSince !== undefined && now - drainingSince >= maximumDrainFactor * options.drainBeforeLoad) {
        return { kind: "wait", reason: "the last chunks take longer than expected" };
    }
    const remaining = (now - declared.declaredAt) * (1 - transfer.share) / transfer.share;
    const { at, wave } = findWaveStart(input, loaded, transfer.version, now + remaining);
    const isDue = drainingSince !== undefined || (now >= at && remaining <= options.drainBeforeLoad);
    return isDue ? { kind: "drain", version: transfer.version, reason: `turn of group ${wave}` } : waitForChunks;
}

/**
 * Decides how an engine gets rid of wrong weights: it loads a newer version, or gives up its weights first, since an order
 * to load the same version has no effect and chunks must not be repaired while the engine reports them as loaded.
 */
function planReplacement({ report, target }: LoadInput, loaded: number): LoadDecision {
    const reason = "the loaded weights are wrong";
    if (report.busy) {
        return { kind: "wait", reason: "the engine carries out an order" };
    }
    if (target !== undefined && target < loaded) {
        return { kind: "wait", reason: "chunks are missing" };
    }
    return target !== undefined && target > loaded ?
        { kind: "load", version: target, reason } :
        { kind: "unload", version: loaded, reason };
}

/**
 * Decides whether the engine has to load the target version now. An engine without weights loads at once. The others
 * load in waves, timed from the declaration of the oldest version that they have not loaded. An engine whose wave
 * starts while the last chunks arrive is drained meanwhile.
 *
 * @param input - engine, versions and progress of the transfer
 * @returns whether to load, to drain or to wait, with the reason
 */
export function planLoad(input: LoadInput): LoadDecision {
    const { model, now, options, orderedAt, report, target, wanted } = input;
    const { weights } = report;
    const loaded = weights?.complete === true && weights.model === model ? weights.version : 0;
    if (input.loadedState === "wrong") {
        return planReplacement(input, loaded);
    }
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
    const { at, wave } = findWaveStart(input, loaded, target, input.completedAt ?? now);
    return now >= at ?
        { kind: "load", version: target, reason: `turn of group ${wave}` } :
        { kind: "wait", reason: `group ${wave} loads later` };
}
