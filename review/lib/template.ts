/** Fields from which the platform fills in the template of the settings. */
export type Fields = Readonly<Record<string, unknown>>;

function lookUp(scopes: readonly unknown[], name: string): unknown {
    if (name === ".") {
        return scopes.at(-1);
    }
    for (const scope of [...scopes].reverse()) {
        let value: unknown = scope;
        for (const part of name.split(".")) {
            value = value instanceof Object ? (value as Record<string, unknown>)[part] : undefined;
        }
        if (value !== undefined) {
            return value;
        }
    }
    return undefined;
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

function renderIn(template: string, scopes: readonly unknown[], key: string, isLast: boolean): string {
    const sections = template.replace(
        /\{\{([#^])([^}]+)\}\}([\s\S]*?)\{\{\/\2\}\}/g,
        (...[, kind, name, content]: [string, string, string, string]) => {
            const value = lookUp(scopes, name);
            const isPresent = value !== undefined && value !== false;
            if (kind === "^") {
                return isPresent ? "" : renderIn(content, scopes, key, isLast);
            }
            if (!isPresent) {
                return "";
            }
            if (!(value instanceof Object)) {
                return renderIn(content, [...scopes, value], key, isLast);
            }
            const rows = Object.entries(value);
            return rows.map(([name, row], index) => renderIn(content, [...scopes, row], name, index === rows.length - 1))
                .join("");
        },
    );
    return sections.replace(/\{\{([^}]+)\}\}/g, (...[, name]: [string, string]) => {
        if (name === "@") {
            return key;
        }
        return name === "," ? (isLast ? "" : ",") : format(lookUp(scopes, name));
    });
}

/**
 * Fills in a template as DEPLOY describes it.
 *
 * @param template - text with placeholders and sections
 * @param fields - fields of a process
 * @returns the settings file
 */
export function renderTemplate(template: string, fields: Fields): string {
    return renderIn(template, [fields], "", true);
}
