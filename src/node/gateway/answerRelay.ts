import { err, ok, type Result } from "true-myth/result";
import type { Clock, Milliseconds } from "../../types/index.js";
import type { HttpFailure } from "../httpClient/index.js";
import { sendAnswer, type StreamWriter } from "./callerAnswer.js";
import type { FollowedAttempt } from "./crashWatch.js";
import { createEventSplitter, isLaterEvent } from "./eventStream.js";
import type { GatewayMetrics } from "./gatewayMetrics.js";
import type { RequestLog } from "./requestLog.js";
import type { AnswerEnding, AttemptFailure, GatewayRequest, OpenedAnswer } from "./types.js";
import { readAnswer } from "./wholeAnswer.js";

/** Dependencies of {@link createAnswerRelay}. */
export interface AnswerRelayInput {
    readonly clock: Clock;
    readonly log: RequestLog;
    readonly metrics: GatewayMetrics;
}

/** How far the answer to a request has come, over all attempts. */
export interface RelayProgress {
    /** Identifier of the last event that was passed on. */
    lastEvent: string | undefined;
    readonly writer: StreamWriter;
}

/** Passes answers of backend servers on to callers. */
export interface AnswerRelay {
    /**
     * Passes an answer on: a stream event by event, any other answer once it is whole.
     *
     * @param request - request of the caller
     * @param progress - what earlier attempts have passed on; it is brought up to date
     * @param answer - answer whose head was checked
     * @param attempt - is told when the answer has begun
     * @returns why the answer could not be passed on completely
     */
    passOn(
        request: GatewayRequest,
        progress: RelayProgress,
        answer: OpenedAnswer,
        attempt: Pick<FollowedAttempt, "answered">,
    ): Promise<Result<void, AttemptFailure>>;
}

function describeEnding(request: GatewayRequest, passed: Result<void, AttemptFailure>): AnswerEnding {
    if (passed.isOk || passed.error.answer !== undefined) {
        return "complete";
    }
    return request.signal.aborted ? "canceled" : "broken-off";
}

function describeBreak(cause: unknown, { framing }: OpenedAnswer, bytes: number): AttemptFailure {
    const failure = cause instanceof Error ? cause.cause as HttpFailure | undefined : undefined;
    return {
        ran: "unknown",
        reason: "connection-lost",
        detail: cause instanceof Error ? cause.message : String(cause),
        serverAtFault: true,
        connectionBroke: failure?.reason === "connection",
        received: { framing, bytes },
    };
}

/** @returns time of the last whole event */
function checkProgress(
    { limits }: OpenedAnswer,
    events: number,
    lastWholeAt: Milliseconds,
    now: Milliseconds,
): Milliseconds {
    if (events > 0) {
        return now;
    }
    if (now - lastWholeAt > limits.silentAfter) {
        throw new Error(`no event has become whole for ${limits.silentAfter} ms`);
    }
    return lastWholeAt;
}

/**
 * Creates the relay of answers.
 *
 * @param input - clock, log and metrics
 * @returns the relay
 */
export function createAnswerRelay({ clock, log, metrics }: AnswerRelayInput): AnswerRelay {
    async function relayStream(
        request: GatewayRequest,
        progress: RelayProgress,
        answer: OpenedAnswer,
        attempt: Pick<FollowedAttempt, "answered">,
    ): Promise<Result<void, AttemptFailure>> {
        const { writer } = progress;
        const splitter = createEventSplitter();
        let bytes = 0;
        let lastWholeAt = clock.monotonic();
        try {
            for await (const part of answer.body) {
                bytes += part.byteLength;
                const events = splitter.push(part);
                lastWholeAt = checkProgress(answer, events.length, lastWholeAt, clock.monotonic());
                for (const event of events) {
                    // What has arrived before the end of the request is still read.
                    request.signal.throwIfAborted();
                    attempt.answered();
                    if (!isLaterEvent(event.id, progress.lastEvent)) {
                        continue;
                    }
                    if (!writer.headSent()) {
                        metrics.recordFirstByte(request, clock.monotonic() - request.row.receivedAt);
                    }
                    writer.sendHead(answer.status, answer.headers);
                    progress.lastEvent = event.id ?? progress.lastEvent;
                    await writer.send(event.bytes, request.signal);
                }
            }
        }
        catch (error) {
            return err(describeBreak(error, answer, bytes));
        }
        if (splitter.pendingBytes() > 0) {
            return err(describeBreak(new Error("the stream ended within an event"), answer, bytes));
        }
        log.completion(request, answer, bytes);
        writer.sendHead(answer.status, answer.headers);
        writer.end();
        return ok(undefined);
    }

    async function passOn(
        request: GatewayRequest,
        progress: RelayProgress,
        answer: OpenedAnswer,
        attempt: Pick<FollowedAttempt, "answered">,
    ): Promise<Result<void, AttemptFailure>> {
        const isStream = request.route.kind === "streaming" && answer.status >= 200 && answer.status < 300;
        const passed = await (isStream ? relayStream : relayWhole)(request, progress, answer, attempt);
        metrics.countAnswer(request, answer.framing, describeEnding(request, passed));
        return passed;
    }

    async function relayWhole(
        request: GatewayRequest,
        progress: RelayProgress,
        answer: OpenedAnswer,
        attempt: Pick<FollowedAttempt, "answered">,
    ): Promise<Result<void, AttemptFailure>> {
        const whole = await readAnswer(answer);
        if (whole.isErr) {
            return err(whole.error);
        }
        if (answer.status < 500) {
            attempt.answered();
        }
        log.completion(request, answer, whole.value.body.byteLength);
        const isServerError = answer.status >= 500;
        if (progress.writer.headSent() || (isServerError && request.row.idempotent)) {
            const detail = `answered with status ${answer.status}`;
            return err({
                ran: "unknown",
                reason: "backend-server-error",
                detail,
                serverAtFault: false,
                connectionBroke: false,
                answer: whole.value,
            });
        }
        metrics.recordFirstByte(request, clock.monotonic() - request.row.receivedAt);
        sendAnswer(request.response, whole.value);
        return ok(undefined);
    }

    return { passOn };
}
