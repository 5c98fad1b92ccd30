import { connect } from "node:net";
import type { Milliseconds } from "../../types/index.js";
import { splitAddress } from "../httpServer/index.js";

/** Whether a process listens at an address; `unknown` if neither the process nor its host answered. */
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
        // After a blocked event loop, timers run before the poll that delivers an answer which arrived meanwhile.
        const timer = setTimeout(() => setImmediate(() => finish("unknown")), timeLimit);
        socket.once("connect", () => finish("listening"));
        socket.on("error", (error: NodeJS.ErrnoException) => {
            finish(error.code === "ECONNREFUSED" ? "refused" : "unknown");
        });
    });
}
