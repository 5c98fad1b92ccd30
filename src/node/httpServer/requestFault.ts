/** Reason for which a server refuses a request that it cannot read. */
export type RequestFaultReason =
    | "chunk-extensions-too-large"
    | "head-too-large"
    | "incomplete"
    | "malformed"
    | "memory-limit"
    | "request-too-slow"
    | "tunnel";

/** Request that a server cannot read, and the status with which it is refused. */
export interface RequestFault {
    readonly reason: RequestFaultReason;
    readonly status: 400 | 408 | 413 | 431 | 501 | 503;
}

/** Head that is larger than the limit. */
export const headTooLarge: RequestFault = { reason: "head-too-large", status: 431 };

/** Head that arrives slowly, and whose memory is needed for others. */
export const headEndedForMemory: RequestFault = { reason: "memory-limit", status: 503 };

/** Request to open a tunnel. */
export const tunnelRequest: RequestFault = { reason: "tunnel", status: 501 };

const malformed: RequestFault = { reason: "malformed", status: 400 };
const parserPrefix = "HPE_";
/** Errors of Node that are not a malformed request. */
const faults: Readonly<Record<string, RequestFault>> = {
    HPE_CHUNK_EXTENSIONS_OVERFLOW: { reason: "chunk-extensions-too-large", status: 413 },
    HPE_HEADER_OVERFLOW: headTooLarge,
    HPE_INVALID_EOF_STATE: { reason: "incomplete", status: 400 },
    ERR_HTTP_REQUEST_TIMEOUT: { reason: "request-too-slow", status: 408 },
};

/**
 * Finds what is wrong with a request.
 *
 * @param code - code of the error that Node reports for its connection
 * @returns the fault, or undefined if the connection failed
 */
export function findRequestFault(code: string | undefined): RequestFault | undefined {
    return faults[code ?? ""] ?? (code?.startsWith(parserPrefix) === true ? malformed : undefined);
}

const reasonPhrases: Readonly<Record<RequestFault["status"], string>> = {
    400: "Bad Request",
    408: "Request Timeout",
    413: "Content Too Large",
    431: "Request Header Fields Too Large",
    501: "Not Implemented",
    503: "Service Unavailable",
};

/**
 * Formats a refusal for a connection on which no other response is open.
 *
 * @param status - its status
 * @returns head of a response without a body
 */
export function formatRefusal(status: RequestFault["status"]): string {
    return `HTTP/1.1 ${status} ${reasonPhrases[status]}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`;
}
