import type { RanState, Refusal } from "../../../types/index.js";
import type { RequestProgress } from "../attempts/requestProgress.js";
import type { GatewayRequest } from "../types.js";
import type { CrashEvidenceStore } from "./crashEvidenceStore.js";
import type { CrashWatch } from "./crashWatch.js";

/** Evidence about requests that crash backend servers. */
export type CrashEvidenceReader = Pick<
    CrashEvidenceStore,
    "hasRivalParts" | "listHoldingParts" | "mayRepeat" | "readStanding"
>;

/** Refusals of requests that may crash backend servers. */
export interface CrashRefusals {
    /**
     * Finds the reason for which a request gets no attempt while none is in flight.
     *
     * @param request - the request
     * @param progress - attempts so far
     * @returns the refusal; undefined if the request may be sent
     */
    find(request: GatewayRequest, progress: RequestProgress): Refusal | undefined;
    /**
     * Tells whether a further attempt may crash another backend server.
     *
     * @param request - the request
     * @param progress - attempts so far
     * @returns true if it must not be started
     */
    mayCrash(request: GatewayRequest, progress: RequestProgress): boolean;
}

/** Retry time in seconds for callers while another request shows whether a part of the prompt crashes backend servers. */
const suspectRetryAfterSeconds = 0.5;

/**
 * Describes the refusal of a condemned request. The caller is not asked to retry, since the request would crash the next
 * backend server too.
 *
 * @param ran - whether the request may have run
 * @returns the refusal
 */
export function describeCondemned(ran: RanState): Refusal {
    return { ran, reason: "crashes-backend-servers", retryAfterSeconds: 0 };
}

/** A part of the prompt may have crashed a backend server, and other requests show whether it has. */
function describeSuspect(ran: RanState): Refusal {
    return { ran, reason: "may-crash-backend-servers", retryAfterSeconds: suspectRetryAfterSeconds };
}

/**
 * Creates the refusals.
 *
 * @param evidence - evidence about requests that crash backend servers
 * @param crashes - attempts without an answer
 * @returns the refusals
 */
export function createCrashRefusals(
    evidence: CrashEvidenceReader,
    crashes: Pick<CrashWatch, "isAwaitingAnswer">,
): CrashRefusals {
    function find({ row }: GatewayRequest, { mayHaveRun, writer }: RequestProgress): Refusal | undefined {
        const ran = mayHaveRun ? "unknown" : "no";
        if (evidence.readStanding(row) === "condemned") {
            return describeCondemned(ran);
        }
        // A stream that has begun is resumed beside others with its parts, since the caller would lose it otherwise.
        const isSuspect = evidence.hasRivalParts(row) ||
            (!writer.headSent() && crashes.isAwaitingAnswer(evidence.listHoldingParts(row)));
        return isSuspect ? describeSuspect(ran) : undefined;
    }

    return {
        find,
        mayCrash: (request, progress) => !evidence.mayRepeat(request.row) || find(request, progress) !== undefined,
    };
}
