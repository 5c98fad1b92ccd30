import { randomUUID } from "node:crypto";
import type { IncomingMessage } from "node:http";
import { err, ok, type Result } from "true-myth/result";
import * as z from "zod";
import { createIdempotencyKey } from "../../runtime/idempotency/index.js";
import type { DeploymentName, Milliseconds, Refusal } from "../../types/index.js";
import { computeDigest } from "../../utils/index.js";
import type { EntryContext } from "./context.js";
import type { CallerRequest } from "./requestPipeline.js";

/** Time within which the answer must be complete if the caller states no deadline. */
export const defaultDeadline: Milliseconds = 30_000;
const maximumDeadline: Milliseconds = 3_600_000;
const defaultPriority = 5;
/** Client account of callers that state none. */
const defaultClientAccount = "default";
/** Length of the prompt prefix by which requests are routed to the same runner, in characters. */
const affinityPrefixCharacters = 256;

const headersSchema = z.object({
    "x-deadline-milliseconds": z.coerce.number().int().min(1).max(maximumDeadline).default(defaultDeadline),
    "x-priority": z.coerce.number().int().min(0).max(9).default(defaultPriority),
    "x-client-account": z.string().min(1).max(128).default(defaultClientAccount),
    "x-idempotent": z.enum(["true", "false"]).optional(),
    "idempotency-key": z.string().min(1).max(128).optional(),
});

const completionSchema = z.looseObject({
    model: z.string().min(1),
    prompt: z.string(),
    stream: z.boolean().default(false),
});

/** HTTP methods that are idempotent unless the caller says otherwise. */
const idempotentMethods: ReadonlySet<string> = new Set(["GET", "HEAD", "PUT", "DELETE", "OPTIONS"]);

type ParsedRequest = Result<CallerRequest, Refusal>;

/**
 * Parses a completion request; `model` names the deployment. Completions are idempotent unless the caller sends
 * `X-Idempotent: false`.
 *
 * @param context - the entry instance
 * @param message - HTTP request
 * @param body - its body
 * @param signal - aborted when the caller is gone
 * @returns the request, or its refusal if it is malformed
 */
export function parseCompletionRequest(
    context: EntryContext,
    message: IncomingMessage,
    body: Uint8Array,
    signal: AbortSignal,
): ParsedRequest {
    const content = completionSchema.safeParse(parseJson(body));
    if (!content.success) {
        return err(createInvalidRefusal(z.prettifyError(content.error)));
    }
    const { model, prompt, stream } = content.data;
    const prefix = computeDigest(prompt.slice(0, affinityPrefixCharacters)).slice(0, 16);
    return createRequest(context, message, body, signal, {
        deployment: model,
        path: "/v1/completions",
        idempotentByDefault: true,
        prefix,
        stream,
    });
}

/**
 * Parses a request to a plain service. GET, HEAD, PUT, DELETE and OPTIONS are idempotent, POST and PATCH are not,
 * unless `X-Idempotent` says otherwise.
 *
 * @param context - the entry instance
 * @param message - HTTP request
 * @param body - its body
 * @param signal - aborted when the caller is gone
 * @param deployment - deployment of the service
 * @param path - path and query that are sent to the service
 * @returns the request, or its refusal if it is malformed
 */
export function parseServiceRequest(
    context: EntryContext,
    message: IncomingMessage,
    body: Uint8Array,
    signal: AbortSignal,
    deployment: DeploymentName,
    path: string,
): ParsedRequest {
    return createRequest(context, message, body, signal, {
        deployment,
        path,
        idempotentByDefault: idempotentMethods.has(message.method ?? "GET"),
        prefix: undefined,
        stream: false,
    });
}

interface RequestTarget {
    readonly deployment: DeploymentName;
    readonly path: string;
    readonly idempotentByDefault: boolean;
    readonly prefix: string | undefined;
    readonly stream: boolean;
}

function createRequest(
    context: EntryContext,
    message: IncomingMessage,
    body: Uint8Array,
    signal: AbortSignal,
    target: RequestTarget,
): ParsedRequest {
    const headers = headersSchema.safeParse(message.headers);
    if (!headers.success) {
        return err(createInvalidRefusal(z.prettifyError(headers.error)));
    }
    const { clock } = context;
    const now = clock.monotonic();
    const method = message.method ?? "GET";
    const clientAccount = headers.data["x-client-account"];
    const idempotentHeader = headers.data["x-idempotent"];
    const idempotent = idempotentHeader === undefined ? target.idempotentByDefault : idempotentHeader === "true";
    const key = headers.data["idempotency-key"];
    return ok({
        row: {
            requestId: randomUUID(),
            deployment: target.deployment,
            clientAccount,
            priority: headers.data["x-priority"],
            deadline: now + headers.data["x-deadline-milliseconds"],
            receivedAt: now,
            idempotent,
            // A non-idempotent request without a key gets one, by which the agent recognizes its repeated attempts.
            idempotencyKey: idempotent ? key : key ?? createIdempotencyKey(clock.now().getTime(), context.random),
            fingerprint: computeDigest(method, "\n", target.deployment, "\n", target.path, "\n", body),
            prefix: target.prefix,
        },
        method,
        hasGeneratedKey: !idempotent && key === undefined,
        path: target.path,
        contentType: message.headers["content-type"] ?? "application/octet-stream",
        body,
        stream: target.stream,
        signal,
    });
}

function createInvalidRefusal(detail: string): Refusal {
    return { ran: "no", reason: "invalid-request", retryAfterSeconds: 0, detail };
}

function parseJson(body: Uint8Array): unknown {
    try {
        return JSON.parse(Buffer.from(body).toString("utf8"));
    }
    catch {
        return undefined;
    }
}
