import { parse } from "ini";
import { readFileSync } from "node:fs";
import { err, ok, type Result } from "true-myth/result";
import { createError, type GoldcrestpointError } from "../../types/index.js";

/** Content of a settings or declaration file. */
export interface IniFile {
    /** Name for error messages. */
    readonly name: string;
    readonly content: string;
}

/** One key of an INI file with its text. */
export interface IniValue {
    readonly section: string;
    readonly key: string;
    readonly text: string;
}

/**
 * Reads an INI file.
 *
 * @param path - path of the file
 * @param code - error code for a file that cannot be read
 * @returns the file's content; an error with the given code if it cannot be read
 */
export function readIniFile(
    path: string,
    code: "SETTINGS_INVALID" | "DECLARATION_INVALID",
): Result<IniFile, GoldcrestpointError> {
    try {
        return ok({ name: path, content: readFileSync(path, "utf8") });
    }
    catch (cause) {
        return err(createError(code, "read file", path, `${path}: cannot be read (${String(cause)})`, { cause }));
    }
}

/**
 * Lists the keys of an INI file in the order of the file.
 *
 * @param content - text of the file
 * @returns each key with its section (empty for a key outside of all sections) and its text
 */
export function listIniValues(content: string): IniValue[] {
    return flattenSection("", parse(content, { bracketedArray: false }));
}

function flattenSection(section: string, values: Readonly<Record<string, unknown>>): IniValue[] {
    return Object.entries(values).flatMap(([key, value]) =>
        typeof value === "object" && value !== undefined && Boolean(value) ?
            flattenSection(section === "" ? key : `${section}.${key}`, value as Record<string, unknown>) :
            // The parser converts `true`, `false` and `null` to JavaScript values.
            [{ section, key, text: String(value).trim() }]
    );
}
