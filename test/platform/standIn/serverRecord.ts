/**
 * Creates the record in the store that lists a runner of the plain service.
 *
 * @param address - `host:port` of the runner
 * @param entry - fields that differ from the defaults
 * @returns the record
 */
export function createServerRecord(
    address: string,
    entry: Readonly<Record<string, unknown>> = {},
): Readonly<Record<string, unknown>> {
    return {
        service: "archive",
        address,
        zone: "zone-a",
        version: "v1",
        slots: 4,
        state: "ready",
        cold_remaining_ms: 0,
        sequence: 1,
        born: 1,
        ...entry,
    };
}
