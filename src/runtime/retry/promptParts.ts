import type { Fingerprint } from "../../types/index.js";
import { computeDigest } from "../../utils/index.js";

/** Start of the fingerprint of a part of a prompt; those of requests are digests without it. */
const partMark = "part-";
/** Hexadecimal digits after the mark: 128 bits, which makes accidental collisions negligible. */
const partDigits = 32;

/**
 * Computes the fingerprints of the parts of a prompt that other requests may share.
 *
 * @param service - service that the request is sent to
 * @param parts - identifiers of the parts
 * @returns one fingerprint per different part, in the order of the parts
 */
export function computePartFingerprints(service: string, parts: readonly string[]): readonly Fingerprint[] {
    return [...new Set(parts)].map(part =>
        partMark + computeDigest(JSON.stringify(["part", service, part])).slice(0, partDigits)
    );
}

/**
 * Tells whether a fingerprint is that of a part of a prompt.
 *
 * @param fingerprint - fingerprint of a request or of a part
 * @returns false for the fingerprint of a request
 */
export function isPartFingerprint(fingerprint: Fingerprint): boolean {
    return fingerprint.startsWith(partMark);
}
