import { connect } from "node:net";
import type { TestDeployment } from "./deployment.js";

/** Time in which a connection that is due to end has ended. */
export const closingMargin = 1_000;

/** Request that does not end. */
export interface EndlessRequest {
    readonly first: string;
    /** Sent again and again. */
    readonly part: string;
    /** Milliseconds between two parts. */
    readonly interval: number;
    /** Longest time for which the gateway may let it go on, in milliseconds. */
    readonly allowed: number;
}

/** Sends a request without end, and resolves with the time until the gateway, or a while later this side, closes the connection. */
export function measureUntilClosed(
    { gatewayUrl }: TestDeployment,
    { allowed, first, interval, part }: EndlessRequest,
): Promise<number> {
    const startedAt = Date.now();
    const socket = connect(Number(new URL(gatewayUrl).port), "127.0.0.1");
    socket.write(first);
    socket.resume();
    const timer = setInterval(() => socket.write(part), interval);
    const limit = setTimeout(() => socket.destroy(), allowed + closingMargin);
    socket.on("error", () => {});
    return new Promise(resolve =>
        socket.once("close", () => {
            clearInterval(timer);
            clearTimeout(limit);
            resolve(Date.now() - startedAt);
        })
    );
}
