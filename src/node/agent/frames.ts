import { create, type MessageInitShape } from "@bufbuild/protobuf";
import type { ServerWritableStream } from "@grpc/grpc-js";
import {
    type ExecuteFrame,
    ExecuteFrameSchema,
    type ExecuteRequest,
    type ResponseStartSchema,
} from "../../generated/goldcrestpoint_pb.js";
import type { StoredAnswer } from "../../runtime/idempotency/index.js";
import type { Fingerprint, Refusal } from "../../types/index.js";

/** Call of the `Execute` method. */
export type ExecuteCall = ServerWritableStream<ExecuteRequest, ExecuteFrame>;

/** Largest part of an answer in one frame, in bytes. */
const maximumFrameBytes = 64 * 1024;

/** Crash of a backend server with requests in progress. */
export interface BackendServerCrash {
    readonly crashId: string;
    readonly fingerprints: readonly Fingerprint[];
}

/** Writes the frames of one answer in order. */
export interface FrameWriter {
    /** True once the caller has canceled the call. */
    readonly canceled: boolean;
    start(content: MessageInitShape<typeof ResponseStartSchema>): Promise<void>;
    data(content: Uint8Array): Promise<void>;
    /** Ends a complete answer. */
    end(): void;
    /**
     * Ends the stream with a refusal; an answer that has started counts as broken off.
     *
     * @param refusal - the refusal
     * @param crash - crash of the backend server while the request was in progress
     */
    refuse(refusal: Refusal, crash?: BackendServerCrash): void;
}

/**
 * Creates the writer of one call's frames.
 *
 * @param call - the call
 * @returns the writer
 */
export function createFrameWriter(call: ExecuteCall): FrameWriter {
    const { requestId } = call.request;
    let sequence = 0;
    let dataFrames = 0;
    let finished = false;

    async function write(content: MessageInitShape<typeof ExecuteFrameSchema>["content"]): Promise<void> {
        if (call.cancelled || finished) {
            return;
        }
        const flushed = call.write(create(ExecuteFrameSchema, { requestId, sequence, content: content! }));
        sequence += 1;
        if (!flushed) {
            await waitForDrain(call);
        }
    }

    return {
        get canceled() {
            return call.cancelled;
        },
        start: content => write({ case: "start", value: content }),
        data: async content => {
            for (let offset = 0; offset < content.length; offset += maximumFrameBytes) {
                dataFrames += 1;
                await write({ case: "data", value: content.subarray(offset, offset + maximumFrameBytes) });
            }
        },
        end: () => {
            if (finished) {
                return;
            }
            void write({ case: "end", value: { frames: dataFrames } });
            finished = true;
            call.end();
        },
        refuse: (refusal, crash) => {
            if (finished) {
                return;
            }
            void write({
                case: "refusal",
                value: {
                    ran: refusal.ran,
                    reason: refusal.reason,
                    retryAfterSeconds: refusal.retryAfterSeconds,
                    detail: refusal.detail ?? "",
                    backendServerCrashed: crash !== undefined,
                    crashId: crash?.crashId ?? "",
                    fingerprintsInProgress: [...crash?.fingerprints ?? []],
                },
            });
            finished = true;
            call.end();
        },
    };
}

/**
 * Sends a stored answer.
 *
 * @param writer - writer of a call without frames
 * @param answer - the answer
 */
export async function replayAnswer(writer: FrameWriter, answer: StoredAnswer): Promise<void> {
    const { body, contentType, status, weights } = answer;
    await writer.start({ status, contentType, ...weights });
    await writer.data(body);
    writer.end();
}

function waitForDrain(call: ExecuteCall): Promise<void> {
    return new Promise(resolve => {
        const finish = (): void => {
            call.off("drain", finish);
            call.off("cancelled", finish);
            resolve();
        };
        call.on("drain", finish);
        call.on("cancelled", finish);
    });
}
