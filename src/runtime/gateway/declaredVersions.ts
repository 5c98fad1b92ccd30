import type { DeclaredVersion, Milliseconds } from "../../types/index.js";

/** Options of the switch from one version of the weights to the next. */
export interface VersionOptions {
    /** Time after the declaration of a version from which on older versions receive no requests. */
    readonly cutoverAfter: Milliseconds;
    /** Time after the declaration of a version within which an answer of an older version must have begun. */
    readonly abandonAfter: Milliseconds;
}

/** Version with the estimated monotonic time of its declaration. */
interface KnownVersion {
    readonly version: number;
    readonly declaredAt: Milliseconds;
}

/** Versions by model, newest first. Versions older than the newest one whose cutover time has passed are left out. */
export type VersionTable = Map<string, readonly KnownVersion[]>;

/** Versions of a model that may answer requests. */
export interface AllowedVersions {
    /** Newest declared version; undefined if none was declared. */
    readonly newest: number | undefined;
    /** Oldest version that may still answer; 0 if any may. */
    readonly oldest: number;
    /** Monotonic time at which the newest version was declared. */
    readonly declaredAt: Milliseconds | undefined;
}

/** Options of {@link computeAssumedAge}. */
export interface AssumedAgeOptions {
    /** Smallest assumed age. */
    readonly assumedAge: Milliseconds;
    readonly cutoverAfter: Milliseconds;
    /** Time after its start for which a process may still use older versions for longer. */
    readonly settleTime: Milliseconds;
}

/** Time before a limit at which the last request is sent to an older version, which may queue it. */
export const cutoverMargin: Milliseconds = 700;
/** Largest share of a limit that a margin may take. */
export const maximumMarginShare = 0.25;

/**
 * Computes the age at the start of a process that it assumes for a version that was declared earlier. Its true age is
 * unknown, so the cutover time of older versions must have passed before the process has settled: requests that are
 * sent until then still have to begin.
 *
 * @param options - times of the switch and of the start
 * @returns age in milliseconds at the start of the process
 */
export function computeAssumedAge({ assumedAge, cutoverAfter, settleTime }: AssumedAgeOptions): Milliseconds {
    const margin = Math.min(cutoverMargin, settleTime * maximumMarginShare);
    return Math.max(assumedAge, cutoverAfter - (settleTime - margin));
}

/** Times at which versions were declared. */
export interface DeclarationTimes {
    /** Monotonic time of the declaration. */
    readonly declaredAt: Milliseconds;
    /** Monotonic time after which versions between the newest known one and this one were declared. */
    readonly skippedAfter: Milliseconds;
}

/** Version that backend servers hold before one is declared. */
export const initialVersion = 1;

/**
 * Records a declared version. A version that is not newer than the known ones is ignored. Versions between the newest
 * known one and the new one were declared, too, so older ones are used no longer than the earliest of them allows.
 *
 * @param table - table to change
 * @param declared - model and version
 * @param times - time of the declaration, and of skipped ones
 * @param options - times of the switch
 * @returns true if the version is new
 */
export function recordDeclaredVersion(
    table: VersionTable,
    declared: DeclaredVersion,
    times: DeclarationTimes,
    options: VersionOptions,
): boolean {
    const known = table.get(declared.model) ?? [];
    const newest = known[0] ?? { version: initialVersion, declaredAt: -Infinity };
    if (known.length > 0 && newest.version >= declared.version) {
        return false;
    }
    const declaredAt = Math.max(newest.declaredAt, times.declaredAt);
    const skippedAt = Math.max(newest.declaredAt, Math.min(times.skippedAfter, declaredAt));
    const skipped = declared.version - newest.version > 1 ?
        [{ version: declared.version - 1, declaredAt: skippedAt }] :
        [];
    const rows = [...skipped, ...known];
    const due = rows.findIndex(row => row.declaredAt + options.cutoverAfter <= declaredAt);
    const kept = due < 0 ? rows : rows.slice(0, due + 1);
    table.set(declared.model, [{ version: declared.version, declaredAt }, ...kept]);
    return true;
}

/**
 * Dates a known version more exactly. It and newer ones were not declared before the time.
 *
 * @param table - table to change
 * @param declared - model and version
 * @param declaredAfter - monotonic time after which the version was declared
 * @returns true if the version is known and its time has changed
 */
export function dateDeclaredVersion(
    table: VersionTable,
    { model, version }: DeclaredVersion,
    declaredAfter: Milliseconds,
): boolean {
    const known = table.get(model) ?? [];
    const isChanged = known.some(row => row.version === version && row.declaredAt < declaredAfter);
    if (isChanged) {
        table.set(
            model,
            known.map(row =>
                row.version < version ? row : { ...row, declaredAt: Math.max(row.declaredAt, declaredAfter) }
            ),
        );
    }
    return isChanged;
}

/**
 * Computes which versions of a model may answer.
 *
 * @param table - declared versions
 * @param model - the model
 * @param now - monotonic time
 * @param options - times of the switch
 * @returns the newest version and the oldest one that may still answer
 */
export function computeAllowedVersions(
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
 * Computes when the head of an answer of a version must have arrived.
 *
 * @param table - declared versions
 * @param model - the model
 * @param version - version that a backend server holds
 * @param options - times of the switch
 * @returns monotonic time of the deadline; undefined if no newer version is known
 */
export function computeHeadDeadline(
    table: VersionTable,
    model: string,
    version: number,
    options: VersionOptions,
): Milliseconds | undefined {
    const newer = (table.get(model) ?? []).filter(known => known.version > version);
    const declaredAt = newer.at(-1)?.declaredAt;
    return declaredAt === undefined ? undefined : declaredAt + options.abandonAfter;
}
