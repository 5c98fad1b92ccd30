import { type Agent, request as sendRequest } from "node:http";
import { connect } from "node:net";
import type { TestDeployment } from "./deployment.js";

/** Response that a caller has received. */
export interface GatewayResponse {
    readonly status: number;
    readonly headers: Readonly<Record<string, string | string[] | undefined>>;
    readonly body: string;
    /** False if the connection ended before the end of the body. */
    readonly complete: boolean;
}

let attempts = 0;

/**
 * Sends a request with an API key to the gateway.
 *
 * @param deployment - deployment of the gateway
 * @param path - path and query
 * @param options - method, further headers, body and connection pool
 * @returns the response; rejects if the connection ends before its headers
 */
export function call(
    { gatewayUrl }: Pick<TestDeployment, "gatewayUrl">,
    path: string,
    options: {
        readonly method?: string;
        readonly headers?: Record<string, string>;
        readonly body?: string;
        /** Connection pool to use. Default: the global one of the process. */
        readonly agent?: Agent;
    } = {},
): Promise<GatewayResponse> {
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

/** Response to an HTTP/1.0 request, which ends when the connection ends. */
export interface Http10Response {
    /** Status line, headers and body as they were received. */
    readonly text: string;
    readonly ending: "closed" | "reset";
}

/**
 * Sends an HTTP/1.0 request to the gateway, as a caller without support for chunked transfer encoding does.
 *
 * @param deployment - deployment of the gateway
 * @param path - path and query
 * @returns what was received, and how the connection ended
 */
export function callWithHttp10(
    { gatewayUrl }: Pick<TestDeployment, "gatewayUrl">,
    path: string,
): Promise<Http10Response> {
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
        const finish = (ending: Http10Response["ending"]): void => {
            socket.destroy();
            resolve({ text, ending });
        };
        socket.on("data", part => {
            text += part.toString();
        });
        // Node reports a reset that arrives together with the last bytes as an end, but the socket then has no remote address.
        socket.on("end", () => finish(socket.remoteAddress === undefined ? "reset" : "closed"));
        socket.on("error", () => finish("reset"));
        socket.write(`${lines.join("\r\n")}\r\n\r\n`);
    });
}
