/** Memory that is reserved for one response. */
export interface MemoryReservation {
    /**
     * Grows or shrinks the reservation.
     *
     * @param bytes - bytes to add; negative to release some
     */
    add(bytes: number): void;
    /** Releases all bytes. */
    close(): void;
}

/** Limit on the bytes of all responses that a process buffers in memory. */
export interface ResponseMemoryLimit {
    /** @returns bytes that are reserved for all responses together */
    readonly total: () => number;
    /**
     * Opens an empty reservation for a response.
     *
     * @param evict - aborts the response; called at most once, after its bytes were released
     * @returns the reservation
     */
    open(evict: () => void): MemoryReservation;
}

interface TrackedReservation {
    bytes: number;
    readonly evict: () => void;
}

/**
 * Creates a limit. When it is exceeded, the largest responses are aborted, so that endless responses do not use up the
 * memory of the others.
 *
 * @param maximumBytes - most bytes of all responses together
 * @returns the limit
 */
export function createResponseMemoryLimit(maximumBytes: number): ResponseMemoryLimit {
    const reservations = new Set<TrackedReservation>();
    let total = 0;

    function release(reservation: TrackedReservation): void {
        if (reservations.delete(reservation)) {
            total -= reservation.bytes;
        }
    }

    function evictLargest(): void {
        const [first, ...others] = reservations;
        const largest = others.reduce((left, right) => right.bytes > left.bytes ? right : left, first!);
        release(largest);
        largest.evict();
    }

    return {
        total: () => total,
        open: evict => {
            const reservation: TrackedReservation = { bytes: 0, evict };
            reservations.add(reservation);
            return {
                add: bytes => {
                    if (!reservations.has(reservation)) {
                        return;
                    }
                    reservation.bytes += bytes;
                    total += bytes;
                    while (total > maximumBytes) {
                        evictLargest();
                    }
                },
                close: () => release(reservation),
            };
        },
    };
}
