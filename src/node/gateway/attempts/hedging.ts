import { type AnswerSilenceTable, computeNeededTime } from "../../../runtime/gateway/index.js";
import { decideHedge, type RetryBudget, type RetryOptions } from "../../../runtime/retry/index.js";
import { recordOutcome, type RoutingOptions } from "../../../runtime/routing/index.js";
import type { Clock, Milliseconds } from "../../../types/index.js";
import type { CrashRefusals } from "../crashes/crashRefusals.js";
import type { GatewayMetrics } from "../gatewayMetrics.js";
import type { RequestLog } from "../requestLog.js";
import type { RegionLimits } from "../selection/regionLimits.js";
import type { RemainingWork } from "../selection/remainingWork.js";
import type { ServerSelection, ServerSelector } from "../selection/serverSelector.js";
import type { GatewayRequest } from "../types.js";
import { type RacingAttempt, readSilence } from "./attemptRace.js";
import type { AttemptRunner } from "./attemptRunner.js";
import { allowsAttempt, mustComplete, type RequestProgress } from "./requestProgress.js";

/** Dependencies of {@link createHedging}. */
export interface HedgingInput {
    readonly clock: Clock;
    readonly choice: Pick<ServerSelector, "select">;
    readonly regions: RegionLimits;
    readonly crashRefusals: Pick<CrashRefusals, "mayCrash">;
    readonly findBudget: (service: string) => RetryBudget;
    readonly readRetry: () => RetryOptions;
    readonly routing: RoutingOptions;
    readonly log: Pick<RequestLog, "hedge" | "routing">;
    readonly metrics: Pick<GatewayMetrics, "countHedge" | "countRetry">;
    readonly runner: AttemptRunner;
    readonly silences: AnswerSilenceTable;
    readonly work: Pick<RemainingWork, "estimate">;
}

/** Sends a request to another backend server beside one that is silent or slow; the first answer is used. */
export interface Hedging {
    /**
     * Starts an attempt, beside which others may be started later.
     *
     * @param request - the request
     * @param progress - attempts so far; updated
     * @param selection - chosen backend server
     */
    start(request: GatewayRequest, progress: RequestProgress, selection: ServerSelection): void;
    /**
     * Starts an attempt in place of one that has failed, if those in flight are silent.
     *
     * @param request - the request
     * @param progress - attempts so far; updated
     */
    replace(request: GatewayRequest, progress: RequestProgress): void;
}

/**
 * Creates the hedging of requests.
 *
 * @param input - attempts, retry budget, log and metrics
 * @returns the hedging
 */
export function createHedging(input: HedgingInput): Hedging {
    const { clock, log, metrics, runner } = input;

    function computeNeeded({ route }: GatewayRequest, { race }: RequestProgress): Milliseconds {
        const longest = Math.max(...race.listInFlight().map(attempt => readSilence(attempt, clock)));
        return computeNeededTime(input.silences, route.name, longest);
    }

    function start(request: GatewayRequest, progress: RequestProgress, selection: ServerSelection): void {
        runner.start(request, progress, selection, {
            onSilent: (attempt, silence) => {
                const isFirst = attempt.silentSince === undefined;
                attempt.silentSince = clock.monotonic() - silence;
                consider(request, progress, attempt, computeNeeded(request, progress), isFirst);
            },
            onSlow: attempt => {
                attempt.silentSince ??= clock.monotonic();
                consider(request, progress, attempt, 0, true);
            },
        });
    }

    function consider(
        request: GatewayRequest,
        progress: RequestProgress,
        attempt: RacingAttempt,
        needed: Milliseconds,
        isFirst: boolean,
    ): void {
        const { service } = request;
        const now = clock.monotonic();
        const inFlight = progress.race.listInFlight();
        if (!inFlight.includes(attempt)) {
            return;
        }
        const remaining = request.endsAt - now;
        const budget = input.findBudget(service.name);
        const selection = input.choice.select(
            service,
            progress.excluded,
            input.regions.find(request),
            input.work.estimate(request),
        );
        const decision = decideHedge({
            idempotent: request.row.idempotent,
            attempts: allowsAttempt(request, progress, now) ? progress.sent + inFlight.length : Infinity,
            isOtherResponsive: inFlight.some(other => other !== attempt && other.silentSince === undefined),
            mustComplete: mustComplete(request, progress),
            waitsForCaller: request.response.writableNeedDrain,
            mayCrash: input.crashRefusals.mayCrash(request, progress),
            hasServer: selection.server !== undefined,
            waitingThere: selection.server?.runner.reportedWaiting ?? 0,
            remaining,
            needed,
            budget,
            now,
            options: { ...input.readRetry(), maximumAttempts: request.route.maximumAttempts },
        });
        if (isFirst || decision.kind === "hedge") {
            const { instance } = attempt.server.listed;
            log.hedge(request, decision, { peer: instance, silence: now - attempt.silentSince!, remaining, budget });
        }
        if (decision.countsAgainstServer && !attempt.hasFailed) {
            attempt.hasFailed = true;
            recordOutcome(attempt.server.runner, "failed", now, input.routing);
        }
        if (decision.kind === "wait") {
            return;
        }
        metrics.countHedge(request);
        metrics.countRetry(request);
        log.routing(request, selection, progress.attempts + 1);
        start(request, progress, selection);
    }

    return {
        start,
        replace: (request, progress) => {
            const newest = progress.race.listInFlight().at(-1);
            if (newest?.silentSince !== undefined) {
                consider(request, progress, newest, computeNeeded(request, progress), false);
            }
        },
    };
}
