import { err, ok, type Result } from "true-myth/result";
import type { Clock, Milliseconds } from "../../../types/index.js";
import type { HttpFailure } from "../../httpClient/index.js";
import type { RacingAttempt } from "../attempts/attemptRace.js";
import type { TrackedAttempt } from "../crashes/crashWatch.js";
import type { GatewayMetrics } from "../gatewayMetrics.js";
import type { RequestLog } from "../requestLog.js";
import type { AnswerEnding, AttemptFailure, GatewayRequest, OpenedAnswer } from "../types.js";
import { sendAnswer, type StreamWriter } from "./callerAnswer.js";
import { createEventSplitter, isLaterEvent, type StreamEvent } from "./eventStream.js";
import { createRelayTurns } from "./relayTurns.js";
import { readAnswer } from "./wholeAnswer.js";

const eventStreamType = "text/event-stream";

/** Bytes of a stream that are relayed in one piece, without letting other requests run. */
const maximumSliceBytes = 16_384;

function slice(part: Uint8Array): readonly Uint8Array[] {
    const count = Math.ceil(part.byteLength / maximumSliceBytes);
    return count <= 1 ?
        [part] :
        Array.from(
            { length: count },
            (...[, index]) => part.subarray(index * maximumSliceBytes, (index + 1) * maximumSliceBytes),
        );
}

/** Dependencies of {@link createAnswerRelay}. */
export interface AnswerRelayInput {
    readonly clock: Clock;
    readonly log: RequestLog;
    readonly metrics: GatewayMetrics;
}

/** Progress of the answer to a request over all attempts. */
export interface RelayProgress {
    /** Identifier of the last event that was sent to the caller. */
    lastEvent: string | undefined;
    /** Media type of the head that was sent to the caller; undefined if it states none, and before it was sent. */
    mediaType: string | undefined;
    /** False once an event without an identifier was sent, which a resumed stream would repeat or leave out. */
    resumable: boolean;
    readonly writer: StreamWriter;
}

/** Attempt whose answer is relayed. */
export type RelayedAttempt =
    & Pick<RacingAttempt, "claim" | "hasRivals" | "signal">
    & Pick<TrackedAttempt, "receivedEvent">
    & {
        /** Records that the answer is complete; see {@link TrackedAttempt}. */
        completed(succeeded: boolean): void;
    };

/** Relays answers of backend servers to callers. */
export interface AnswerRelay {
    /**
     * Relays an answer: a stream event by event, any other answer once it is complete. The attempt claims the answer
     * before it writes to the caller.
     *
     * @param request - request of the caller
     * @param progress - what earlier attempts have relayed; it is updated
     * @param answer - answer whose head was checked
     * @param attempt - attempt that brought the answer; notified of each event, and of a complete answer
     * @returns nothing, or the reason why the answer could not be relayed completely
     */
    relayAnswer(
        request: GatewayRequest,
        progress: RelayProgress,
        answer: OpenedAnswer,
        attempt: RelayedAttempt,
    ): Promise<Result<void, AttemptFailure>>;
}

function describeEnding({ signal }: RelayedAttempt, relayed: Result<void, AttemptFailure>): AnswerEnding {
    if (relayed.isOk || relayed.error.answer !== undefined) {
        return "complete";
    }
    return signal.aborted ? "canceled" : "broken-off";
}

const supersededFailure: AttemptFailure = {
    ran: "unknown",
    reason: "canceled",
    detail: "another attempt was answered first",
    serverAtFault: false,
    connectionBroke: false,
};

