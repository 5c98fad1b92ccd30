import type { ClientAccount, Fingerprint } from "../../types/index.js";
import { computeDigest } from "../../utils/index.js";

/** Content that identifies equal requests of a client account, regardless of request identifiers and deadlines. */
export interface RequestContent {
    readonly method: string;
    /** Path with query. */
    readonly path: string;
    readonly account: ClientAccount;
    readonly body: Uint8Array;
}

/** Hexadecimal digits of a fingerprint: 128 bits, which makes accidental collisions negligible. */
const fingerprintDigits = 32;

/**
 * Computes the fingerprint of a request.
 *
 * @param content - content of the request
 * @returns lower-case hexadecimal digest; it does not reveal the content
 */
export function computeFingerprint({ account, body, method, path }: RequestContent): Fingerprint {
    return computeDigest(JSON.stringify([method, path, account]), body).slice(0, fingerprintDigits);
}
