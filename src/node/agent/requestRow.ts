import type { Milliseconds, RequestRow } from "../../types/index.js";
import type { ExecuteCall } from "./frames.js";

/**
 * Creates the row of a request from its call.
 *
 * @param call - the call
 * @param now - monotonic time of arrival
 * @returns the row, with the deadline on the monotonic clock of this process
 */
export function createRequestRow(call: ExecuteCall, now: Milliseconds): RequestRow {
    const { request } = call;
    return {
        requestId: request.requestId,
        deployment: request.deployment,
        clientAccount: request.clientAccount,
        priority: request.priority,
        deadline: now + Number(request.deadlineMilliseconds),
        receivedAt: now,
        idempotent: request.idempotent,
        idempotencyKey: request.idempotencyKey === "" ? undefined : request.idempotencyKey,
        fingerprint: request.fingerprint,
        prefix: request.prefix === "" ? undefined : request.prefix,
    };
}
