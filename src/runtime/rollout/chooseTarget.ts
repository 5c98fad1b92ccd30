import type { Milliseconds } from "../../types/index.js";
import type { WantedVersion } from "./planLoad.js";

/** Options of the choice between versions that follow each other quickly. */
export interface TargetOptions {
    /** Time that the transfer and the load of a version take on the links of the agents. */
    readonly copyTime: Milliseconds;
    /** Time after a declaration from which on no request goes to an older version. */
    readonly cutoverAfter: Milliseconds;
}

/** Input of {@link chooseTarget}. */
export interface TargetInput {
    /** Declared versions, newest first; at least one. */
    readonly wanted: readonly WantedVersion[];
    /** Newest version that the engine has loaded or that is held completely; 0 for none. */
    readonly held: number;
    readonly now: Milliseconds;
    readonly options: TargetOptions;
}

/**
 * Chooses the version to transfer. The newest one takes the place of an older one that is not complete yet, unless the
 * older one falls due before the newest can be there: requests would find no backend server in between.
 *
 * @param input - declared versions and what is held
 * @returns the version
 */
export function chooseTarget({ held, now, options, wanted }: TargetInput): WantedVersion {
    const newest = wanted[0]!;
    if (held === 0) {
        return newest;
    }
    const missing = wanted.filter(({ version }) => version > held).reverse();
    const bridge = missing.find(({ declaredAt, version }) => {
        const dueAt = declaredAt + options.cutoverAfter;
        return version < newest.version && now < dueAt && newest.declaredAt + options.copyTime > dueAt;
    });
    return bridge ?? newest;
}
