import type { IncomingMessage } from "node:http";
import type { Socket } from "node:net";
import type { ConnectionState } from "./connectionState.js";

/** Memory of a head that has not arrived completely. */
export interface HeadMemory {
    setBytes(bytes: number): void;
    close(): void;
}

/** What a connection has received, as far as the next head is concerned. */
export interface HeadState extends Pick<ConnectionState, "owed" | "receivedAtRest"> {
    /** Last request whose head was read. */
    readonly lastIncoming: IncomingMessage | undefined;
}

/** Counts the memory of heads that have not arrived completely. */
export interface IncompleteHeads {
    /**
     * Counts the head that arrives on a connection.
     *
     * @param socket - the connection
     * @param state - what it has received
     * @param end - refuses the request; called at most once for each head
     */
    count(socket: Socket, state: HeadState, end: () => void): void;
}

/** Memory for each byte of an incomplete head, of which the parser makes a copy with each part that arrives. */
const headBytesInMemory = 2;

/**
 * Measures the head that arrives on a connection.
 *
 * @param socket - the connection
 * @param state - what it has received
 * @returns bytes of the head; 0 if it is complete, or if the connection owes a response
 */
export function measureIncompleteHead(
    { bytesRead }: Pick<Socket, "bytesRead">,
    { lastIncoming, owed, receivedAtRest }: HeadState,
): number {
    return owed === 0 && lastIncoming?.complete !== false ? bytesRead - receivedAtRest : 0;
}

/**
 * Creates the count of incomplete heads.
 *
 * @param hold - opens the memory of a head; its argument ends the head
 * @returns the count
 */
export function createIncompleteHeads(hold: (end: () => void) => HeadMemory): IncompleteHeads {
    const memories = new WeakMap<Socket, HeadMemory>();

    function close(socket: Socket): void {
        memories.get(socket)?.close();
        memories.delete(socket);
    }

    function open(socket: Socket, end: () => void): HeadMemory {
        const memory = hold(() => {
            memories.delete(socket);
            end();
        });
        memories.set(socket, memory);
        socket.once("close", () => close(socket));
        return memory;
    }

    return {
        count: (socket, state, end) => {
            const bytes = measureIncompleteHead(socket, state);
            if (bytes > 0) {
                (memories.get(socket) ?? open(socket, end)).setBytes(bytes * headBytesInMemory);
            }
            else {
                close(socket);
            }
        },
    };
}
