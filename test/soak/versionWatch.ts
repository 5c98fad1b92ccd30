/** How long versions took from their declaration. */
export interface VersionTimes {
    /** Number of declared versions. */
    readonly versions: number;
    /** Versions that all engines held, or a newer one, before the end. */
    readonly reached: number;
    /** Times until all engines had loaded the version or a newer one, in milliseconds: median and maximum. */
    readonly loadedAfter: readonly [number, number];
    /** Times until all engines had served the version or a newer one. */
    readonly servedAfter: readonly [number, number];
}

/** Step of an engine with a version. */
export type VersionStep = "loaded" | "token";

/** Measures how long versions take to reach all engines. */
export interface VersionWatch {
    declare(version: number): void;
    update(engine: string, step: VersionStep, version: number): void;
    summarize(): VersionTimes;
}

function summarizeTimes(times: readonly number[]): readonly [number, number] {
    const sorted = times.toSorted((left, right) => left - right).map(Math.round);
    return [sorted[Math.floor(sorted.length / 2)] ?? 0, sorted.at(-1) ?? 0];
}

/**
 * Creates the watch of a set of engines.
 *
 * @param engines - identifiers of the engines
 * @returns the watch
 */
export function createVersionWatch(engines: readonly string[]): VersionWatch {
    const declaredAt = new Map<number, number>();
    /** Time of the first step of an engine with a version or a newer one, by version. */
    const firsts: Readonly<Record<VersionStep, Map<string, Map<number, number>>>> = {
        loaded: new Map(engines.map(engine => [engine, new Map<number, number>()])),
        token: new Map(engines.map(engine => [engine, new Map<number, number>()])),
    };

    function measure(step: VersionStep): readonly number[] {
        return [...declaredAt].flatMap(([version, at]) => {
            const times = engines.map(engine => firsts[step].get(engine)?.get(version));
            return times.includes(undefined) ? [] : [Math.max(...times.map(Number)) - at];
        });
    }

    return {
        declare: version => {
            if (version > 1) {
                declaredAt.set(version, performance.now());
            }
        },
        update: (engine, step, version) => {
            const known = firsts[step].get(engine);
            for (let older = version; older > 1 && known?.has(older) === false; older--) {
                known.set(older, performance.now());
            }
        },
        summarize: () => {
            const loaded = measure("loaded");
            return {
                versions: declaredAt.size,
                reached: loaded.length,
                loadedAfter: summarizeTimes(loaded),
                servedAfter: summarizeTimes(measure("token")),
            };
        },
    };
}
