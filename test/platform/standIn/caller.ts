import { request as sendRequest } from "node:http";
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
 * @param options - method, further headers and body
 * @returns the answer
 */
export function call(
    { gatewayUrl }: Pick<TestDeployment, "gatewayUrl">,
    path: string,
    options: { readonly method?: string; readonly headers?: Record<string, string>; readonly body?: string; } = {},
): Promise<Answer> {
    attempts++;
    return new Promise((resolve, reject) => {
        const request = sendRequest(gatewayUrl + path, {
            method: options.method ?? "GET",
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
