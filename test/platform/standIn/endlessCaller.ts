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

/** How a request without end was cut off. */
export interface Cut {
    /** Milliseconds until the gateway, or a while later this side, closed the connection. */
    readonly duration: number;
    /** Status of the answer; undefined if there was none. */
    readonly status: number | undefined;
}

/** Sends a request without end. */
export function sendWithoutEnd(
    { gatewayUrl }: TestDeployment,
    { allowed, first, interval, part }: EndlessRequest,
): Promise<Cut> {
    const startedAt = Date.now();
    const socket = connect(Number(new URL(gatewayUrl).port), "127.0.0.1");
    socket.write(first);
    let answer = "";
    socket.on("data", part => {
        answer += part.toString("latin1");
    });
    const timer = setInterval(() => socket.write(part), interval);
    const limit = setTimeout(() => socket.destroy(), allowed + closingMargin);
    socket.on("error", () => {});
    return new Promise(resolve =>
        socket.once("close", () => {
            clearInterval(timer);
            clearTimeout(limit);
            const status = /^HTTP\/1.1 (\d+)/.exec(answer)?.[1];
            resolve({ duration: Date.now() - startedAt, status: status === undefined ? undefined : Number(status) });
        })
    );
}
