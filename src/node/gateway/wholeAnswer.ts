import type { Result } from "true-myth/result";
import { isOnPace } from "../../runtime/gateway/index.js";
import type { Milliseconds } from "../../types/index.js";
import { type HttpFailure, type HttpStreamingResponse, readWholeBody } from "../httpClient/index.js";
import { describeFailure } from "./attempt.js";
import { maximumAnswerBytes } from "./backendClients.js";
import type { AttemptFailure, BufferedAnswer, OpenedAnswer } from "./types.js";

function readLength({ framing, headers }: HttpStreamingResponse): number | undefined {
    return framing === "length" ? Number(headers["content-length"]) : undefined;
}

/** Abandons an answer that is not expected to complete in time, if its request can be retried elsewhere. */
function schedulePaceCheck(answer: OpenedAnswer, readReceived: () => number, onGivenUp: () => void): NodeJS.Timeout {
    return setTimeout(() => {
        if (!isOnPace(readReceived(), readLength(answer)) && answer.limits.canSwitch()) {
            onGivenUp();
            answer.discard();
        }
    }, answer.limits.paceCheckDelay);
}

function toTimeoutFailure(after: Milliseconds, failure: HttpFailure): HttpFailure {
    return { ...failure, reason: "timeout", message: `the answer is not complete after ${after} ms` };
}

/**
 * Reads the whole body of an answer.
 *
 * @param answer - answer whose head was checked
 * @returns the answer; a failure if its body broke off, is too large, or is too slow and the request can be retried
 */
export async function readAnswer(answer: OpenedAnswer): Promise<Result<BufferedAnswer, AttemptFailure>> {
    let received = 0;
    let isLate = false;
    const timer = schedulePaceCheck(answer, () => received, () => {
        isLate = true;
    });
    async function* countBody(): AsyncGenerator<Uint8Array> {
        for await (const part of answer.body) {
            received += part.byteLength;
            yield part;
        }
    }
    const whole = await readWholeBody({ ...answer, body: countBody() }, maximumAnswerBytes);
    clearTimeout(timer);
    return whole.mapErr(failure =>
        describeFailure(isLate ? toTimeoutFailure(answer.limits.paceCheckDelay, failure) : failure)
    );
}
