import type { ManifestDigest } from "../../types/index.js";

/** Prompt prefixes that the backend server most likely has in its cache. */
export interface RecentPrefixes {
    /**
     * Notes an answered request; prefixes of other weights are forgotten, since caches do not outlive them.
     *
     * @param prefix - digest of the prefix; undefined for requests without a prompt
     * @param manifestDigest - weights that answered
     */
    note(prefix: string | undefined, manifestDigest: ManifestDigest): void;
    /** @returns prefixes, newest first */
    list(): readonly string[];
}

/** Prefixes that are kept; cache events of engines come late and with gaps, so they are not waited for. */
const maximumPrefixes = 32;

/**
 * Creates the list.
 *
 * @returns the empty list
 */
export function createRecentPrefixes(): RecentPrefixes {
    let prefixes: string[] = [];
    let current: ManifestDigest | undefined;
    return {
        note: (prefix, manifestDigest) => {
            if (current !== manifestDigest) {
                prefixes = [];
                current = manifestDigest;
            }
            if (prefix !== undefined) {
                prefixes = [prefix, ...prefixes.filter(known => known !== prefix)].slice(0, maximumPrefixes);
            }
        },
        list: () => prefixes,
    };
}
