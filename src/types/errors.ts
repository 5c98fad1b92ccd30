/** Kinds of failures that cross a module's boundary. */
export type ErrorCode =
    | "SETTINGS_INVALID"
    | "DECLARATION_INVALID"
    | "LOG_UNREACHABLE"
    | "LOG_TRUNCATED"
    | "LOG_RESTORED"
    | "APPEND_AMBIGUOUS"
    | "CONFIGURATION_CONFLICT"
    | "INSTANCE_LIST_UNREACHABLE"
    | "ORIGIN_UNREACHABLE"
    | "MANIFEST_INVALID"
    | "CHUNK_CORRUPT"
    | "CHUNK_REFUSED"
    | "TRANSFER_STALLED"
    | "ENGINE_UNREACHABLE"
    | "ENGINE_REFUSED"
    | "ENGINE_CRASHED"
    | "ORDER_AMBIGUOUS"
    | "PEER_UNREACHABLE"
    | "STREAM_BROKEN"
    | "REQUEST_REFUSED"
    | "USAGE_INVALID";

/** Failure with the operation and the peer at which it occurred. */
export interface GoldcrestpointError {
    readonly code: ErrorCode;
    /** Operation in progress, for example `append configuration record`. */
    readonly step: string;
    /** `host:port`, instance id or file name that the operation used; `local` if there is none. */
    readonly peer: string;
    readonly message: string;
    /** True if the operation may have taken effect although it failed. */
    readonly mayHaveTakenEffect: boolean;
    readonly cause?: unknown;
}

/** Options of {@link createError}. */
export interface ErrorDetails {
    /** Default: false. */
    readonly mayHaveTakenEffect?: boolean;
    readonly cause?: unknown;
}

/**
 * Creates an error value for a `Result`.
 *
 * @param code - kind of failure
 * @param step - operation in progress
 * @param peer - address, instance or file that the operation used
 * @param message - what went wrong, in one sentence
 * @param details - further details
 * @returns the error value
 */
export function createError(
    code: ErrorCode,
    step: string,
    peer: string,
    message: string,
    details: ErrorDetails = {},
): GoldcrestpointError {
    return {
        code,
        step,
        peer,
        message,
        mayHaveTakenEffect: details.mayHaveTakenEffect ?? false,
        ...(details.cause === undefined ? {} : { cause: details.cause }),
    };
}

/**
 * Tells whether a thrown value is an error of a port.
 *
 * @param error - the value
 * @returns true if it states whether its call may have taken effect
 */
export function isPortError(error: unknown): error is GoldcrestpointError {
    return error instanceof Object && "mayHaveTakenEffect" in error;
}

/**
 * Tells whether an operation failed because nothing listens at the address of its peer.
 *
 * @param error - the failure
 * @returns true if the connection was refused
 */
export function isConnectionRefused({ cause }: GoldcrestpointError): boolean {
    return (cause as { readonly code?: unknown; } | undefined)?.code === "ECONNREFUSED";
}
