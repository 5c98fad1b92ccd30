import { err, type Result } from "true-myth/result";
import { type AnswerSilenceTable, computeSilenceLimit, recordAnswerSilence } from "../../../runtime/gateway/index.js";
import { recordOutcome, type RoutingOptions, type RunnerOutcome } from "../../../runtime/routing/index.js";
import type { CallerProtocol, Clock, Milliseconds } from "../../../types/index.js";
import type { AnswerRelay } from "../answers/answerRelay.js";
import type { CrashWatch, TrackedAttempt } from "../crashes/crashWatch.js";
import type { RateLimits } from "../membership/rateLimits.js";
import type { ServerNotices } from "../membership/serverNotices.js";
import type { SlowStarts } from "../membership/slowStarts.js";
import type { RequestLog } from "../requestLog.js";
import type { RegionLimits } from "../selection/regionLimits.js";
import type { RemainingWork } from "../selection/remainingWork.js";
import type { ServerSelection, ServerSelector } from "../selection/serverSelector.js";
import type { AttemptFailure, GatewayRequest } from "../types.js";
import { openAttempt } from "./attempt.js";
import type { RacingAttempt } from "./attemptRace.js";
import type { BackendClients } from "./backendClients.js";
import { minimumRemainingTime, type RequestProgress } from "./requestProgress.js";
import { reachedServer, startAttempt } from "./startedAttempt.js";

/** Dependencies of {@link createAttemptRunner}. */
export interface AttemptRunnerInput {
    readonly protocol: CallerProtocol;
    readonly clock: Clock;
    readonly choice: ServerSelector;
    readonly regions: RegionLimits;
    readonly clients: BackendClients;
    readonly work: RemainingWork;
    readonly crashes: CrashWatch;
    readonly notices: Pick<ServerNotices, "recordHead">;
    readonly rateLimits: Pick<RateLimits, "recordHead" | "recordSend">;
    readonly slowStarts: Pick<SlowStarts, "recordHead" | "recordLoss" | "recordSend">;
    readonly routing: RoutingOptions;
    /** Shortest time without a byte after which an idempotent request is also sent to another backend server. */
    readonly switchAfter: Milliseconds;
    readonly log: Pick<RequestLog, "invalidStatus">;
    readonly relay: AnswerRelay;
    readonly silences: AnswerSilenceTable;
}

/** Is notified of an attempt whose backend server makes no progress; the attempt continues. */
export interface StallHandlers {
    /**
     * @param attempt - attempt without a byte, or without a complete event
     * @param silence - for how long
     */
    onSilent(attempt: RacingAttempt, silence: Milliseconds): void;
    /** @param attempt - attempt whose answer is not expected to be complete in time */
    onSlow(attempt: RacingAttempt): void;
}

/** Sends requests to backend servers, and keeps the state of the servers up to date. */
export interface AttemptRunner {
    /**
     * Starts an attempt, which relays its answer if no other attempt has claimed it.
     *
     * @param request - the request
     * @param progress - attempts so far; updated
     * @param selection - chosen backend server
     * @param handlers - notified if the backend server makes no progress
     */
    start(
        request: GatewayRequest,
        progress: RequestProgress,
        selection: ServerSelection,
        handlers: StallHandlers,
    ): void;
}

/** Attempt that is running. */
interface AttemptRun {
    readonly request: GatewayRequest;
    readonly progress: RequestProgress;
    readonly selection: ServerSelection;
    readonly handlers: StallHandlers;
    readonly attempt: RacingAttempt;
    readonly tracked: TrackedAttempt;
}

/** A paused backend server gets no further requests, so its refusal does not count as an attempt of the request. */
function countsAsAttempt(failure: AttemptFailure): boolean {
    return reachedServer(failure) && failure.reason !== "turned-away";
}

/** A backend server that was restarted refuses or resets connections before the list shows the restart. */
function mayHaveRestarted({ reason, serverAtFault }: AttemptFailure, { signal }: RacingAttempt): boolean {
    return reason === "connection-lost" && serverAtFault && !signal.aborted;
}

function classifyOutcome({ hasFailed, signal }: RacingAttempt, outcome: Result<void, AttemptFailure>): RunnerOutcome {
    if (outcome.isOk) {
        return "succeeded";
    }
    // Silence was recorded as a failure when it was noticed.
    return outcome.error.serverAtFault && !signal.aborted && !hasFailed ? "failed" : "neutral";
}

