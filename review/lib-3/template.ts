/** Values of a template by name. */
export type Values = Readonly<Record<string, unknown>>;

function read(scopes: readonly Values[], name: string): unknown {
    const [first = "", ...rest] = name.split(".");
    const scope = scopes.find(values => values[first] !== undefined);
    return rest.reduce<unknown>(
        (value, part) => value === undefined ? undefined : (value as Values)[part],
        scope?.[first],
    );
}

function format(value: unknown): string {
    if (value === undefined) {
        return "";
    }
    if (Array.isArray(value)) {
        return value.map(String).join(",");
    }
    return typeof value === "string" ? value : JSON.stringify(value);
}

/** Lists the entries of a section, each with its key and whether it is the last one. */
function listEntries(value: unknown): readonly (readonly [string, unknown])[] {
    if (value === undefined || value === false) {
        return [];
    }
    return typeof value === "object" ? Object.entries({ ...value }) : [["", value]];
}

/**
 * Renders a template of the platform's settings: values, lists and sections, as far as `platform/settings.ini` uses them.
 */
export function renderTemplate(template: string, values: Values): string {
    const sections = template.replace(
        /\{\{#([\w.]+)\}\}([\s\S]*?)\{\{\/\1\}\}/g,
        (...[, name, content]: string[]) =>
            listEntries(read([values], name!)).map(([key, entry], index, all) =>
                renderTemplate(
                    content!
                        .replaceAll("{{@}}", key)
                        .replaceAll("{{.}}", format(entry))
                        .replaceAll("{{,}}", index < all.length - 1 ? "," : ""),
                    values,
                )
            ).join(""),
    );
    return sections.replace(/\{\{([\w.]+)\}\}/g, (...[, name]: string[]) => format(read([values], name!)));
}
