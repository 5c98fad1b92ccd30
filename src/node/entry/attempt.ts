import { create } from "@bufbuild/protobuf";
import { type ServiceError, status } from "@grpc/grpc-js";
import {
    type ExecuteFrame,
    type ExecuteRequest,
    ExecuteRequestSchema,
    type Refusal as RefusalMessage,
    type ResponseStart,
} from "../../generated/goldcrestpoint_pb.js";
import type { Milliseconds, RanState, Refusal, RefusalReason } from "../../types/index.js";
import type { CrashReport } from "../crashes/index.js";
import type { AgentClient } from "../grpc/index.js";
import { isHttpStatus } from "../httpClient/index.js";
import { createInterruption } from "../httpClient/interruption.js";
import { HeldAnswerEvictedError } from "./httpSink.js";

/** Lowest status of an answer that is not an interim one. */
const lowestFinalStatus = 200;

/** Receives the answer of one attempt, part by part. */
export interface AttemptSink {
    start(start: ResponseStart): void;
    /** @returns a promise that resolves when more data can be taken; undefined if it can be taken at once */
    data(content: Uint8Array): Promise<void> | undefined;
}

/** How an attempt ended. */
export type AttemptOutcome =
    | { readonly kind: "complete"; readonly start: ResponseStart; }
    | {
        readonly kind: "failed";
        readonly refusal: Refusal;
        readonly crash: CrashReport | undefined;
        /** True if the connection broke after the request was sent, so that the agent could not report a crash. */
        readonly connectionBroke: boolean;
        /** Status of the answer if it is none of HTTP, or that of an interim answer. Default: the status is valid. */
        readonly invalidStatus?: number;
    };

type FailedAttempt = Extract<AttemptOutcome, { kind: "failed"; }>;

/** Input of {@link executeAttempt}. */
export interface AttemptInput {
    readonly client: AgentClient;
    readonly request: Omit<ExecuteRequest, "$typeName" | "$unknown">;
    readonly sink: AttemptSink;
    readonly signal: AbortSignal;
    /** Time within which the agent has to complete the answer. */
    readonly timeLimit: Milliseconds;
}

/**
 * Sends a request to an agent and forwards the answer to the sink. Frames must carry the request's identifier and
 * consecutive sequence numbers, from one start frame to one end frame; otherwise the attempt fails with
 * `answer-mismatched`.
 *
 * @param input - agent, request and receiver of the answer
 * @returns how the attempt ended; never rejects
 */
export async function executeAttempt(input: AttemptInput): Promise<AttemptOutcome> {
    const { client, request, signal } = input;
    if (signal.aborted) {
        return createFailure("no", "canceled");
    }
    // A deadline of the call itself would end it before the event loop reads what arrived during a standstill.
    const limit = createInterruption(signal);
    limit.setTimeLimit(input.timeLimit);
    const call = client.execute(create(ExecuteRequestSchema, request));
    limit.signal.addEventListener("abort", () => call.cancel());
    const progress: Progress = { start: undefined, sequence: 0, dataFrames: 0 };
    try {
        for await (const message of call) {
            const outcome = await processFrame({ ...input, signal: limit.signal }, progress, message as ExecuteFrame);
            if (outcome === "mismatched" || typeof outcome === "number") {
                // Otherwise the agent would continue to send an answer that is discarded.
                call.cancel();
                const failure = createFailure("unknown", "answer-mismatched");
                return outcome === "mismatched" ? failure : { ...failure, invalidStatus: outcome };
            }
            if (outcome !== undefined) {
                return outcome;
            }
        }
        return createFailure("unknown", "connection-lost", true);
    }
    catch (error) {
        if (error instanceof HeldAnswerEvictedError) {
            call.cancel();
            return createFailure("unknown", "connection-lost");
        }
        if (limit.timedOut()) {
            return createFailure("unknown", "deadline-passed");
        }
        return signal.aborted ?
            createFailure("unknown", "canceled") :
            classifyCallError(error as ServiceError, progress.sequence);
    }
    finally {
        limit.dispose();
    }
}

interface Progress {
    start: ResponseStart | undefined;
    /** Number of frames received, which is the sequence number expected next. */
    sequence: number;
    dataFrames: number;
}

/** Agents of an earlier build forward any status that a backend server sent. */
function isFinalStatus(status: number): boolean {
    return isHttpStatus(status) && status >= lowestFinalStatus;
}

/** Returns the outcome or the invalid status if the frame ends the attempt; undefined if more frames have to follow. */
async function processFrame(
    { request, signal, sink }: AttemptInput,
    progress: Progress,
    { content, requestId, sequence }: ExecuteFrame,
): Promise<AttemptOutcome | "mismatched" | number | undefined> {
    if (requestId !== request.requestId || sequence !== progress.sequence) {
        return "mismatched";
    }
    progress.sequence += 1;
    const { start } = progress;
    if (content.case === "refusal") {
        return convertRefusal(content.value);
    }
    if (content.case === "start" && !isFinalStatus(content.value.status)) {
        return content.value.status;
    }
    if (content.case === "start" && start === undefined) {
        progress.start = content.value;
        sink.start(content.value);
        return undefined;
    }
    if (content.case === "data" && start !== undefined) {
        progress.dataFrames += 1;
        await waitUnlessAborted(sink.data(content.value), signal);
        return undefined;
    }
    const isComplete = content.case === "end" && content.value.frames === progress.dataFrames;
    return isComplete && start !== undefined ? { kind: "complete", start } : "mismatched";
}

/** Waits for a caller that reads slowly, until the request is aborted. */
async function waitUnlessAborted(taken: Promise<void> | undefined, signal: AbortSignal): Promise<void> {
    if (taken === undefined || signal.aborted) {
        return;
    }
    await new Promise<void>(resolve => {
        const finish = (): void => {
            signal.removeEventListener("abort", finish);
            resolve();
        };
        signal.addEventListener("abort", finish);
        void taken.then(finish);
    });
}

function createFailure(ran: RanState, reason: RefusalReason, connectionBroke = false): FailedAttempt {
    return { kind: "failed", refusal: { ran, reason, retryAfterSeconds: 1 }, crash: undefined, connectionBroke };
}

function convertRefusal(message: RefusalMessage): AttemptOutcome {
    return {
        kind: "failed",
        refusal: {
            ran: message.ran === "no" ? "no" : "unknown",
            reason: message.reason as RefusalReason,
            retryAfterSeconds: message.retryAfterSeconds,
            detail: message.detail === "" ? undefined : message.detail,
        },
        crash: message.backendServerCrashed ?
            {
                crashId: message.crashId,
                fingerprints: message.fingerprintsInProgress,
                alone: message.fingerprintsInProgress.length === 1,
            } :
            undefined,
        connectionBroke: false,
    };
}

/**
 * If the connection could not be established, the request was not sent; if the agent was stopping, its server refused
 * the stream before the request was read. After any other error the agent may have received it. grpc-js reports these
 * details only in the two cases.
 */
const notReadDetails = ["No connection established", "Stream refused by server"];

function classifyCallError(error: ServiceError, framesReceived: number): AttemptOutcome {
    const wasNotRead = framesReceived === 0 && error.code === status.UNAVAILABLE &&
        notReadDetails.some(details => error.details.startsWith(details));
    if (wasNotRead) {
        return createFailure("no", "connection-lost");
    }
    return error.code === status.DEADLINE_EXCEEDED ?
        createFailure("unknown", "deadline-passed") :
        createFailure("unknown", "connection-lost", true);
}