/**
 * Creates the runner of attempts.
 *
 * @param input - protocol, connections and state of the backend servers
 * @returns the runner
 */
export function createAttemptRunner(input: AttemptRunnerInput): AttemptRunner {
    const { choice: selector, clock, log, notices, protocol, rateLimits, relay, silences, slowStarts, work } = input;

    async function send(attemptRun: AttemptRun): Promise<Result<void, AttemptFailure>> {
        const { attempt, handlers, progress, request, selection, tracked } = attemptRun;
        const { server } = attempt;
        const { route } = request;
        const now = clock.monotonic();
        const remaining = request.endsAt - now;
        const bounds = { shortest: input.switchAfter, remaining };
        const release = selector.trackAttempt(server);
        const { decision } = selection;
        const remainingWork = work.begin(server, request, {
            cost: selection.cost,
            expected: decision.kind === "selected" ? decision.expected : undefined,
            continues: (progress.lastEvent ?? request.call.resumeAfter) !== undefined,
        });
        rateLimits.recordSend(server);
        slowStarts.recordSend(server);
        const started = startAttempt(server, clock);
        try {
            const opened = await openAttempt({ protocol, clock, log, notices, rateLimits, slowStarts, work }, {
                request,
                server,
                client: input.clients.find(server.listed),
                forwarded: {
                    instance: server.runner.instance,
                    remaining,
                    clientAccount: request.account?.name,
                    resumeAfter: progress.lastEvent ?? request.call.resumeAfter,
                    version: selection.version,
                    engineRank: request.engineRank,
                },
                limits: {
                    silentAfter: request.row.idempotent ? computeSilenceLimit(silences, route.name, bounds) : Infinity,
                    onSilent: silence => handlers.onSilent(attempt, silence),
                    onSlow: () => handlers.onSlow(attempt),
                },
                findWithholding: () => selector.findWithholding(server, input.regions.find(request)),
                headTimeout: Math.max(minimumRemainingTime, (selection.headDeadline ?? Infinity) - now),
                signal: attempt.signal,
            });
            started.recordHead(opened);
            if (opened.isErr) {
                return err(opened.error);
            }
            attempt.silentSince = undefined;
            const relayed = await relay.relayAnswer(request, progress, opened.value, {
                signal: attempt.signal,
                claim: () => attempt.claim(),
                hasRivals: () => attempt.hasRivals(),
                receivedEvent: () => {
                    remainingWork.recordEvent();
                    tracked.receivedEvent();
                },
                completed: succeeded => tracked.completed(succeeded, opened.value.framing),
            });
            if (relayed.isOk) {
                remainingWork.end(true);
                recordAnswerSilence(silences, route.name, opened.value.readLongestSilence());
            }
            return relayed;
        }
        finally {
            started[Symbol.dispose]();
            remainingWork.end(false);
            release();
        }
    }

    async function run(attemptRun: AttemptRun): Promise<Result<void, AttemptFailure>> {
        const { attempt, progress, tracked } = attemptRun;
        const { runner } = attempt.server;
        const outcome = await send(attemptRun);
        progress.sent += outcome.isOk || countsAsAttempt(outcome.error) ? 1 : 0;
        if (outcome.isErr && outcome.error.reason === "not-serving") {
            // Another backend server uses the address now, or the weights have changed. A report or the list resets it.
            runner.phase = "waiting";
        }
        if (outcome.isErr && mayHaveRestarted(outcome.error, attempt)) {
            slowStarts.recordLoss(attempt.server);
        }
        recordOutcome(runner, classifyOutcome(attempt, outcome), clock.monotonic(), input.routing);
        await tracked.finish(outcome.isErr && outcome.error.connectionBroke);
        return outcome;
    }

    return {
        start: (request, progress, selection, handlers) => {
            const server = selection.server!;
            progress.attempts++;
            progress.excluded.add(server.listed.instance);
            progress.race.start(server, async attempt => {
                const tracked = input.crashes.trackAttempt(server.listed, request.row);
                return run({ request, progress, selection, handlers, attempt, tracked });
            });
        },
    };
}
