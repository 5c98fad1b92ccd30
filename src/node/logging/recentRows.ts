/** Bounded number of the newest rows, indexed by an identifier. */
export interface RecentRows<Row> {
    add(id: string, row: Row): void;
    /** Lists the kept rows of an identifier, oldest first. */
    list(id: string): readonly Row[];
}

/**
 * Creates a ring buffer of rows; a new row replaces the oldest one.
 *
 * @param capacity - maximum number of rows
 * @returns the ring buffer
 */
export function createRecentRows<Row>(capacity: number): RecentRows<Row> {
    const ring: { readonly id: string; readonly row: Row; }[] = [];
    const rowsById = new Map<string, Row[]>();
    let next = 0;

    function removeOldest(id: string): void {
        const rows = rowsById.get(id)!;
        rows.shift();
        if (rows.length === 0) {
            rowsById.delete(id);
        }
    }

    return {
        add: (id, row) => {
            if (capacity === 0) {
                return;
            }
            const replaced = ring[next];
            if (replaced !== undefined) {
                removeOldest(replaced.id);
            }
            ring[next] = { id, row };
            next = (next + 1) % capacity;
            const rows = rowsById.get(id);
            if (rows === undefined) {
                rowsById.set(id, [row]);
            }
            else {
                rows.push(row);
            }
        },
        list: id => rowsById.get(id) ?? [],
    };
}
