import { connect } from "node:net";
import type { TestDeployment } from "./deployment.js";

/** Tolerance in milliseconds for closing a connection whose time limit has passed. */
export const closingMarginMilliseconds = 1_000;

/** Request without an end. */
export interface EndlessRequest {
    /** Bytes that are sent once, at the beginning. */
    readonly first: string;
    /** Bytes that are then sent repeatedly. */
    readonly part: string;
    /** Time between two parts in milliseconds. */
    readonly intervalMilliseconds: number;
    /** Time within which the gateway has to close the connection, in milliseconds. */
    readonly allowedMilliseconds: number;
}

/** How the gateway ended an endless request. */
export interface EndlessRequestResult {
    /**
     * Time until the connection was closed in milliseconds; the caller closes it `closingMarginMilliseconds` after the
     * allowed time.
     */
    readonly duration: number;
    /** Status of the response; undefined if there was none. */
    readonly status: number | undefined;
}

/** Sends an endless request until its connection is closed. */
export function sendEndlessRequest(
    { gatewayUrl }: TestDeployment,
    { allowedMilliseconds, first, intervalMilliseconds, part }: EndlessRequest,
): Promise<EndlessRequestResult> {
    const startedAt = Date.now();
    const socket = connect(Number(new URL(gatewayUrl).port), "127.0.0.1");
    socket.write(first);
    let received = "";
    socket.on("data", part => {
        received += part.toString("latin1");
    });
    const timer = setInterval(() => socket.write(part), intervalMilliseconds);
    const endTimer = setTimeout(() => socket.destroy(), allowedMilliseconds + closingMarginMilliseconds);
    socket.on("error", () => {});
    return new Promise(resolve =>
        socket.once("close", () => {
            clearInterval(timer);
            clearTimeout(endTimer);
            const status = /^HTTP\/1.1 (\d+)/.exec(received)?.[1];
            resolve({ duration: Date.now() - startedAt, status: status === undefined ? undefined : Number(status) });
        })
    );
}
