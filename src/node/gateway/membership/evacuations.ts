import type { Logger } from "pino";
import { createEvacuationTable, type EvacuatedZone, recordEvacuation } from "../../../runtime/gateway/index.js";
import type { AvailabilityZone, Clock, KeyedRecord, Milliseconds, RecordDecoder } from "../../../types/index.js";
import type { ReceivedPage } from "../../replica/index.js";

/** Dependencies of {@link createEvacuations}. */
export interface EvacuationsInput {
    readonly decoder: Pick<RecordDecoder, "decodeEvacuation">;
    readonly clock: Clock;
    readonly logger: Logger;
    /** Zones of the settings; empty if they are not known. */
    readonly knownZones: ReadonlySet<AvailabilityZone>;
}

/** Zones that the operator has evacuated. They stay evacuated while neither the log nor a relay can be read. */
export interface Evacuations {
    /**
     * Applies a record of the operator. One without a value lifts the evacuation.
     *
     * @param record - record of an evacuation
     * @param page - where it came from
     */
    apply(record: KeyedRecord, page: ReceivedPage): void;
    readonly isEvacuated: (zone: AvailabilityZone) => boolean;
    /** Lists the evacuated zones. */
    readonly list: () => readonly EvacuatedZone[];
    /**
     * Reads when the evacuation of a zone was lifted.
     *
     * @param zone - the zone
     * @returns monotonic time; undefined if it is evacuated, or was not since this process started
     */
    readonly readLiftedAt: (zone: AvailabilityZone) => Milliseconds | undefined;
}

/**
 * Creates the evacuations of a gateway.
 *
 * @param input - decoder, clock, log and known zones
 * @returns the evacuations, none at first
 */
export function createEvacuations({ clock, decoder, knownZones, logger }: EvacuationsInput): Evacuations {
    const table = createEvacuationTable();

    return {
        apply: (record, { age, peer, source }) => {
            const fields = { key: record.key, offset: record.offset, source, peer, ageMilliseconds: Math.round(age) };
            const zone = decoder.decodeEvacuation(record.key);
            if (zone === undefined) {
                logger.warn(fields, "evacuation cannot be read");
                return;
            }
            const change = recordEvacuation(table, zone, record.value !== undefined, clock.monotonic());
            if (change === "lifted") {
                logger.info({ ...fields, zone }, "evacuation lifted");
            }
            if (change !== "begun") {
                return;
            }
            logger.info({ ...fields, zone }, "evacuation begun");
            if (knownZones.size > 0 && !knownZones.has(zone)) {
                // It is kept: backend servers in a zone that the settings do not name may be listed later.
                logger.warn({ ...fields, zone }, "evacuated zone not known");
            }
        },
        isEvacuated: zone => table.evacuated.has(zone),
        list: () => [...table.evacuated.values()],
        readLiftedAt: zone => table.lifted.get(zone),
    };
}
