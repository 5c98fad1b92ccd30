import type { IncomingMessage } from "node:http";

/** Bytes of a request line beside method and target, and of a header field beside name and value. */
const framingBytes = { line: "  HTTP/1.1\r\n".length, field: ": \r\n".length, end: "\r\n".length };

/**
 * Measures the head of a request as if it had been sent without optional whitespace.
 *
 * @param incoming - the request
 * @returns bytes of the request line and the header fields, with the empty line
 */
export function measureHead({ method, rawHeaders, url }: IncomingMessage): number {
    const lineBytes = (method ?? "").length + (url ?? "").length + framingBytes.line;
    const fieldBytes = rawHeaders.reduce((sum, { length }) => sum + length, 0) +
        rawHeaders.length / 2 * framingBytes.field;
    return lineBytes + fieldBytes + framingBytes.end;
}
