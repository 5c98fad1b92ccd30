import * as z from "zod";
import type { Milliseconds } from "../../types/index.js";

/** One key of a section: its validation, default, documentation and the name of its resolved value. */
export interface KeyDefinition<Value, Property extends string | undefined = string | undefined> {
    /** Validates the text and converts it to the value. */
    readonly schema: z.ZodType<Value, string>;
    /** Description of the allowed texts for error messages and documentation. */
    readonly allowed: string;
    readonly defaultText: string;
    readonly documentation: string;
    /** Name of the value in the resolved settings; undefined if it is the name of the key. */
    readonly property: Property;
}

/** Keys of one section. */
export type SectionDefinition = Readonly<Record<string, KeyDefinition<unknown>>>;

/** Values of one section by their names in the resolved settings. */
export type SectionValues<Section extends SectionDefinition> = {
    readonly [
        Key in keyof Section as Section[Key] extends KeyDefinition<unknown, infer Property extends string> ? Property :
            Key
    ]: Section[Key] extends KeyDefinition<infer Value> ? Value : never;
};

/** Bounds, default and documentation of a number. */
export interface NumberDetails {
    readonly minimum: number;
    readonly maximum: number;
    readonly defaultValue: number;
    readonly documentation: string;
}

const numberPattern = /^-?\d+(\.\d+)?$/;

function createNumberSchema(minimum: number, maximum: number): z.ZodType<number, string> {
    return z.string().regex(numberPattern).transform(Number).pipe(z.number().min(minimum).max(maximum));
}

/**
 * Defines a key that takes a whole number.
 *
 * @param details - bounds, default and documentation
 * @returns the definition
 */
export function defineInteger(details: NumberDetails): KeyDefinition<number, undefined> {
    return {
        schema: createNumberSchema(details.minimum, details.maximum).pipe(z.number().int()),
        allowed: `a whole number from ${details.minimum} to ${details.maximum}`,
        defaultText: String(details.defaultValue),
        documentation: details.documentation,
        property: undefined,
    };
}

/**
 * Defines a key that takes a decimal number.
 *
 * @param details - bounds, default and documentation
 * @returns the definition
 */
export function defineNumber(details: NumberDetails): KeyDefinition<number, undefined> {
    return {
        schema: createNumberSchema(details.minimum, details.maximum),
        allowed: `a number from ${details.minimum} to ${details.maximum}`,
        defaultText: String(details.defaultValue),
        documentation: details.documentation,
        property: undefined,
    };
}

const millisecondsByUnit = { Milliseconds: 1, Seconds: 1_000 } as const;

/** Unit of a duration, which is the suffix of its key. */
export type DurationUnit = keyof typeof millisecondsByUnit;

/**
 * Defines a key that takes a duration. The key ends with the unit; the resolved value is in milliseconds.
 *
 * @param property - name of the value in the resolved settings
 * @param unit - unit of the text and of the bounds
 * @param details - bounds, default and documentation, in the unit
 * @returns the definition
 */
export function defineDuration<const Property extends string>(
    property: Property,
    unit: DurationUnit,
    details: NumberDetails,
): KeyDefinition<Milliseconds, Property> {
    return {
        schema: createNumberSchema(details.minimum, details.maximum)
            .transform(amount => amount * millisecondsByUnit[unit]),
        allowed: `a number of ${unit.toLowerCase()} from ${details.minimum} to ${details.maximum}, without a unit`,
        defaultText: String(details.defaultValue),
        documentation: details.documentation,
        property,
    };
}

/**
 * Defines a key that takes one of several words.
 *
 * @param choices - the words; the first one is the default
 * @param documentation - meaning of the key
 * @returns the definition
 */
export function defineChoice<const Choice extends string>(
    choices: readonly [Choice, ...Choice[]],
    documentation: string,
): KeyDefinition<Choice, undefined> {
    return {
        schema: z.string().refine((text): text is Choice => (choices as readonly string[]).includes(text)),
        allowed: choices.join(" or "),
        defaultText: choices[0],
        documentation,
        property: undefined,
    };
}

/**
 * Defines a key that is true or false.
 *
 * @param defaultValue - the default
 * @param documentation - meaning of the key
 * @returns the definition
 */
export function defineBoolean(defaultValue: boolean, documentation: string): KeyDefinition<boolean, undefined> {
    return {
        schema: z.string().regex(/^(true|false)$/).transform(text => text === "true"),
        allowed: "true or false",
        defaultText: String(defaultValue),
        documentation,
        property: undefined,
    };
}

/** Kinds of text, with the pattern to match and its description. */
const textKinds = {
    name: {
        pattern: /^[A-Za-z0-9][A-Za-z0-9._:-]{0,127}$/,
        allowed: "letters, digits, '.', '_', ':', '-'; at most 128",
    },
    address: {
        pattern: /^(\[[0-9a-fA-F:]+\]|[A-Za-z0-9.-]+):\d{1,5}$/,
        allowed: "host:port, for example 10.0.3.7:7401",
    },
    url: { pattern: /^https?:\/\/[^\s/]+(\/\S*)?$/, allowed: "an http or https URL without spaces" },
} as const;

/** Kind of text that a key takes. */
export type TextKind = keyof typeof textKinds;

/**
 * Defines a key that takes a text.
 *
 * @param kind - kind of text
 * @param defaultValue - the default; empty if the key may be left out
 * @param documentation - meaning of the key
 * @returns the definition
 */
export function defineText(
    kind: TextKind,
    defaultValue: string,
    documentation: string,
): KeyDefinition<string, undefined> {
    const { pattern, allowed } = textKinds[kind];
    return {
        schema: z.string().refine(text => pattern.test(text) || (text === "" && defaultValue === "")),
        allowed: defaultValue === "" ? `${allowed}, or nothing` : allowed,
        defaultText: defaultValue,
        documentation,
        property: undefined,
    };
}

/**
 * Defines a key that takes texts separated by commas.
 *
 * @param kind - kind of each text
 * @param defaultValue - the default, as written in a file
 * @param documentation - meaning of the key
 * @returns the definition
 */
export function defineList(
    kind: TextKind,
    defaultValue: string,
    documentation: string,
): KeyDefinition<readonly string[], undefined> {
    const { pattern, allowed } = textKinds[kind];
    return {
        schema: z.string()
            .transform(text => text === "" ? [] : text.split(",").map(part => part.trim()))
            .pipe(z.array(z.string().regex(pattern))),
        allowed: `values separated by commas, each: ${allowed}`,
        defaultText: defaultValue,
        documentation,
        property: undefined,
    };
}

/**
 * Gives a value a name of its own in the resolved settings, for example because its key ends with a unit.
 *
 * @param property - name of the value in the resolved settings
 * @param definition - the definition
 * @returns the definition with that name
 */
export function renameKey<Value, const Property extends string>(
    property: Property,
    definition: KeyDefinition<Value>,
): KeyDefinition<Value, Property> {
    return { ...definition, property };
}
