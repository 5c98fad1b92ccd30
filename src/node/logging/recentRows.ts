/** Newest rows, found by an identifier. */
export interface RecentRows<Row> {
    add(id: string, row: Row): void;
    /** Lists the kept rows of an identifier, oldest first. */
    list(id: string): readonly Row[];
}

/**
 * Creates a bounded ring of rows; a new row takes the place of the oldest one.
 *
 * @param capacity - rows that are kept at most
 * @returns the ring
 */
export function createRecentRows<Row>(capacity: number): RecentRows<Row> {
    const ring: { readonly id: string; readonly row: Row; }[] = [];
    const rowsById = new Map<string, Row[]>();
    let next = 0;

    function forgetOldest(id: string): void {
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
                forgetOldest(replaced.id);
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
