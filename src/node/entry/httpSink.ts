import type { ServerResponse } from "node:http";
import type { ResponseStart } from "../../generated/goldcrestpoint_pb.js";
import type { Refusal, RefusalReason } from "../../types/index.js";
import type { MemoryReservation, ResponseMemoryLimit } from "../httpClient/index.js";
import { abortResponse, sendJson } from "../httpServer/index.js";
import type { AttemptSink } from "./attempt.js";
import type { ResponseSink } from "./requestPipeline.js";

/** HTTP status by refusal reason, for reasons that are not answered with the default status. */
const statusByReason: Partial<Readonly<Record<RefusalReason, number>>> = {
    "no-deployment": 404,
    "queue-full": 429,
    "account-share-exceeded": 429,
    "deadline-unreachable": 504,
    "deadline-passed": 504,
    "key-invalid": 400,
    "key-expired": 409,
    "key-predates-owner": 409,
    "key-in-progress": 409,
    "key-already-accepted": 409,
    "key-reused-with-other-body": 409,
    "crashes-backend-servers": 422,
    "invalid-request": 400,
    "internal-error": 502,
};
const defaultHttpStatus = 503;

/** Bytes of a non-streaming answer that are held back at most; a larger one is sent as it arrives. */
const maximumHeldBodyBytes = 32 * 1024 * 1024;

/** Thrown if an answer can no longer be held back, since all answers together exceed their memory limit. */
export class HeldAnswerEvictedError extends Error {
    constructor() {
        super("the answer was dropped to free memory for others");
    }
}

/**
 * Creates the sink that writes the answer to an HTTP response. A non-streaming answer is sent once it is complete, so
 * that the request can be retried or refused if an attempt breaks; an event stream is forwarded as it arrives.
 *
 * @param response - response to the caller
 * @param requestId - request identifier that is sent as `x-request-id`
 * @param onFirstByte - called when the first byte of the answer is sent
 * @param memoryLimit - limit on the bytes of all answers that are held back. Default: none
 * @returns the sink
 */
export function createHttpSink(
    response: ServerResponse,
    requestId: string,
    onFirstByte: () => void,
    memoryLimit?: ResponseMemoryLimit,
): ResponseSink {
    let heldParts: Uint8Array[] = [];
    let heldBytes = 0;
    let heldStart: ResponseStart | undefined;
    let begun = false;
    let reservation: MemoryReservation | undefined;
    response.once("close", () => reservation?.close());

    function sendHead(start: ResponseStart): void {
        onFirstByte();
        response.writeHead(start.status, {
            "content-type": start.contentType,
            "x-request-id": requestId,
            "x-model": start.model,
            "x-adapter": start.adapter,
            "x-version": start.version,
            "x-manifest-digest": start.manifestDigest,
        });
        begun = true;
    }

    function flush(start: ResponseStart): void {
        if (!begun) {
            sendHead(start);
        }
        for (const part of heldParts) {
            response.write(part);
        }
        dropHeld();
    }

    function dropHeld(): void {
        heldParts = [];
        heldBytes = 0;
        reservation?.close();
    }

    function beginAttempt(): AttemptSink {
        dropHeld();
        heldStart = undefined;
        let isEvicted = false;
        reservation = memoryLimit?.open(() => {
            isEvicted = true;
            dropHeld();
        });
        return {
            start: start => {
                heldStart = start;
            },
            data: content => {
                if (!isEvicted) {
                    heldParts.push(content);
                    heldBytes += content.length;
                    reservation?.add(content.length);
                }
                if (isEvicted) {
                    throw new HeldAnswerEvictedError();
                }
                const streamed = heldStart!.contentType.startsWith("text/event-stream");
                if (!streamed && heldBytes <= maximumHeldBodyBytes) {
                    return undefined;
                }
                flush(heldStart!);
                return response.writableNeedDrain ? waitForDrain(response) : undefined;
            },
        };
    }

    function endBrokenAnswer(refusal: Refusal): void {
        if (heldStart?.contentType.startsWith("text/event-stream") === true) {
            response.end(`event: error\ndata: ${JSON.stringify({ error: describeRefusal(refusal, requestId) })}\n\n`);
            return;
        }
        abortResponse(response);
    }

    return {
        get begun() {
            return begun;
        },
        beginAttempt,
        complete: start => {
            flush(start);
            response.end();
        },
        refuse: refusal => {
            if (begun) {
                endBrokenAnswer(refusal);
                return;
            }
            sendJson(
                response,
                chooseStatus(refusal),
                { error: describeRefusal(refusal, requestId) },
                {
                    "x-request-id": requestId,
                    ...(refusal.retryAfterSeconds > 0 ? { "retry-after": String(refusal.retryAfterSeconds) } : {}),
                },
            );
        },
    };
}

function chooseStatus({ ran, reason }: Refusal): number {
    // An exception before the request was sent to an agent is no answer of a backend server.
    return reason === "internal-error" && ran === "no" ?
        defaultHttpStatus :
        statusByReason[reason] ?? defaultHttpStatus;
}

function describeRefusal(refusal: Refusal, requestId: string): Readonly<Record<string, unknown>> {
    const { ran, reason, retryAfterSeconds, detail } = refusal;
    return { ran, reason, retryAfterSeconds, requestId, ...(detail === undefined ? {} : { detail }) };
}

function waitForDrain(response: ServerResponse): Promise<void> {
    return new Promise(resolve => {
        const finish = (): void => {
            response.off("drain", finish);
            response.off("close", finish);
            resolve();
        };
        response.on("drain", finish);
        response.on("close", finish);
    });
}
