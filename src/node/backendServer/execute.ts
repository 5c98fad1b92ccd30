import { err, ok, type Result } from "true-myth/result";
import {
    type BackendRequest,
    type BackendResponse,
    createError,
    type GoldcrestpointError,
    type PortResult,
} from "../../types/index.js";
import {
    executedHeader,
    type HttpClient,
    type HttpFailure,
    type HttpStreamingResponse,
    toCallError,
} from "../httpClient/index.js";
import { checkEndMarker } from "./endMarker.js";

const executeStep = "execute request";
const matchStep = "match answer to request";
const streamStep = "read answer";

/** Request with the caller's idempotency key, which is sent as the header `idempotency-key`. */
export type KeyedBackendRequest = BackendRequest & { readonly idempotencyKey?: string | undefined; };

/**
 * Runs a request on a backend server.
 *
 * @param client - client of the backend server
 * @param kind - whether the server is a model engine, whose event streams end with `data: [DONE]`
 * @param request - the request
 * @param signal - cancels the request and its response
 * @returns the response, whatever its status. Failures: `ENGINE_UNREACHABLE` if nothing was written, `REQUEST_REFUSED`
 * if the response states that the request did not run, `STREAM_BROKEN` if it may have run, also for a response that
 * belongs to another request or to other weights. The body throws an `Error` whose `cause` is a `STREAM_BROKEN` error
 * if it ends before it is complete
 */
export async function executeRequest(
    client: HttpClient,
    kind: "engine" | "service",
    request: KeyedBackendRequest,
    signal: AbortSignal,
): PortResult<BackendResponse> {
    const response = await client.open({
        method: request.method,
        path: request.path,
        headers: createHeaders(request),
        signal,
        ...(request.body.byteLength === 0 ? {} : { body: request.body }),
    });
    if (response.isErr) {
        const code = response.error.requestWritten ? "STREAM_BROKEN" : "ENGINE_UNREACHABLE";
        return err(toCallError(code, executeStep, client.peer, response.error));
    }
    const checked = validateResponse(response.value, request, client.peer);
    if (checked.isErr) {
        response.value.discard();
        return err(checked.error);
    }
    return ok(toBackendResponse(response.value, kind, client.peer));
}

function createHeaders(request: KeyedBackendRequest): Record<string, string> {
    return {
        "content-type": request.contentType,
        "x-request-id": request.requestId,
        "x-priority": String(request.priority),
        ...(request.manifestDigest === undefined ? {} : { "x-manifest-digest": request.manifestDigest }),
        ...(request.idempotencyKey === undefined ? {} : { "idempotency-key": request.idempotencyKey }),
    };
}

function validateResponse(
    response: HttpStreamingResponse,
    request: BackendRequest,
    peer: string,
): Result<undefined, GoldcrestpointError> {
    const { status, headers } = response;
    if (headers[executedHeader] === "no") {
        return err(createError("REQUEST_REFUSED", executeStep, peer, `refused with status ${status}, not run`));
    }
    const requestId = headers["x-request-id"] ?? "";
    if (requestId !== request.requestId) {
        return createMismatchError(
            peer,
            `the response belongs to request "${requestId}" instead of "${request.requestId}"`,
        );
    }
    const digest = headers["x-manifest-digest"] ?? "";
    if (request.manifestDigest !== undefined && status < 300 && digest !== request.manifestDigest) {
        return createMismatchError(
            peer,
            `the response comes from weights "${digest}" instead of "${request.manifestDigest}"`,
        );
    }
    return ok(undefined);
}

function createMismatchError(peer: string, message: string): Result<undefined, GoldcrestpointError> {
    return err(createError("STREAM_BROKEN", matchStep, peer, message, { mayHaveTakenEffect: true }));
}

function toBackendResponse(response: HttpStreamingResponse, kind: "engine" | "service", peer: string): BackendResponse {
    const { status, headers, body } = response;
    const contentType = headers["content-type"] ?? "application/octet-stream";
    const hasEndMarker = kind === "engine" && status < 300 && contentType.startsWith("text/event-stream");
    return {
        status,
        contentType,
        requestId: headers["x-request-id"] ?? "",
        model: headers["x-model"] ?? "",
        adapter: headers["x-adapter"] ?? "",
        version: headers["x-version"] ?? "",
        manifestDigest: headers["x-manifest-digest"] ?? "",
        body: convertBodyErrors(hasEndMarker ? checkEndMarker(body) : body, peer),
    };
}

async function* convertBodyErrors(body: AsyncIterable<Uint8Array>, peer: string): AsyncGenerator<Uint8Array> {
    try {
        yield* body;
    }
    catch (thrown) {
        const failure = (thrown as Error).cause as HttpFailure;
        const cause = toCallError("STREAM_BROKEN", streamStep, peer, failure);
        throw new Error(cause.message, { cause });
    }
}
