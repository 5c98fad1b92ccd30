import { createError, type ErrorCode, type GoldcrestpointError } from "../../types/index.js";

/** Invalid, unknown or missing key of a settings or declaration file, an environment variable or a flag. */
export interface SettingsProblem {
    /** File name, `environment variable NAME` or `flag NAME`. */
    readonly source: string;
    readonly section: string;
    readonly key: string;
    /** Text that was found; undefined if the key is missing. */
    readonly value: string | undefined;
    /** Description of what is allowed. */
    readonly allowed: string;
}

/**
 * Describes a problem in one line.
 *
 * @param problem - the problem
 * @returns source, section, key, value and what is allowed
 */
export function describeProblem(problem: SettingsProblem): string {
    const value = problem.value === undefined ? "is missing" : `= ${JSON.stringify(problem.value)}`;
    return `${problem.source}: [${problem.section}] ${problem.key} ${value}: allowed is ${problem.allowed}`;
}

/**
 * Creates the error for invalid settings or an invalid declaration.
 *
 * @param code - `SETTINGS_INVALID` or `DECLARATION_INVALID`
 * @param step - operation in progress
 * @param problems - the problems; at least one
 * @returns the error; its message has one line for each problem and its cause is the list of problems
 */
export function createProblemError(
    code: ErrorCode,
    step: string,
    problems: readonly SettingsProblem[],
): GoldcrestpointError {
    const source = problems[0]?.source ?? "local";
    return createError(code, step, source, problems.map(describeProblem).join("\n"), { cause: problems });
}
