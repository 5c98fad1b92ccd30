import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";

/** Request that is being served, or that waits until those before it on its connection are answered. */
interface Turn {
    readonly incoming: IncomingMessage;
    readonly response: ServerResponse;
    readonly begin: () => void;
}

/** Order in which the requests on a connection are served. */
export interface RequestTurns {
    /**
     * Serves a request as soon as the requests before it on its connection are answered. If the connection closes with
     * one of these answers, the request is not served.
     *
     * @param incoming - request
     * @param response - its answer
     * @param begin - begins to serve it
     * @returns true if it is served at once, false if it waits
     */
    take(incoming: IncomingMessage, response: ServerResponse, begin: () => void): boolean;
}

function isClosedByCaller({ errored, readableEnded }: Socket): boolean {
    return readableEnded || errored instanceof Error;
}

/** Lets an answer announce the close of its connection only if no request waits behind it. */
function keepOpen(response: ServerResponse): void {
    if (!response.headersSent && response.getHeader("connection") === "close") {
        response.removeHeader("connection");
    }
}

/**
 * Creates the order of requests.
 *
 * @param onUnanswerable - called for each request that is not served because its connection was closed
 * @returns the order
 */
export function createRequestTurns(onUnanswerable: (incoming: IncomingMessage) => void): RequestTurns {
    const turns = new WeakMap<Socket, Turn[]>();

    function drop(waiting: readonly Turn[], socket: Socket): void {
        for (const { incoming } of waiting) {
            if (!isClosedByCaller(socket)) {
                onUnanswerable(incoming);
            }
            incoming.resume();
        }
    }

    function serve({ begin, incoming: { socket }, response }: Turn, queue: Turn[]): void {
        response.once("close", () => {
            queue.shift();
            if (socket.writableEnded || socket.destroyed) {
                drop(queue.splice(0), socket);
            }
            else if (queue[0] !== undefined) {
                serve(queue[0], queue);
            }
        });
        // The server itself has refused the request if its body was malformed.
        if (!response.headersSent) {
            begin();
        }
    }

    return {
        take: (incoming, response, begin) => {
            const { socket } = incoming;
            const queue = turns.get(socket) ?? [];
            turns.set(socket, queue);
            const turn = { incoming, response, begin };
            queue.push(turn);
            const previous = queue.at(-2);
            if (previous === undefined) {
                serve(turn, queue);
                return true;
            }
            keepOpen(previous.response);
            return false;
        },
    };
}
