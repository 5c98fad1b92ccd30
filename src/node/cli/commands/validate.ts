import { ok } from "true-myth/result";
import { parseDeclaration } from "../../declaration/index.js";
import { listIniValues, readIniFile, resolveEntrySettings } from "../../settings/index.js";
import { exitCodes } from "../exitCodes.js";
import type { CommandHandler } from "../types.js";

/**
 * Checks a declaration, or a settings file if it has no section `deployment`.
 *
 * @param context - output
 * @param path - path of the file
 * @returns the exit code; `DECLARATION_INVALID` or `SETTINGS_INVALID` with one line for each problem
 */
export const validate: CommandHandler = (context, path) => {
    const result = readIniFile(path, "DECLARATION_INVALID").andThen(file => {
        const sections = new Set(listIniValues(file.content).map(({ section }) => section));
        if (sections.has("deployment") || sections.has("replicas") || sections.size === 0) {
            return parseDeclaration(file).map(({ deployment }) => ({ kind: "declaration", deployment }));
        }
        return resolveEntrySettings({ file, environment: {}, flags: {} }).map(() => ({ kind: "settings" }));
    });
    return Promise.resolve(result.andThen(description => {
        context.emit({ text: `${path}: valid ${description.kind}`, json: { valid: true, file: path, ...description } });
        return ok(exitCodes.success);
    }));
};
