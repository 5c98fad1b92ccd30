/** Fields from which the platform fills in a settings template. */
export type TemplateFields = Readonly<Record<string, unknown>>;

const sectionPattern = /\{\{([#^])([^}]+)\}\}([\s\S]*?)\{\{\/\2\}\}/g;
const valuePattern = /\{\{([^}]+)\}\}/g;

function read(fields: TemplateFields, name: string): unknown {
    return name.split(".").reduce<unknown>(
        (value, part) => value instanceof Object ? (value as TemplateFields)[part] : undefined,
        fields,
    );
}

function format(value: unknown): string {
    if (Array.isArray(value)) {
        return value.map(format).join(",");
    }
    return value === undefined ? "" : typeof value === "string" ? value : JSON.stringify(value);
}

/**
 * Fills in a settings template as the platform does. Sections do not nest.
 *
 * @param template - text with placeholders and sections
 * @param fields - values of the placeholders
 * @returns the settings
 */
export function renderTemplate(template: string, fields: TemplateFields): string {
    const expanded = template.replace(
        sectionPattern,
        (...[, kind, name, content]: [string, string, string, string]) => {
            const value = read(fields, name);
            const isPresent = value !== undefined && value !== false;
            if (kind === "^") {
                return isPresent ? "" : content;
            }
            if (!isPresent || !(value instanceof Object)) {
                return isPresent ? content : "";
            }
            const rows = Object.entries(value);
            return rows.map(([key, row], index) =>
                content.replaceAll("{{@}}", key)
                    .replaceAll("{{.}}", format(row))
                    .replaceAll("{{,}}", index === rows.length - 1 ? "" : ",")
            ).join("");
        },
    );
    return expanded.replace(valuePattern, (...[, name]: [string, string]) => format(read(fields, name)));
}
