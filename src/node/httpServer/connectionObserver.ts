import type { IncomingMessage } from "node:http";
import type { Milliseconds } from "../../types/index.js";
import type { ConnectionCloseReason } from "./connectionState.js";
import type { RequestFault } from "./requestFault.js";

/** Observer of a `DrainableServer`. */
export interface ConnectionObserver {
    /**
     * Called when the server closes a connection that owes no response.
     *
     * @param reason - why it is closed
     * @param lateness - time by which its idle limit had been exceeded
     */
    onClose?(reason: ConnectionCloseReason, lateness: Milliseconds): void;
    /**
     * Called for each part that a connection has received.
     *
     * @param bytes - its size
     */
    onReceive?(bytes: number): void;
    /**
     * Called for a request that arrived after the server had closed its connection, or announced that it would, and
     * that gets no response.
     */
    onUnanswerable?(incoming: IncomingMessage): void;
    /**
     * Called when the server itself refuses a request, or closes its connection because of it.
     *
     * @param fault - what is wrong with it
     * @param incoming - the request; undefined if its head was not read completely
     */
    onRefuse?(fault: RequestFault, incoming: IncomingMessage | undefined): void;
}
