/** Lowest and highest status of HTTP; a response with another one is no response to the request. */
const statusRange = { lowest: 100, highest: 599 };
/** Characters of a status line that are quoted. */
const quotedCharacters = 40;
/** Messages of undici, whose errors of the parser have no code. */
const unreadableStatusPattern = /Invalid (?:response )?status|Expected space after version/;

/** Error of a response whose status is no status of HTTP. */
export class InvalidStatusError extends Error {}

/**
 * Tells whether a status is one of HTTP.
 *
 * @param status - status of a response
 * @returns false if it is outside 100 to 599
 */
export function isHttpStatus(status: number): boolean {
    return Number.isInteger(status) && status >= statusRange.lowest && status <= statusRange.highest;
}

/**
 * Creates the error of a status that is none of HTTP.
 *
 * @param status - the status
 * @returns the error
 */
export function createStatusError(status: number): InvalidStatusError {
    const text = String(status).padStart(3, "0");
    return new InvalidStatusError(`status ${text} is outside ${statusRange.lowest} to ${statusRange.highest}`);
}

/**
 * Tells whether a parser could not read the status line of a response.
 *
 * @param cause - error of the call
 * @returns true if it could not read the status
 */
export function isUnreadableStatus(cause: unknown): boolean {
    return cause instanceof Error && cause.name === "HTTPParserError" && unreadableStatusPattern.test(cause.message);
}

/**
 * Describes the last status line of received bytes.
 *
 * @param text - bytes that a connection received last, as text
 * @returns message with the status line, or with the beginning of the bytes if there is none
 */
export function describeStatusLine(text: string): string {
    const start = Math.max(0, text.lastIndexOf("HTTP/"));
    const line = text.slice(start).split(/[\r\n]/, 1)[0]!.slice(0, quotedCharacters);
    return `the status line ${JSON.stringify(line)} has no status from ${statusRange.lowest} to ${statusRange.highest}`;
}
