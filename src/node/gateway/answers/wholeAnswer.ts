import type { Result } from "true-myth/result";
import { isOnPace } from "../../../runtime/gateway/index.js";
import { type HttpStreamingResponse, readWholeBody } from "../../httpClient/index.js";
import { describeFailure } from "../attempts/attempt.js";
import { maximumAnswerBytes } from "../attempts/backendClients.js";
import type { AttemptFailure, BufferedAnswer, OpenedAnswer } from "../types.js";

function readLength({ framing, headers }: HttpStreamingResponse): number | undefined {
    return framing === "length" ? Number(headers["content-length"]) : undefined;
}

/**
 * Reads the whole body of an answer.
 *
 * @param answer - answer whose head was checked
 * @returns the answer; a failure if its body broke off or is too large
 */
export async function readAnswer(answer: OpenedAnswer): Promise<Result<BufferedAnswer, AttemptFailure>> {
    const { limits } = answer;
    let received = 0;
    let pendingCheck: NodeJS.Immediate | undefined;
    const timer = setTimeout(() => {
        // If the event loop was blocked, data that arrived in time is read before this callback runs.
        pendingCheck = setImmediate(() => {
            if (!isOnPace(received, readLength(answer))) {
                limits.onSlow();
            }
        });
    }, limits.paceCheckDelay);
    async function* countBody(): AsyncGenerator<Uint8Array> {
        for await (const part of answer.body) {
            received += part.byteLength;
            yield part;
        }
    }
    const whole = await readWholeBody({ ...answer, body: countBody() }, maximumAnswerBytes);
    clearTimeout(timer);
    clearImmediate(pendingCheck);
    return whole.mapErr(describeFailure);
}
