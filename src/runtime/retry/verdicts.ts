import type { Fingerprint } from "../../types/index.js";

/** Crashes that a request or a part of its prompt may have caused. */
export type PossibleCause = readonly [Fingerprint, ReadonlySet<string>];

/** Crashes that were attributed to condemned requests and parts. */
export interface Verdicts {
    readonly condemned: Set<Fingerprint>;
    /** Crashes that are attributed to a condemned request or part. */
    readonly attributed: Set<string>;
}

/**
 * Lists the crashes that are not attributed to a condemned request or part.
 *
 * @param verdicts - verdicts so far
 * @param crashes - identifiers of crashes
 * @returns those that are left
 */
export function listUnattributed({ attributed }: Verdicts, crashes: ReadonlySet<string>): string[] {
    return [...crashes].filter(crash => !attributed.has(crash));
}

/**
 * Condemns a request or part, and attributes its crashes to it.
 *
 * @param verdicts - verdicts to change
 * @param cause - the request or part, and its crashes
 */
export function condemn({ attributed, condemned }: Verdicts, [fingerprint, crashes]: PossibleCause): void {
    condemned.add(fingerprint);
    crashes.forEach(crash => attributed.add(crash));
}
