import type { Fingerprint } from "../../types/index.js";
import { computeDigest } from "../../utils/index.js";

/** Start of the fingerprint of a part of a prompt; those of requests are digests without it. */
const partMark = "part-";
/** Hexadecimal digits that stand for a service. */
const serviceDigits = 12;
/** Identifiers that are part of their fingerprint as they are, since a digest for each part takes long. */
const shortIdentifier = /^[0-9a-f]{1,32}$/;
/** Hexadecimal digits in place of any other identifier: 128 bits, which makes accidental collisions negligible. */
const identifierDigits = 32;
/** Services whose digits are kept; more are not expected in one configuration. */
const maximumServices = 1_000;

const serviceMarks = new Map<string, string>();

function findServiceMark(service: string): string {
    const known = serviceMarks.get(service);
    if (known !== undefined) {
        return known;
    }
    if (serviceMarks.size >= maximumServices) {
        serviceMarks.clear();
    }
    const mark = `${partMark}${computeDigest(JSON.stringify(["service", service])).slice(0, serviceDigits)}-`;
    serviceMarks.set(service, mark);
    return mark;
}

function shorten(identifier: string): string {
    return shortIdentifier.test(identifier) ? identifier : `x${computeDigest(identifier).slice(0, identifierDigits)}`;
}

/**
 * Computes the fingerprints of the parts of a prompt that other requests may share.
 *
 * @param service - service that the request is sent to
 * @param parts - identifiers of the parts
 * @returns one fingerprint per different part, in the order of the parts
 */
export function computePartFingerprints(service: string, parts: readonly string[]): readonly Fingerprint[] {
    const mark = findServiceMark(service);
    return [...new Set(parts)].map(part => mark + shorten(part));
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
