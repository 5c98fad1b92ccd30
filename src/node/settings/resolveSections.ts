import type { SectionDefinition, SectionValues } from "./keyDefinitions.js";
import type { SettingsProblem } from "./problems.js";
import { type IniFile, type IniValue, listIniValues } from "./readSources.js";

/** Sources of settings. A flag takes precedence over the environment, the environment over the file. */
export interface SettingsSources {
    /** Default: no file. */
    readonly file?: IniFile | undefined;
    readonly environment: Readonly<Record<string, string | undefined>>;
    /** Texts by `section.key`. */
    readonly flags: Readonly<Record<string, string>>;
}

/** Sections by name. */
export type SectionTable = Readonly<Record<string, SectionDefinition>>;

interface SourcedText {
    readonly source: string;
    readonly text: string;
}

const environmentPrefix = "GOLDCRESTPOINT_";

/** Environment variable that holds the path of the settings file when no flag names one. */
export const settingsFileVariable = "GOLDCRESTPOINT_CONFIG";

/**
 * Returns the name of the environment variable of a key.
 *
 * @param section - section name
 * @param key - key name
 * @returns for example `GOLDCRESTPOINT_BACKEND_SERVER_CHECKS_FENCING`
 */
export function getEnvironmentVariableName(section: string, key: string): string {
    const words = `${section}_${key}`.replace(/([a-z0-9])([A-Z])/g, "$1_$2");
    return environmentPrefix + words.toUpperCase();
}

function describeUnknownKey(sections: SectionTable, section: string, key: string): string {
    const definition = sections[section];
    if (definition === undefined) {
        return `one of the sections ${Object.keys(sections).join(", ")}`;
    }
    const stem = key.replace(/(Milliseconds|Seconds|Minutes|Bytes)$/, "");
    const similar = Object.keys(definition).filter(name => stem !== "" && name.startsWith(stem));
    const suggestion = similar.length === 0 ? "" : ` (did you mean ${similar.join(" or ")}?)`;
    return `one of the keys ${Object.keys(definition).join(", ")}${suggestion}`;
}

function collectFileTexts(
    sections: SectionTable,
    file: IniFile,
    problems: SettingsProblem[],
): Map<string, SourcedText> {
    const texts = new Map<string, SourcedText>();
    for (const { section, key, text } of listIniValues(file.content)) {
        if (sections[section]?.[key] === undefined) {
            const allowed = describeUnknownKey(sections, section, key);
            problems.push({ source: file.name, section, key, value: text, allowed });
            continue;
        }
        texts.set(`${section}.${key}`, { source: file.name, text });
    }
    return texts;
}

function collectEnvironmentTexts(
    sections: SectionTable,
    environment: SettingsSources["environment"],
    problems: SettingsProblem[],
): Map<string, SourcedText> {
    const texts = new Map<string, SourcedText>();
    const known = new Set<string>([settingsFileVariable]);
    for (const { section, key } of listKeys(sections)) {
        const name = getEnvironmentVariableName(section, key);
        const text = environment[name];
        known.add(name);
        if (text !== undefined) {
            texts.set(`${section}.${key}`, { source: `environment variable ${name}`, text: text.trim() });
        }
    }
    for (const [name, value] of Object.entries(environment)) {
        if (name.startsWith(environmentPrefix) && !known.has(name)) {
            const allowed = `${environmentPrefix}SECTION_KEY with a section and a key of the settings`;
            problems.push({ source: `environment variable ${name}`, section: "", key: name, value, allowed });
        }
    }
    return texts;
}

function collectFlagTexts(
    sections: SectionTable,
    flags: SettingsSources["flags"],
    problems: SettingsProblem[],
): Map<string, SourcedText> {
    const texts = new Map<string, SourcedText>();
    for (const [name, text] of Object.entries(flags)) {
        const separator = name.indexOf(".");
        const section = name.slice(0, Math.max(separator, 0));
        const key = name.slice(separator + 1);
        if (sections[section]?.[key] === undefined) {
            const allowed = describeUnknownKey(sections, section, key);
            problems.push({ source: `flag ${name}`, section, key, value: text, allowed });
            continue;
        }
        texts.set(name, { source: `flag ${name}`, text: text.trim() });
    }
    return texts;
}

function listKeys(sections: SectionTable): Omit<IniValue, "text">[] {
    return Object.entries(sections).flatMap(([section, definition]) =>
        Object.keys(definition).map(key => ({ section, key }))
    );
}

/** Values by section and by their names in the resolved settings. */
export type ResolvedSections<Sections extends SectionTable> = {
    readonly [Name in keyof Sections]: SectionValues<Sections[Name]>;
};

/**
 * Resolves each key from the source with the highest precedence that contains it, or from its default. Keys of sections
 * that a program does not use are checked too, so that several programs can share a file.
 *
 * @param sections - all known sections
 * @param sources - flags, environment and file
 * @returns the values, incomplete if there are problems, and the problems
 */
export function resolveSections<Sections extends SectionTable>(
    sections: Sections,
    sources: SettingsSources,
): { readonly values: ResolvedSections<Sections>; readonly problems: readonly SettingsProblem[]; } {
    const problems: SettingsProblem[] = [];
    const layers = [
        collectFlagTexts(sections, sources.flags, problems),
        collectEnvironmentTexts(sections, sources.environment, problems),
        sources.file === undefined ?
            new Map<string, SourcedText>() :
            collectFileTexts(sections, sources.file, problems),
    ];
    const values: Record<string, Record<string, unknown>> = {};
    for (const { section, key } of listKeys(sections)) {
        const definition = sections[section]![key]!;
        const found = layers.map(layer => layer.get(`${section}.${key}`)).find(text => text !== undefined);
        const { source, text } = found ?? { source: "default", text: definition.defaultText };
        const parsed = definition.schema.safeParse(text);
        if (!parsed.success) {
            problems.push({ source, section, key, value: text, allowed: definition.allowed });
            continue;
        }
        (values[section] ??= {})[definition.property ?? key] = parsed.data;
    }
    return { values: values as ResolvedSections<Sections>, problems };
}
