/** Cache of computed prompt prefixes. */
export interface PrefixCache {
    /**
     * Looks a prefix up, and adds it or marks it as the most recently used one.
     *
     * @param manifestDigest - manifest digest of the weights that the cached values are computed with
     * @param prefix - digest of the beginning of the prompt
     * @returns whether the prefix was cached before
     */
    touch(manifestDigest: string, prefix: string): boolean;
    /** Empties the cache. */
    clear(): void;
    /** @returns digests of the cached prefixes of all weights, most recently used first */
    list(): string[];
}

/**
 * Creates an empty cache.
 *
 * @param limit - number of prefixes that the cache holds; the least recently used one is evicted
 * @returns the cache
 */
export function createPrefixCache(limit: number): PrefixCache {
    const prefixes = new Map<string, string>();
    return {
        touch: (manifestDigest, prefix) => {
            const key = JSON.stringify([manifestDigest, prefix]);
            const hit = prefixes.delete(key);
            prefixes.set(key, prefix);
            if (prefixes.size > limit) {
                const [oldest] = prefixes.keys();
                prefixes.delete(oldest!);
            }
            return hit;
        },
        clear: () => prefixes.clear(),
        list: () => [...prefixes.values()].reverse(),
    };
}
