import type { Logger } from "pino";
import { createRouteTable, describeUnknownRegions, type RouteTable } from "../../../runtime/gateway/index.js";
import type { AvailabilityZone, KeyedRecord, RecordDecoder, Region } from "../../../types/index.js";
import type { ReceivedPage } from "../../replica/index.js";

/** Dependencies of {@link createConfigurationRecords}. */
export interface ConfigurationRecordsInput {
    readonly decoder: Pick<RecordDecoder, "decodeConfiguration">;
    readonly logger: Logger;
    readonly regions: ReadonlyMap<AvailabilityZone, Region>;
}

/** Configuration that is in force: the readable one with the highest revision. */
export interface ConfigurationRecords {
    /** Undefined until a configuration is known. */
    readonly routes: () => RouteTable | undefined;
    /**
     * Applies a record, unless it cannot be read or is older than the one in force.
     *
     * @param record - record of the configuration
     * @param page - where it came from
     */
    apply(record: KeyedRecord, page: ReceivedPage): void;
}

/**
 * Creates the configuration of a gateway.
 *
 * @param input - decoder, log and known regions
 * @returns the configuration, unknown at first
 */
export function createConfigurationRecords(
    { decoder, logger, regions }: ConfigurationRecordsInput,
): ConfigurationRecords {
    const knownRegions = new Set(regions.values());
    let routes: RouteTable | undefined;

    return {
        routes: () => routes,
        apply: (record, page) => {
            const configuration = record.value && decoder.decodeConfiguration(record.key, record.value);
            const fields = { key: record.key, offset: record.offset, source: page.source, peer: page.peer };
            if (configuration === undefined) {
                logger.warn(fields, "configuration cannot be read");
                return;
            }
            const known = routes?.configuration.revision;
            if (known !== undefined && configuration.revision <= known) {
                logger.warn({ ...fields, revision: configuration.revision, known }, "older configuration left out");
                return;
            }
            routes = createRouteTable(configuration);
            const { problems = [], revision } = configuration;
            logger.info(
                {
                    ...fields,
                    revision,
                    previous: known,
                    ageMilliseconds: Math.round(page.age),
                    routes: configuration.routes.length,
                },
                "configuration in force",
            );
            for (const problem of [...problems, ...describeUnknownRegions(configuration, knownRegions)]) {
                logger.warn({ key: record.key, revision, problem }, "part of the configuration not valid");
            }
        },
    };
}
