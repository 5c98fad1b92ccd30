import { err, ok, type Result } from "true-myth/result";
import { createError, type GoldcrestpointError } from "../../types/index.js";
import { readIniFile, settingsFileVariable, type SettingsSources } from "../settings/index.js";
import type { CommandOptions } from "./types.js";

const step = "read flags";

function parseAssignments(assignments: readonly string[]): Result<Record<string, string>, GoldcrestpointError> {
    const flags: Record<string, string> = {};
    for (const assignment of assignments) {
        const separator = assignment.indexOf("=");
        if (separator <= 0) {
            const message = `flag --set ${JSON.stringify(assignment)}: allowed is SECTION.KEY=VALUE`;
            return err(createError("SETTINGS_INVALID", step, "flag --set", message));
        }
        flags[assignment.slice(0, separator)] = assignment.slice(separator + 1);
    }
    return ok(flags);
}

/**
 * Collects the sources of settings: the settings file, environment variables and flags.
 *
 * @param environment - environment variables
 * @param options - parsed flags
 * @returns the sources; `SETTINGS_INVALID` for a file that cannot be read or a malformed `--set`
 */
export function readSettingsSources(
    environment: SettingsSources["environment"],
    options: CommandOptions,
): Result<SettingsSources, GoldcrestpointError> {
    const assignments = Array.isArray(options["set"]) ? options["set"] as readonly string[] : [];
    return parseAssignments(assignments).andThen((flags): Result<SettingsSources, GoldcrestpointError> => {
        const path = options["settings"] ?? environment[settingsFileVariable];
        return typeof path === "string" ?
            readIniFile(path, "SETTINGS_INVALID").map(file => ({ file, environment, flags })) :
            ok({ environment, flags });
    });
}