function describeInterruption(cause: unknown, { framing }: OpenedAnswer, bytes: number): AttemptFailure {
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

/** Events of one piece of a stream. */
interface SelectedEvents {
    /** Events to send to the caller. */
    readonly selected: readonly StreamEvent[];
    /** Why the stream cannot be relayed any further; undefined if it can. */
    readonly fault: Error | undefined;
}

/** Times at which a stream has delivered something. */
interface StreamProgress {
    /** Monotonic time of the last event with data, or of the last check that found none for too long. */
    readonly lastEventAt: Milliseconds;
    /** Monotonic time of the last bytes. */
    readonly lastPartAt: Milliseconds;
}

/**
 * Checks that a stream that delivers bytes still delivers events with data. Empty lines and comments are none, since a
 * backend server that is stuck may send them without end. The time since the last bytes does not count: the event loop
 * may have been blocked, and the rest of the event may have arrived meanwhile.
 *
 * @returns the progress with the part that has just arrived
 */
function checkProgress(
    { limits }: OpenedAnswer,
    hasData: boolean,
    { lastEventAt, lastPartAt }: StreamProgress,
    now: Milliseconds,
): StreamProgress {
    const silence = lastPartAt - lastEventAt;
    if (!hasData && silence <= limits.silentAfter) {
        return { lastEventAt, lastPartAt: now };
    }
    if (!hasData) {
        limits.onSilent(silence);
    }
    return { lastEventAt: now, lastPartAt: now };
}

function readMediaType({ headers }: OpenedAnswer): string | undefined {
    return headers["content-type"]?.split(";", 1)[0]!.trim().toLowerCase();
}

function sendHead(progress: RelayProgress, answer: OpenedAnswer): void {
    if (!progress.writer.headSent()) {
        progress.mediaType = readMediaType(answer);
        progress.writer.sendHead(answer.status, answer.headers);
    }
}

/** Tells whether an answer is a stream of events; one that resumes a stream has to be of the same media type. */
function isEventStream(
    request: GatewayRequest,
    { mediaType, writer }: RelayProgress,
    answer: OpenedAnswer,
): boolean {
    const isStream = request.route.kind === "streaming" && answer.status >= 200 && answer.status < 300;
    const stated = readMediaType(answer);
    return isStream && (writer.headSent() ? stated === mediaType : stated === undefined || stated === eventStreamType);
}

/**
 * Creates the relay that passes answers of backend servers on to callers.
 *
 * @param input - clock, log and metrics
 * @returns the relay
 */
export function createAnswerRelay({ clock, log, metrics }: AnswerRelayInput): AnswerRelay {
    const turns = createRelayTurns(clock);

    /** Selects the events to send to the caller, and notes that they are sent. Ends with the first that is invalid. */
    function selectEvents(
        progress: RelayProgress,
        attempt: RelayedAttempt,
        isContinuation: boolean,
        events: readonly StreamEvent[],
    ): SelectedEvents {
        const selected: StreamEvent[] = [];
        for (const event of events) {
            if (event.hasData) {
                attempt.receivedEvent();
            }
            if (isContinuation && event.id === undefined && event.hasData) {
                return { selected, fault: new Error("an event of a resumed stream has no identifier") };
            }
            // A comment is no progress, so it does not end the attempts of others.
            const isIdle = !event.hasData && attempt.hasRivals();
            if (isIdle || !isLaterEvent(event.id, progress.lastEvent) || !attempt.claim()) {
                continue;
            }
            progress.lastEvent = event.id ?? progress.lastEvent;
            progress.resumable &&= event.id !== undefined || !event.hasData;
            selected.push(event);
        }
        return { selected, fault: undefined };
    }

    /** Sends events in one write. Resolves once the connection accepts more; undefined if it does already. */
    function sendEvents(
        request: GatewayRequest,
        progress: RelayProgress,
        answer: OpenedAnswer,
        attempt: RelayedAttempt,
        events: readonly StreamEvent[],
    ): Promise<void> | undefined {
        const { writer } = progress;
        if (!writer.headSent()) {
            metrics.recordFirstByte(request, clock.monotonic() - request.row.receivedAt);
        }
        sendHead(progress, answer);
        const bytes = events.length === 1 ? events[0]!.bytes : Buffer.concat(events.map(event => event.bytes));
        return writer.send(bytes, attempt.signal);
    }

    async function relayStream(
        request: GatewayRequest,
        progress: RelayProgress,
        answer: OpenedAnswer,
        attempt: RelayedAttempt,
    ): Promise<Result<void, AttemptFailure>> {
        const { writer } = progress;
        const splitter = createEventSplitter();
        let pendingBytes = 0;
        const pending = request.held.open(() => answer.discard());
        const isContinuation = writer.headSent();
        let bytes = 0;
        const startedAt = clock.monotonic();
        let delivered: StreamProgress = { lastEventAt: startedAt, lastPartAt: startedAt };
        try {
            for await (const part of answer.body) {
                bytes += part.byteLength;
                for (const piece of slice(part)) {
                    const turn = turns.next(piece.byteLength);
                    if (turn !== undefined) {
                        await turn;
                    }
                    // The body still yields parts that arrived before the request was aborted.
                    attempt.signal.throwIfAborted();
                    const events = splitter.push(piece);
                    const left = splitter.pendingBytes();
                    if (left !== pendingBytes) {
                        pending.add(left - pendingBytes);
                        pendingBytes = left;
                    }
                    delivered = checkProgress(
                        answer,
                        events.some(event => event.hasData),
                        delivered,
                        clock.monotonic(),
                    );
                    const { fault, selected } = selectEvents(progress, attempt, isContinuation, events);
                    const accepted = selected.length > 0 ?
                        sendEvents(request, progress, answer, attempt, selected) :
                        undefined;
                    if (accepted !== undefined) {
                        await accepted;
                    }
                    if (fault !== undefined) {
                        throw fault;
                    }
                }
            }
        }
        catch (error) {
            return err(describeInterruption(error, answer, bytes));
        }
        finally {
            pending.close();
        }
        if (splitter.pendingBytes() > 0) {
            const failure = describeInterruption(new Error("the stream ended within an event"), answer, bytes);
            return err({ ...failure, connectionBroke: answer.framing === "connection" });
        }
        attempt.completed(true);
        if (!attempt.claim()) {
            return err(supersededFailure);
        }
        log.completion(request, answer, bytes);
        sendHead(progress, answer);
        writer.end();
        return ok(undefined);
    }

    async function relayAnswer(
        request: GatewayRequest,
        progress: RelayProgress,
        answer: OpenedAnswer,
        attempt: RelayedAttempt,
    ): Promise<Result<void, AttemptFailure>> {
        const relay = isEventStream(request, progress, answer) ? relayStream : relayWhole;
        const relayed = await relay(request, progress, answer, attempt);
        metrics.countAnswer(request, answer.framing, describeEnding(attempt, relayed));
        return relayed;
    }

    async function relayWhole(
        request: GatewayRequest,
        progress: RelayProgress,
        answer: OpenedAnswer,
        attempt: RelayedAttempt,
    ): Promise<Result<void, AttemptFailure>> {
        const whole = await readAnswer(answer);
        if (whole.isErr) {
            return err(whole.error);
        }
        if (answer.status < 500) {
            attempt.receivedEvent();
            attempt.completed(answer.status < 300);
        }
        log.completion(request, answer, whole.value.body.byteLength);
        const isServerError = answer.status >= 500;
        if (progress.writer.headSent() || (isServerError && request.row.idempotent)) {
            const detail = `answered with status ${answer.status}`;
            // It is kept in case no other attempt brings an answer.
            request.held.add(whole.value.body.byteLength);
            return err({
                ran: "unknown",
                reason: "backend-server-error",
                detail,
                serverAtFault: false,
                connectionBroke: false,
                answer: whole.value,
            });
        }
        if (!attempt.claim()) {
            return err(supersededFailure);
        }
        metrics.recordFirstByte(request, clock.monotonic() - request.row.receivedAt);
        sendAnswer(request.response, whole.value, request.held);
        return ok(undefined);
    }

    return { relayAnswer };
}
