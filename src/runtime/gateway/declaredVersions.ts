import type { DeclaredVersion, Milliseconds } from "../../types/index.js";

/** Options of the change from one version of weights to the next. */
export interface VersionOptions {
    /** Time after a version was declared from which on no request is sent to an older one. */
    readonly cutoverAfter: Milliseconds;
    /**
     * Age assumed for a version that was already declared when this process started, since the record does not tell
     * when it was written.
     */
    readonly assumedAge: Milliseconds;
    /** Time after a declaration by which an answer of an older version must have begun. */
    readonly abandonAfter: Milliseconds;
}

/** Version with the time at which it was declared, as far as this process knows. */
interface KnownVersion {
    readonly version: number;
    readonly declaredAt: Milliseconds;
}

/** Versions of each model, newest first; those before the newest one that is due are left out. */
export type VersionTable = Map<string, readonly KnownVersion[]>;

/** Versions that may answer. */
export interface AllowedVersions {
    /** Newest declared version; undefined if none was declared. */
    readonly newest: number | undefined;
    /** Oldest version that may still answer. */
    readonly oldest: number;
    /** Monotonic time at which the newest version was declared. */
    readonly declaredAt: Milliseconds | undefined;
}

/** Version that backend servers hold before any is declared. */
export const initialVersion = 1;

/**
 * Takes a declared version over. A version that is not newer than the known ones changes nothing.
 *
 * @param table - table to change
 * @param declared - model and version
 * @param declaredAt - monotonic time at which it was declared
 * @param options - time of the change
 * @returns true if the version is new
 */
export function recordDeclaredVersion(
    table: VersionTable,
    declared: DeclaredVersion,
    declaredAt: Milliseconds,
    options: VersionOptions,
): boolean {
    const known = table.get(declared.model) ?? [];
    if (known[0] !== undefined && known[0].version >= declared.version) {
        return false;
    }
    const due = known.findIndex(row => row.declaredAt + options.cutoverAfter <= declaredAt);
    const kept = due < 0 ? known : known.slice(0, due + 1);
    table.set(declared.model, [{ version: declared.version, declaredAt }, ...kept]);
    return true;
}

/**
 * Reads which versions of a model may answer.
 *
 * @param table - declared versions
 * @param model - the model
 * @param now - monotonic time
 * @param options - time of the change
 * @returns the newest version and the oldest one that may still answer
 */
export function readAllowedVersions(
    table: VersionTable,
    model: string,
    now: Milliseconds,
    options: VersionOptions,
): AllowedVersions {
    const known = table.get(model) ?? [];
    const due = known.find(({ declaredAt }) => declaredAt + options.cutoverAfter <= now);
    return {
        newest: known[0]?.version,
        oldest: due?.version ?? 0,
        declaredAt: known[0]?.declaredAt,
    };
}

/**
 * Reads by when an answer of a version must have begun.
 *
 * @param table - declared versions
 * @param model - the model
 * @param version - version that a backend server holds
 * @param options - time of the change
 * @returns monotonic time; undefined if no newer version is known
 */
export function readBeginLimit(
    table: VersionTable,
    model: string,
    version: number,
    options: VersionOptions,
): Milliseconds | undefined {
    const newer = (table.get(model) ?? []).filter(known => known.version > version);
    const declaredAt = newer.at(-1)?.declaredAt;
    return declaredAt === undefined ? undefined : declaredAt + options.abandonAfter;
}
