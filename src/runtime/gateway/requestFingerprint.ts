import type { ClientAccount, Fingerprint } from "../../types/index.js";
import { computeDigest } from "../../utils/index.js";

/** Content by which requests of a caller are the same, whatever their identifiers and deadlines. */
export interface RequestContent {
    readonly method: string;
    /** Path with query. */
    readonly path: string;
    readonly account: ClientAccount;
    readonly body: Uint8Array;
}

/** Hexadecimal digits of a fingerprint: 128 bits, so that no two requests share one by chance. */
const fingerprintDigits = 32;

/**
 * Computes the fingerprint of a request.
 *
 * @param content - what a backend server runs
 * @returns lower-case hexadecimal digest; it does not reveal the content
 */
export function computeFingerprint({ account, body, method, path }: RequestContent): Fingerprint {
    return computeDigest(JSON.stringify([method, path, account]), body).slice(0, fingerprintDigits);
}
