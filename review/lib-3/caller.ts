import { request as sendRequest } from "node:http";

/** Answer to a client attempt. */
export interface CallerAnswer {
    readonly attemptId: string;
    /** Undefined if the channel was closed before an answer. */
    readonly status: number | undefined;
    readonly headers: Readonly<Record<string, string | string[] | undefined>>;
    readonly body: string;
    /** Whether the answer came to its end. */
    readonly complete: boolean;
}

let attempts = 0;

/** Creates the identifier of a client attempt. */
export function createAttemptId(): string {
    attempts++;
    return attempts.toString(16).padStart(16, "0");
}

/** Options of {@link sendCall}. */
export interface CallOptions {
    readonly host: string;
    readonly port: number;
    readonly path: string;
    readonly method?: string;
    readonly headers: Readonly<Record<string, string>>;
    readonly body?: string;
    readonly deadline: number;
}

/** Sends a request on a new channel, as a client does, and waits for its answer until the client leaves. */
export function sendCall(options: CallOptions): Promise<CallerAnswer> {
    const attemptId = options.headers["attempt-id"] ?? createAttemptId();
    return new Promise(resolve => {
        const none: CallerAnswer = { attemptId, status: undefined, headers: {}, body: "", complete: false };
        const request = sendRequest({
            host: options.host,
            port: options.port,
            path: options.path,
            method: options.method ?? "POST",
            agent: false,
            headers: { "attempt-id": attemptId, "deadline-ms": String(options.deadline), ...options.headers },
        }, response => {
            const parts: Buffer[] = [];
            const finish = (complete: boolean): void => {
                clearTimeout(timer);
                resolve({
                    attemptId,
                    status: response.statusCode,
                    headers: response.headers,
                    body: Buffer.concat(parts).toString(),
                    complete,
                });
            };
            response.on("data", (part: Buffer) => parts.push(part));
            response.on("end", () => finish(response.complete));
            response.on("error", () => finish(false));
            response.on("close", () => finish(response.complete));
        });
        const timer = setTimeout(() => request.destroy(), options.deadline);
        request.on("error", () => {
            clearTimeout(timer);
            resolve(none);
        });
        request.end(options.body);
    });
}
