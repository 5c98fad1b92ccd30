/** Rows by key, with secondary indexes that each change updates. */
export interface Table<Key extends string | number, Row> {
    readonly size: number;
    get(key: Key): Row | undefined;
    has(key: Key): boolean;
    set(key: Key, row: Row): void;
    delete(key: Key): boolean;
    keys(): IterableIterator<Key>;
    rows(): IterableIterator<Row>;
    /**
     * Looks up rows by a secondary index.
     *
     * @param index - name of the index
     * @param value - value to look up
     * @returns keys of the rows that have the value
     */
    lookup(index: string, value: string): ReadonlySet<Key>;
    /**
     * Lists rows by a secondary index.
     *
     * @param index - name of the index
     * @param value - value to look up
     * @returns rows that have the value; the same list until one of them is added, replaced or removed
     */
    list(index: string, value: string): readonly Row[];
}

const emptySet: ReadonlySet<never> = new Set<never>();

/**
 * Creates an empty table.
 *
 * @param indexes - for each secondary index, a function that returns its value for a row; undefined omits the row
 * @returns the table
 */
export function createTable<Key extends string | number, Row>(
    indexes: Readonly<Record<string, (row: Row) => string | undefined>> = {},
): Table<Key, Row> {
    const rowsByKey = new Map<Key, Row>();
    const keysByIndex = new Map<string, Map<string, Set<Key>>>(
        Object.keys(indexes).map(name => [name, new Map<string, Set<Key>>()]),
    );

    const rowsByIndex = new Map<string, Map<string, readonly Row[]>>(
        Object.keys(indexes).map(name => [name, new Map<string, readonly Row[]>()]),
    );

    function updateIndexes(key: Key, row: Row, change: "add" | "remove"): void {
        for (const [name, readValue] of Object.entries(indexes)) {
            const value = readValue(row);
            if (value === undefined) {
                continue;
            }
            rowsByIndex.get(name)!.delete(value);
            const keysByValue = keysByIndex.get(name)!;
            const keys = keysByValue.get(value) ?? new Set<Key>();
            if (change === "add") {
                keysByValue.set(value, keys.add(key));
            }
            else {
                keys.delete(key);
                if (keys.size === 0) {
                    keysByValue.delete(value);
                }
            }
        }
    }

    function lookup(index: string, value: string): ReadonlySet<Key> {
        return keysByIndex.get(index)?.get(value) ?? emptySet;
    }

    return {
        get size() {
            return rowsByKey.size;
        },
        get: key => rowsByKey.get(key),
        has: key => rowsByKey.has(key),
        set: (key, row) => {
            const previous = rowsByKey.get(key);
            if (previous !== undefined) {
                updateIndexes(key, previous, "remove");
            }
            rowsByKey.set(key, row);
            updateIndexes(key, row, "add");
        },
        delete: key => {
            const previous = rowsByKey.get(key);
            if (previous !== undefined) {
                updateIndexes(key, previous, "remove");
            }
            return rowsByKey.delete(key);
        },
        keys: () => rowsByKey.keys(),
        rows: () => rowsByKey.values(),
        lookup,
        list: (index, value) => {
            const known = rowsByIndex.get(index)?.get(value);
            if (known !== undefined) {
                return known;
            }
            const listed = [...lookup(index, value)].map(key => rowsByKey.get(key)!);
            // Values that no row has are not kept, since nothing would remove them.
            if (listed.length > 0) {
                rowsByIndex.get(index)?.set(value, listed);
            }
            return listed;
        },
    };
}
