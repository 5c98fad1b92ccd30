/** Bytes of one answer that are kept in memory. */
export interface AnswerHold {
    /**
     * Changes the number of bytes.
     *
     * @param bytes - bytes that are kept from now on, or no longer if negative
     */
    add(bytes: number): void;
    /** Releases all bytes. */
    close(): void;
}

/** Bound on the bytes of all answers that a process keeps in memory. */
export interface HeldBytes {
    /** @returns bytes of all answers that are kept */
    readonly total: () => number;
    /**
     * Adds an answer that keeps nothing yet.
     *
     * @param giveUp - gives the answer up; called at most once, after which the answer is no longer counted
     * @returns the answer's part
     */
    open(giveUp: () => void): AnswerHold;
}

interface HoldRow {
    bytes: number;
    readonly giveUp: () => void;
}

/**
 * Creates a bound. When it is exceeded, the largest answers are given up, so that answers without end do not cost the
 * others their memory.
 *
 * @param maximumBytes - bytes that are kept at most
 * @returns the bound
 */
export function createHeldBytes(maximumBytes: number): HeldBytes {
    const rows = new Set<HoldRow>();
    let total = 0;

    function release(row: HoldRow): void {
        if (rows.delete(row)) {
            total -= row.bytes;
        }
    }

    function giveUpLargest(): void {
        const [first, ...others] = rows;
        const largest = others.reduce((left, right) => right.bytes > left.bytes ? right : left, first!);
        release(largest);
        largest.giveUp();
    }

    return {
        total: () => total,
        open: giveUp => {
            const row: HoldRow = { bytes: 0, giveUp };
            rows.add(row);
            return {
                add: bytes => {
                    if (!rows.has(row)) {
                        return;
                    }
                    row.bytes += bytes;
                    total += bytes;
                    while (total > maximumBytes) {
                        giveUpLargest();
                    }
                },
                close: () => release(row),
            };
        },
    };
}
