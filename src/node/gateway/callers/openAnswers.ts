import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { abortResponse } from "../../httpServer/index.js";
import type { AbortReason } from "../types.js";

/**
 * Reason for which an answer ended before it was sent completely; `broken-off` if the backend servers could not complete
 * it.
 */
export type CutReason = AbortReason | "broken-off" | "exception" | "drain-ended";

/** How an answer ended. */
export type AnswerSending = CutReason | "sent";

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

/** Observer of answers. */
export interface AnswerObserver {
    /** Called for each answer whose connection closed before it was sent completely. */
    onCut(answer: CutAnswer): void;
    /** Called for each answer when it has ended. */
    onEnd(sending: AnswerSending): void;
}

/** What the set does with an open answer. */
export interface OpenAnswer {
    /** Called at the end of a drain. */
    onDrainEnd(): void;
    /** Reads why the request was aborted; undefined if it was not. */
    readAbortReason(): AbortReason | undefined;
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
     * @param handlers - end of a drain, and reason for an abort of the request
     */
    add(incoming: IncomingMessage, response: ServerResponse, handlers: OpenAnswer): void;
    readonly count: () => OpenAnswerCounts;
    /**
     * Breaks off an answer.
     *
     * @param response - the answer
     * @param reason - why it cannot be completed. Default: `broken-off`, unless the request was aborted
     */
    breakOff(response: ServerResponse, reason?: CutReason): void;
    /** Asks for the end of all open answers at the end of a drain. */
    endDrain(): void;
}

function isClosedByCaller(socket: Socket): boolean {
    return socket.readableEnded || socket.errored instanceof Error;
}

/**
 * Creates an empty set of answers.
 *
 * @param observer - called for answers that have ended
 * @returns the set
 */
export function createOpenAnswers(observer: AnswerObserver): OpenAnswers {
    const open = new Map<ServerResponse, OpenAnswer>();
    const reasons = new WeakMap<ServerResponse, CutReason>();
    let isDrainOver = false;

    function endAtDrain(answer: OpenAnswer, response: ServerResponse): void {
        reasons.set(response, "drain-ended");
        answer.onDrainEnd();
    }

    function findReason({ socket }: IncomingMessage, response: ServerResponse): CutReason {
        if (isClosedByCaller(socket)) {
            return "caller-gone";
        }
        const abortReason = open.get(response)?.readAbortReason();
        // The close of a connection by this side aborts the request as if the caller had disconnected.
        return reasons.get(response) ?? (abortReason === "caller-gone" ? undefined : abortReason) ?? "broken-off";
    }

    function breakOff(response: ServerResponse, reason?: CutReason): void {
        if (reason !== undefined) {
            reasons.set(response, reason);
        }
        abortResponse(response);
    }

    return {
        add: (incoming, response, handlers) => {
            const { socket } = incoming;
            let isSent = false;
            open.set(response, handlers);
            response.once("finish", () => {
                // A response whose connection was destroyed emits "finish" too.
                isSent = !socket.destroyed;
            });
            response.once("close", () => {
                const reason = findReason(incoming, response);
                open.delete(response);
                observer.onEnd(isSent ? "sent" : reason);
                if (!isSent) {
                    observer.onCut({
                        incoming,
                        reason,
                        headSent: response.headersSent,
                        closedBy: isClosedByCaller(socket) ? "caller" : "gateway",
                        ended: response.writableEnded,
                    });
                }
            });
            if (isDrainOver) {
                endAtDrain(handlers, response);
            }
        },
        count: () => ({
            open: open.size,
            unsentBytes: [...open.keys()].reduce((sum, { writableLength }) => sum + writableLength, 0),
        }),
        breakOff,
        endDrain: () => {
            isDrainOver = true;
            open.forEach(endAtDrain);
        },
    };
}
