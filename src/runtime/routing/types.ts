import type {
    AvailabilityZone,
    BlockedReason,
    CopyPhase,
    DeploymentName,
    InstanceId,
    ManifestDigest,
    Milliseconds,
    RandomSource,
    Region,
} from "../../types/index.js";
import type { ExpectedTimes, RequestCost, ServerSpeed, ServerWork } from "../cost/index.js";

/** Options of the routing decision. */
export interface RoutingOptions {
    /** Most runners of a deployment whose load reports one entry instance follows. Default: 32. */
    readonly subsetSize: number;
    /** Time in which the weight of a load report halves. Default: 1,000 ms. */
    readonly loadHalfLife: Milliseconds;
    /** Time after its last load report from which on a runner is not a candidate. Default: 5,000 ms. */
    readonly reportExpiry: Milliseconds;
    /**
     * Affinity bound, as a multiple of the mean load of the candidates: a runner is preferred for a prefix only while
     * its load is below the bound. Default: 1.25.
     */
    readonly affinityLoadFactor: number;
    /** Number of requests added to the affinity bound. Default: 1. */
    readonly affinityLoadSlack: number;
    /** Score added for a runner in another availability zone of the region, in requests. Default: 0.5. */
    readonly zonePenalty: number;
    /** Score added for a runner in another region, in requests. Default: 2. */
    readonly regionPenalty: number;
    /** Consecutive failures after which a runner is ejected. Default: 3. */
    readonly failuresUntilEjected: number;
    /**
     * Time for which a runner is ejected; doubled with each successive ejection up to eight times this time.
     * Default: 2,000 ms.
     */
    readonly ejectionDuration: Milliseconds;
    /** Share of ejected runners above which ejection is ignored. Default: 0.5. */
    readonly panicShare: number;
    /**
     * Candidates that are drawn at random and compared. Default: 2, which suits load reports that are older than the
     * time that a request takes.
     */
    readonly comparedCandidates: number;
    /**
     * Additional load of a request whose answer has not begun, in requests. Default: 0. An engine processes prompts one
     * after the other, so a new answer begins only after those of the waiting requests, while requests that are being
     * answered delay it only slightly.
     */
    readonly waitingWeight: number;
    /** Time in which the weight of reported waiting requests halves. Default: 200 ms. */
    readonly waitingHalfLife: Milliseconds;
    /**
     * True if requests are sent where the expected time to the first event is shortest, as far as the timing of engines is
     * known, and if the slowdown that plain services state scales their load. Default: false.
     */
    readonly costAware: boolean;
}

/**
 * State of the trial of a runner that has asked to be sent no requests for a while; it gets a single request first.
 * `none`: no trial is needed; `due`: the next request is the trial; `running`: the trial is in progress.
 */
export type TrialState = "none" | "due" | "running";

/** Pace at which this process may send requests to a runner that has stated a rate limit or is cold. */
export interface RunnerPace {
    /** Monotonic time before which this process must send it no request. */
    nextAt: Milliseconds;
    /** Time between two requests of a process that holds a share of the limit. */
    interval: Milliseconds;
}

/** Runner of a subset, with its last load report and the requests that this process has in progress on it. */
export interface RunnerRow {
    readonly instance: InstanceId;
    readonly deployment: DeploymentName;
    readonly zone: AvailabilityZone;
    readonly region: Region;
    /** Weight set that the runner serves; undefined for plain services and before the first report. */
    manifestDigest: ManifestDigest | undefined;
    phase: CopyPhase;
    /** True if it is not known whether the weights that the runner has loaded are right. */
    unverified: boolean;
    draining: boolean;
    /** Requests that this process has in progress on the runner. */
    outstanding: number;
    /** Those of them whose answer has not begun. */
    awaitingFirst: number;
    /** Requests whose answer had not begun by the last report, without those of this process. */
    reportedWaiting: number;
    /** Requests running and queued by the last report, without those that this process had in progress at that time. */
    reportedLoad: number;
    capacity: number;
    /** Monotonic time at which the last report was made. */
    reportedAt: Milliseconds;
    cachedPrefixes: Set<string>;
    consecutiveFailures: number;
    ejections: number;
    ejectedUntil: Milliseconds;
    /** Monotonic time until which the runner has asked this process to send it no requests. */
    pausedUntil: Milliseconds;
    trial: TrialState;
    /** Undefined if the runner has stated no rate limit. */
    pace: RunnerPace | undefined;
    /** Pace while the runner is cold, in addition to that of a rate limit; undefined if it is not cold. */
    slowStart: RunnerPace | undefined;
    /** Hash of the instance, by which all processes choose the same runner for a prefix that no runner has cached. */
    readonly affinityHash: number;
    /** Past values of `outstanding`, oldest first, to correct load reports that arrive late. */
    readonly samples: { readonly at: Milliseconds; readonly outstanding: number; }[];
    /** Work of the requests in progress. Default: not known. */
    work?: ServerWork | undefined;
    /** Speed in comparison with other runners. Default: not known. */
    speed?: ServerSpeed | undefined;
}

