import { type Agent, request as sendRequest } from "node:http";
import { connect } from "node:net";
import type { TestDeployment } from "./deployment.js";

/** Answer that a caller has received. */
export interface Answer {
    readonly status: number;
    readonly headers: Readonly<Record<string, string | string[] | undefined>>;
    readonly body: string;
    /** False if the connection ended within the body. */
    readonly complete: boolean;
}

let attempts = 0;

/**
 * Sends a request to the gateway, as a caller with a key does.
 *
 * @param deployment - the gateway
 * @param path - path and query
 * @param options - method, further headers, body and connections
 * @returns the answer
 */
export function call(
    { gatewayUrl }: Pick<TestDeployment, "gatewayUrl">,
    path: string,
    options: {
        readonly method?: string;
        readonly headers?: Record<string, string>;
        readonly body?: string;
        /** Connections to use. Default: those of the process. */
        readonly agent?: Agent;
    } = {},
): Promise<Answer> {
    attempts++;
    return new Promise((resolve, reject) => {
        const request = sendRequest(gatewayUrl + path, {
            method: options.method ?? "GET",
            agent: options.agent,
            headers: {
                host: "members.example",
                "attempt-id": `attempt-${attempts}`,
                "deadline-ms": "1500",
                authorization: "Token key-1",
                ...options.headers,
            },
        }, response => {
            const parts: Buffer[] = [];
            const finish = (complete: boolean): void =>
                resolve({
                    status: response.statusCode ?? 0,
                    headers: response.headers,
                    body: Buffer.concat(parts).toString(),
                    complete,
                });
            response.on("data", (part: Buffer) => parts.push(part));
            response.on("end", () => finish(response.complete));
            response.on("error", () => finish(false));
        });
        request.on("error", reject);
        request.end(options.body);
    });
}

/** Answer on a connection of HTTP/1.0, which ends with the connection. */
export interface PlainAnswer {
    readonly text: string;
    readonly ending: "closed" | "reset";
}

/**
 * Sends a request of HTTP/1.0 to the gateway, as a caller that does not understand chunks does.
 *
 * @param deployment - the gateway
 * @param path - path and query
 * @returns what was received until the connection ended
 */
export function callPlainly(
    { gatewayUrl }: Pick<TestDeployment, "gatewayUrl">,
    path: string,
): Promise<PlainAnswer> {
    attempts++;
    const { hostname, port } = new URL(gatewayUrl);
    const lines = [
        `GET ${path} HTTP/1.0`,
        "host: members.example",
        `attempt-id: attempt-${attempts}`,
        "deadline-ms: 1500",
        "authorization: Token key-1",
    ];
    return new Promise(resolve => {
        const socket = connect({ host: hostname, port: Number(port) });
        let text = "";
        const finish = (ending: PlainAnswer["ending"]): void => {
            socket.destroy();
            resolve({ text, ending });
        };
        socket.on("data", part => {
            text += part.toString();
        });
        // A reset that arrives together with the last bytes is reported as an end, but leaves the socket without a peer.
        socket.on("end", () => finish(socket.remoteAddress === undefined ? "reset" : "closed"));
        socket.on("error", () => finish("reset"));
        socket.write(`${lines.join("\r\n")}\r\n\r\n`);
    });
}
