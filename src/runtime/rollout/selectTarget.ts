import type { Milliseconds } from "../../types/index.js";
import type { WantedVersion } from "./planLoad.js";

/** Options of {@link selectTarget}. */
export interface TargetOptions {
    /** Time that the transfer and the load of a version take over the network links of the agents. */
    readonly copyTime: Milliseconds;
    /** Time after the declaration of a version from which on no request is sent to an older version. */
    readonly cutoverAfter: Milliseconds;
}

/** Input of {@link selectTarget}. */
export interface TargetInput {
    /** Declared versions, newest first; at least one. */
    readonly wanted: readonly WantedVersion[];
    /** Newest version that is loaded into the engine or of which every chunk is held; 0 for none. */
    readonly held: number;
    readonly now: Milliseconds;
    readonly options: TargetOptions;
}

/**
 * Selects the version to transfer when several versions are declared in quick succession. It is the newest one, unless
 * requests stop going to the held version before the newest one can be loaded. The oldest version that bridges that gap
 * is transferred first then, since requests would otherwise find no backend server.
 *
 * @param input - declared versions, held version, time and options
 * @returns the version to transfer
 */
export function selectTarget({ held, now, options, wanted }: TargetInput): WantedVersion {
    const newest = wanted[0]!;
    if (held === 0) {
        return newest;
    }
    const notHeld = wanted.filter(({ version }) => version > held).reverse();
    const bridge = notHeld.find(({ declaredAt, version }) => {
        const cutoverAt = declaredAt + options.cutoverAfter;
        return version < newest.version && now < cutoverAt && newest.declaredAt + options.copyTime > cutoverAt;
    });
    return bridge ?? newest;
}