/** Runners of one deployment whose load reports an entry instance follows. */
export interface RunnerSubset {
    readonly deployment: DeploymentName;
    readonly runners: RunnerRow[];
}

/** Input of `selectRunner`. */
export interface RoutingInput {
    readonly subset: RunnerSubset;
    readonly zone: AvailabilityZone;
    readonly region: Region;
    /** Weight set that must answer; undefined for plain services. */
    readonly manifestDigest: ManifestDigest | undefined;
    /** Further weight sets that may answer, such as older versions for a limited time. Default: none. */
    readonly acceptedDigests?: ReadonlySet<ManifestDigest> | undefined;
    readonly prefix: string | undefined;
    /** Runners on which this request has already failed. */
    readonly excluded: ReadonlySet<InstanceId>;
    /** Regions in which the request may be served. Default: any. */
    readonly allowedRegions?: ReadonlySet<Region> | undefined;
    /** Tells whether nothing may be sent to a zone. Default: all zones may get requests. */
    readonly isEvacuated?: ((zone: AvailabilityZone) => boolean) | undefined;
    /** Includes cold runners that accept a request within this time. Default: 0. */
    readonly slowStartAhead?: Milliseconds | undefined;
    readonly now: Milliseconds;
    readonly random: RandomSource;
    readonly options: RoutingOptions;
    /** Expected cost of the request. Default: not known, so the runner is selected by its load. */
    readonly cost?: RequestCost | undefined;
}

/** Input of `findCandidates`. */
export type CandidateInput = Pick<
    RoutingInput,
    | "subset"
    | "manifestDigest"
    | "acceptedDigests"
    | "excluded"
    | "allowedRegions"
    | "isEvacuated"
    | "slowStartAhead"
    | "now"
    | "options"
>;

/** Input of `explainIneligible`. */
export type EligibilityInput = Pick<CandidateInput, "subset" | "allowedRegions" | "isEvacuated">;

/** Why a runner may not get a request, whatever the state of the runner. */
export type IneligibleReason = "outside-regions" | "evacuated";

/** Why a runner may not be selected. */
export type LeftOutReason =
    | IneligibleReason
    | "draining"
    | "not-serving"
    | "unverified"
    | "paused"
    | "rate-limited"
    | "slow-start"
    | "ejected";

/** Result of `findCandidates`. */
export interface Candidates {
    readonly candidates: RunnerRow[];
    /** True if so many runners are ejected that ejection is ignored. */
    readonly panic: boolean;
    /** Number of runners that are left out, by the first reason that holds. */
    readonly leftOut: Readonly<Record<LeftOutReason, number>>;
    /**
     * Monotonic time at which the first of the paused, rate-limited and cold runners accepts requests again; undefined
     * if there are none.
     */
    readonly resumesAt: Milliseconds | undefined;
}

/** Why a runner was selected. */
export type RoutingReason = "least-loaded" | "least-time" | "only-candidate" | "prefix-affinity" | "panic";

/** Result of `selectRunner`. */
export type RoutingDecision =
    | {
        readonly kind: "selected";
        readonly runner: RunnerRow;
        readonly reason: RoutingReason;
        /** Number of runners that could have been selected. */
        readonly candidates: number;
        /** Times that are expected at the runner; undefined if it was not selected by them. */
        readonly expected?: ExpectedTimes | undefined;
    }
    | {
        readonly kind: "none";
        readonly reason: "no-runner" | "not-serving" | "draining" | IneligibleReason | BlockedReason;
        readonly candidates: 0;
        readonly retryAfterSeconds: number;
    };

/** Runner that may become part of a subset. */
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
    /** Age of the report when it arrived. */
    readonly age: Milliseconds;
}

/** How an attempt on a runner ended; `neutral` for refusals and for errors of the caller. */
export type RunnerOutcome = "succeeded" | "failed" | "neutral";
