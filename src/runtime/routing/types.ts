import type {
    AvailabilityZone,
    CopyPhase,
    DeploymentName,
    InstanceId,
    ManifestDigest,
    Milliseconds,
    RandomSource,
    Region,
} from "../../types/index.js";

/** Options of the routing decision. */
export interface RoutingOptions {
    /** Most runners of a deployment that one entry instance follows. Default: 32. */
    readonly subsetSize: number;
    /** Time in which the weight of a load report halves. Default: 1,000 ms. */
    readonly loadHalfLife: Milliseconds;
    /** Time after which a runner without a load report is no candidate. Default: 5,000 ms. */
    readonly reportExpiry: Milliseconds;
    /** Load above the subset's mean, as a factor, up to which prefix affinity wins. Default: 1.25. */
    readonly affinityLoadFactor: number;
    /** Load added to the affinity bound, in requests. Default: 1. */
    readonly affinityLoadSlack: number;
    /** Score added for a runner in another availability zone of the region, in requests. Default: 0.5. */
    readonly zonePenalty: number;
    /** Score added for a runner in another region, in requests. Default: 2. */
    readonly regionPenalty: number;
    /** Successive failures after which a runner is ejected. Default: 3. */
    readonly failuresUntilEjected: number;
    /** Time for which a runner is ejected; doubled with each ejection up to eight times. Default: 2,000 ms. */
    readonly ejectionDuration: Milliseconds;
    /** Share of ejected runners above which ejection is ignored. Default: 0.5. */
    readonly panicShare: number;
    /**
     * Candidates that are drawn at random and compared. Default: 2, for load reports that are older than requests take.
     */
    readonly comparedCandidates: number;
    /**
     * Load of a request whose answer has not begun, in requests, beyond the one that each request counts. Default: 0. An
     * engine reads prompts one after the other, so the next answer begins after those that wait, while requests that
     * are being answered hardly delay it.
     */
    readonly waitingWeight: number;
    /** Time in which the weight of reported waiting requests halves. Default: 200 ms. */
    readonly waitingHalfLife: Milliseconds;
}

/**
 * Whether a runner that wanted no requests for a while has to be tried with a single one first: not at all, with the next
 * one, or with one that is in progress.
 */
export type TrialState = "none" | "due" | "running";

/** Runner that an entry instance follows. */
export interface RunnerRow {
    readonly instance: InstanceId;
    readonly deployment: DeploymentName;
    readonly zone: AvailabilityZone;
    readonly region: Region;
    /** Set that the runner serves; undefined for plain services and before the first report. */
    manifestDigest: ManifestDigest | undefined;
    phase: CopyPhase;
    draining: boolean;
    /** Requests that this entry instance has in progress on the runner. */
    outstanding: number;
    /** Those of them whose answer has not begun. */
    awaitingFirst: number;
    /** Requests whose answer had not begun as last reported, without this entry instance's own. */
    reportedWaiting: number;
    /** Requests running and queued as last reported, without this entry instance's own at that time. */
    reportedLoad: number;
    capacity: number;
    /** Monotonic time to which the report refers. */
    reportedAt: Milliseconds;
    cachedPrefixes: Set<string>;
    successiveFailures: number;
    ejections: number;
    ejectedUntil: Milliseconds;
    /** Monotonic time until which the runner wants no requests of this process. */
    pausedUntil: Milliseconds;
    trial: TrialState;
    /** Hash of the instance, by which a prefix that no runner has cached finds the same runner everywhere. */
    readonly affinityHash: number;
    /** Past values of `outstanding`, oldest first, since load reports arrive late. */
    readonly samples: { readonly at: Milliseconds; readonly outstanding: number; }[];
}

/** Runners of one deployment that an entry instance follows. */
export interface RunnerSubset {
    readonly deployment: DeploymentName;
    readonly runners: RunnerRow[];
}

/** Input of `selectRunner`. */
export interface RoutingInput {
    readonly subset: RunnerSubset;
    readonly zone: AvailabilityZone;
    readonly region: Region;
    /** Set that must answer; undefined for plain services. */
    readonly manifestDigest: ManifestDigest | undefined;
    /** Further sets that may answer, as older versions may for a time. Default: none. */
    readonly acceptedDigests?: ReadonlySet<ManifestDigest> | undefined;
    readonly prefix: string | undefined;
    /** Runners that this request has already failed on. */
    readonly excluded: ReadonlySet<InstanceId>;
    readonly now: Milliseconds;
    readonly random: RandomSource;
    readonly options: RoutingOptions;
}

/** What of the input decides which runners may be chosen. */
export type CandidateInput = Pick<
    RoutingInput,
    "subset" | "manifestDigest" | "acceptedDigests" | "excluded" | "now" | "options"
>;

/** Why a runner may not be chosen. */
export type LeftOutReason = "draining" | "not-serving" | "paused" | "ejected";

/** Result of `findCandidates`. */
export interface Candidates {
    readonly candidates: RunnerRow[];
    /** True if so many runners are ejected that ejection is ignored. */
    readonly panic: boolean;
    /** Number of runners that are left out, by the first reason that holds. */
    readonly leftOut: Readonly<Record<LeftOutReason, number>>;
    /** Monotonic time at which the first of the paused runners may be asked again; undefined if none is paused. */
    readonly resumesAt: Milliseconds | undefined;
}

/** Why a runner was chosen. */
export type RoutingReason = "least-loaded" | "only-candidate" | "prefix-affinity" | "panic";

/** Result of `selectRunner`. */
export type RoutingDecision =
    | {
        readonly kind: "selected";
        readonly runner: RunnerRow;
        readonly reason: RoutingReason;
        /** Runners that could have been chosen. */
        readonly candidates: number;
    }
    | {
        readonly kind: "none";
        readonly reason: "no-runner" | "not-serving" | "draining" | "turned-away";
        readonly candidates: 0;
        readonly retryAfterSeconds: number;
    };

/** Runner that an entry instance may follow. */
export interface SubsetCandidate {
    readonly instance: InstanceId;
    readonly zone: AvailabilityZone;
    readonly region: Region;
    /** True if the runner is known not to serve; it is selected only when others do not fill the subset. */
    readonly avoided?: boolean | undefined;
}

/** Input of `selectSubset`. */
export interface SubsetInput {
    readonly entry: InstanceId;
    readonly deployment: DeploymentName;
    /** Location of the entry instance. */
    readonly zone: AvailabilityZone;
    readonly region: Region;
    /** All runners of the deployment that are live and have an assigned copy. */
    readonly candidates: readonly SubsetCandidate[];
    /** Most runners to select, at least 1. */
    readonly size: number;
}

/** Load report of a runner's agent for one deployment. */
export interface RunnerLoadReport {
    readonly manifestDigest: ManifestDigest | undefined;
    readonly phase: CopyPhase;
    readonly draining: boolean;
    readonly running: number;
    readonly queued: number;
    readonly capacity: number;
    readonly cachedPrefixes: readonly string[];
    /** Age of the figures when the report arrived. */
    readonly age: Milliseconds;
}

/** How an attempt on a runner ended; `neutral` for refusals and for faults of the caller. */
export type RunnerOutcome = "succeeded" | "failed" | "neutral";
