import type { ErrorCode } from "../../types/index.js";

/** Exit codes of all programs. */
export const exitCodes = { success: 0, failure: 1, usage: 2, conflict: 3, unreachable: 4 } as const;

/** Exit code of a program. */
export type ExitCode = typeof exitCodes[keyof typeof exitCodes];

const exitCodesByError: Partial<Record<ErrorCode, ExitCode>> = {
    SETTINGS_INVALID: exitCodes.usage,
    DECLARATION_INVALID: exitCodes.usage,
    USAGE_INVALID: exitCodes.usage,
    CONFIGURATION_CONFLICT: exitCodes.conflict,
    LOG_UNREACHABLE: exitCodes.unreachable,
    LOG_TRUNCATED: exitCodes.unreachable,
    APPEND_AMBIGUOUS: exitCodes.unreachable,
    INSTANCE_LIST_UNREACHABLE: exitCodes.unreachable,
    ORIGIN_UNREACHABLE: exitCodes.unreachable,
    PEER_UNREACHABLE: exitCodes.unreachable,
};

/** Description of the exit codes for the help texts. */
export const exitCodesHelp = `Exit codes:
  0  success
  1  failure
  2  wrong settings, declaration or usage
  3  conflict: another operator's change was accepted first
  4  platform or entry instances unreachable, or the outcome is unknown`;

/**
 * Chooses the exit code for an error.
 *
 * @param code - code of the error
 * @returns the exit code; 1 for errors without a specific one
 */
export function chooseExitCode(code: ErrorCode): ExitCode {
    return exitCodesByError[code] ?? exitCodes.failure;
}
