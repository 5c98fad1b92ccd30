import { connect } from "node:net";
import type { Milliseconds } from "../../types/index.js";
import { splitAddress } from "../httpServer/index.js";

/** Whether a process listens at an address; `unknown` if neither it nor its host has answered. */
export type ListeningState = "listening" | "refused" | "unknown";

/**
 * Opens a connection to an address and closes it at once.
 *
 * @param address - `host:port`
 * @param timeLimit - time in which the connection must be open or refused
 * @returns whether a process listens there; never rejects
 */
export function checkListening(address: string, timeLimit: Milliseconds): Promise<ListeningState> {
    return new Promise(resolve => {
        const socket = connect(splitAddress(address));
        const finish = (state: ListeningState): void => {
            clearTimeout(timer);
            socket.destroy();
            resolve(state);
        };
        // A process that was held up sees the time limit before the answer that has arrived meanwhile.
        const timer = setTimeout(() => setImmediate(() => finish("unknown")), timeLimit);
        socket.once("connect", () => finish("listening"));
        socket.on("error", (error: NodeJS.ErrnoException) => {
            finish(error.code === "ECONNREFUSED" ? "refused" : "unknown");
        });
    });
}
