import type {
    ClientAccount,
    DeploymentName,
    Fingerprint,
    ManifestDigest,
    Milliseconds,
    Offset,
    RequestId,
} from "./identifiers.js";

/** Whether a refused request may have run. */
export type RanState = "no" | "unknown";

/** Why a request was refused; part of the machine-readable refusal. */
export type RefusalReason =
    | "no-deployment"
    | "no-runner"
    | "not-serving"
    | "draining"
    | "hold-lapsed"
    | "queue-full"
    | "turned-away"
    | "rate-limited"
    | "slow-start"
    | "outside-regions"
    | "evacuated"
    | "account-share-exceeded"
    | "deadline-unreachable"
    | "deadline-passed"
    | "retry-budget-exhausted"
    | "key-invalid"
    | "key-expired"
    | "key-predates-owner"
    | "key-in-progress"
    | "key-already-accepted"
    | "key-reused-with-other-body"
    | "not-key-owner"
    | "crashes-backend-servers"
    | "may-crash-backend-servers"
    | "backend-server-crashed"
    | "backend-server-error"
    | "connection-lost"
    | "answer-mismatched"
    | "invalid-request"
    | "internal-error"
    | "canceled";

/** Reason for which the backend servers of a service accept no requests for a while. */
export type BlockedReason = Extract<RefusalReason, "turned-away" | "rate-limited" | "slow-start">;

/** Final answer to a request that was not answered by a backend server. */
export interface Refusal {
    readonly ran: RanState;
    readonly reason: RefusalReason;
    /** Seconds after which the caller may send the request again. */
    readonly retryAfterSeconds: number;
    readonly detail?: string | undefined;
}

/** Caller's request, as input of the decision functions. */
export interface RequestRow {
    readonly requestId: RequestId;
    readonly deployment: DeploymentName;
    readonly clientAccount: ClientAccount;
    /** 0 (lowest) to 9 (highest). */
    readonly priority: number;
    /** Time by which the answer must begin, on the monotonic clock of the process. */
    readonly deadline: Milliseconds;
    /** Time at which the process received the request, on its monotonic clock. */
    readonly receivedAt: Milliseconds;
    readonly idempotent: boolean;
    /** UUIDv7; undefined for idempotent requests without a key. */
    readonly idempotencyKey: string | undefined;
    readonly fingerprint: Fingerprint;
    /** Fingerprints of the parts of the prompt that other requests may share. Default: none. */
    readonly partFingerprints?: readonly Fingerprint[] | undefined;
    /** Digest of the prefix of the prompt; undefined for plain services. */
    readonly prefix: string | undefined;
    /** True if the answer can no longer come within the target of its route. Default: false. */
    readonly missedTarget?: boolean | undefined;
    /** True if its caller has returned after a refusal, as far as its remaining time shows. Default: false. */
    readonly hasReturned?: boolean | undefined;
    /** Time until which the caller waits, on the monotonic clock of the process. Default: not known. */
    readonly endsAt?: Milliseconds | undefined;
    /** Name of the part of the backend servers that may serve it, such as a set of regions. Default: any may. */
    readonly capacityPool?: string | undefined;
}

/** Identity of the weights that an answer was computed with. */
export interface AnswerIdentity {
    readonly version: string;
    readonly manifestDigest: ManifestDigest;
    readonly placementOffset: Offset;
}
