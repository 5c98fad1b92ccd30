import type { IncomingMessage, ServerResponse } from "node:http";
import { abortResponse } from "../httpServer/index.js";

/** Reason for which the gateway ended an answer; `broken-off` if it could not be completed. */
export type CutReason = "broken-off" | "exception" | "drain-ended";

/** Answer that ended before it was sent completely. */
export interface CutAnswer {
    readonly incoming: IncomingMessage;
    readonly reason: CutReason;
    readonly headSent: boolean;
    /** Which side closed the connection. */
    readonly closedBy: "caller" | "gateway";
    /** True if the rest of the answer was only waiting to be sent. */
    readonly ended: boolean;
}

/** Number and size of the answers that have not been sent completely. */
export interface OpenAnswerCounts {
    readonly open: number;
    /** Bytes of them that wait in the process. */
    readonly unsentBytes: number;
}

/** Answers to callers that have not been sent completely. */
export interface OpenAnswers {
    /**
     * Adds an answer until it is sent or its connection has closed.
     *
     * @param incoming - request
     * @param response - its answer
     * @param onDrainEnd - called at the end of a drain while the answer is open
     */
    add(incoming: IncomingMessage, response: ServerResponse, onDrainEnd: () => void): void;
    readonly count: () => OpenAnswerCounts;
    /** Breaks off an answer. */
    breakOff(response: ServerResponse, reason: CutReason): void;
    /** Asks for the end of all open answers at the end of a drain. */
    endDrain(): void;
}

/**
 * Creates an empty set of answers.
 *
 * @param onCut - called for each answer whose connection closed before it was sent completely
 * @returns the set
 */
export function createOpenAnswers(onCut: (answer: CutAnswer) => void): OpenAnswers {
    const open = new Map<ServerResponse, () => void>();
    const reasons = new WeakMap<ServerResponse, CutReason>();

    function breakOff(response: ServerResponse, reason: CutReason): void {
        reasons.set(response, reason);
        abortResponse(response);
    }

    return {
        add: (incoming, response, onDrainEnd) => {
            const { socket } = incoming;
            let isSent = false;
            open.set(response, onDrainEnd);
            response.once("finish", () => {
                // A response whose connection was destroyed emits "finish" too.
                isSent = !socket.destroyed;
            });
            response.once("close", () => {
                open.delete(response);
                if (!isSent) {
                    onCut({
                        incoming,
                        reason: reasons.get(response) ?? "broken-off",
                        headSent: response.headersSent,
                        closedBy: socket.readableEnded || socket.errored instanceof Error ? "caller" : "gateway",
                        ended: response.writableEnded,
                    });
                }
            });
        },
        count: () => ({
            open: open.size,
            unsentBytes: [...open.keys()].reduce((sum, { writableLength }) => sum + writableLength, 0),
        }),
        breakOff,
        endDrain: () =>
            open.forEach((onDrainEnd, response) => {
                reasons.set(response, "drain-ended");
                onDrainEnd();
            }),
    };
}
