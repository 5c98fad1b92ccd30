import type { ManifestDigest } from "../../types/index.js";

/** Prompt prefixes that the backend server has probably cached. */
export interface RecentPrefixes {
    /**
     * Records an answered request; prefixes on other weights are removed, since a change of weights clears the cache.
     *
     * @param prefix - digest of the prefix; undefined for requests without a prompt
     * @param manifestDigest - weights that answered the request
     */
    record(prefix: string | undefined, manifestDigest: ManifestDigest): void;
    /** @returns prefixes, newest first */
    list(): readonly string[];
}

/** Maximum number of prefixes. They come from requests, since engines report cache events late and with gaps. */
const maximumRecentPrefixes = 32;

/**
 * Creates the list of recent prefixes.
 *
 * @returns the empty list
 */
export function createRecentPrefixes(): RecentPrefixes {
    let prefixes: string[] = [];
    let currentDigest: ManifestDigest | undefined;
    return {
        record: (prefix, manifestDigest) => {
            if (currentDigest !== manifestDigest) {
                prefixes = [];
                currentDigest = manifestDigest;
            }
            if (prefix !== undefined) {
                prefixes = [prefix, ...prefixes.filter(known => known !== prefix)].slice(0, maximumRecentPrefixes);
            }
        },
        list: () => prefixes,
    };
}
