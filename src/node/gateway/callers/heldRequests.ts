import type { IncomingMessage, ServerResponse } from "node:http";
import { type BodyMemory, measureHead } from "../../httpServer/index.js";
import type { HeldMemory, Holding } from "../../memory/index.js";
import type { ArrivedRequest } from "./arrivedRequests.js";

/** Memory of a request beside its head and its body, with that of its connection. */
const requestOverheadBytes = 4_096;
/** Reason of the abort at the end of each request; without one, an exception with its stack is created each time. */
const requestClosed = new Error("the request has ended");

/**
 * Counts the memory of a request whose head has arrived, until its answer has ended.
 *
 * @param request - the request
 * @param incoming - its head
 * @param response - its answer
 * @param memory - limit on the memory of all requests
 * @returns the memory of the request
 */
export function holdRequest(
    request: ArrivedRequest,
    incoming: IncomingMessage,
    response: ServerResponse,
    memory: HeldMemory,
): Holding {
    const held = memory.hold(() => request.dropped.abort());
    request.held = held;
    response.once("close", () => {
        held.close();
        // What was read of a body that is refused is dropped, although its sender may go on for a while.
        request.dropped.abort(requestClosed);
    });
    held.add(measureHead(incoming) + requestOverheadBytes);
    return held;
}

/**
 * Creates the memory of the body of a request.
 *
 * @param request - request whose memory is counted
 * @param memory - limit on the memory of all requests
 * @param pauses - true if the reading pauses near the limit; the end of the connection is not noticed meanwhile
 * @returns the memory
 */
export function createBodyMemory({ dropped, held }: ArrivedRequest, memory: HeldMemory, pauses: boolean): BodyMemory {
    return {
        add: bytes => held?.add(bytes),
        awaitRoom: () => pauses ? memory.awaitRoom() : undefined,
        signal: dropped.signal,
    };
}
