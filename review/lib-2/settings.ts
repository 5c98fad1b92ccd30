import { readFileSync } from "node:fs";

/** Fields of the platform's settings, which a template refers to by their path. */
export interface Fields {
    readonly [name: string]: Field;
}

/** Value of a field. */
export type Field = string | number | boolean | readonly string[] | Fields;

const templateFile = "platform/settings.ini";
const deployFile = "deploy/system.toml";
const sectionPattern = /\{\{([#^])([\w.]+)\}\}((?:(?!\{\{[#^])[\s\S])*?)\{\{\/\2\}\}/;
const fieldPattern = /\{\{([\w.]+)\}\}/g;

function isTable(field: Field | undefined): field is Fields {
    return typeof field === "object" && !Array.isArray(field);
}

function find(fields: Fields, path: string): Field | undefined {
    let found: Field | undefined = fields;
    for (const name of path.split(".")) {
        found = Array.isArray(found) ?
            found[Number(name)] as string | undefined :
            isTable(found) ?
            found[name] :
            undefined;
    }
    return found;
}

function show(field: Field | undefined): string {
    return field === undefined ?
        "" :
        Array.isArray(field) ?
        field.join(",") :
        isTable(field) ?
        JSON.stringify(field) :
        String(field);
}

function renderSection(kind: string, field: Field | undefined, text: string): string {
    const isAbsent = field === undefined || field === false;
    if (kind === "^" || isAbsent) {
        return (kind === "^") === isAbsent ? text : "";
    }
    if (!isTable(field)) {
        return text;
    }
    const entries = Object.entries(field);
    return entries.map(([key, value], index) =>
        text.replaceAll("{{@}}", key).replaceAll("{{.}}", show(value)).replaceAll(
            "{{,}}",
            index < entries.length - 1 ? "," : "",
        )
    ).join("");
}

/**
 * Renders the settings of a process as the platform does.
 *
 * @param fields - fields of the platform's settings
 * @returns content of the settings file
 */
export function renderSettings(fields: Fields): string {
    let text = readFileSync(templateFile, "utf8");
    for (;;) {
        const match: readonly string[] = sectionPattern.exec(text) ?? [];
        const [whole, kind = "", path = "", content = ""] = match;
        if (whole === undefined) {
            break;
        }
        text = text.replace(whole, () => renderSection(kind, find(fields, path), content));
    }
    return text.replace(fieldPattern, (...[, path]) => show(find(fields, path as string)));
}

/**
 * Reads the command of a role from the deploy file.
 *
 * @param role - name of the role
 * @returns the program and its arguments
 */
export function readCommand(role: string): readonly string[] {
    const section = readFileSync(deployFile, "utf8").split(`[roles.${role}]`)[1] ?? "";
    return (/^run = "(.*)"$/m.exec(section)?.[1] ?? "").split(" ");
}
