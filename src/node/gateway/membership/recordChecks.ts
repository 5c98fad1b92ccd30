import type { OperatorRecordKind, RecordDecoder } from "../../../types/index.js";
import { readInstance, type RecordCheck, type RecordChecks } from "../../replica/index.js";
import { readCondemnedRecord } from "../crashes/condemnedRecords.js";
import { readWeightSource } from "./weightSources.js";

/**
 * Creates the checks of the records that gateways and agents keep and relay. What they reject is of no use to any
 * process, whoever has written it.
 *
 * @param decoder - decoder of the platform's records
 * @returns the check of each topic
 */
export function createRecordChecks(decoder: RecordDecoder): RecordChecks {
    const operatorChecks: Readonly<Record<OperatorRecordKind, RecordCheck>> = {
        // Decoded only where it is applied, as that takes milliseconds for a configuration of many routes.
        configuration: (...[, value]) => value.byteLength > 0,
        "declared-version": (key, value) => decoder.decodeDeclaredVersion(key, value) !== undefined,
        evacuation: key => decoder.decodeEvacuation(key) !== undefined,
        other: () => false,
    };
    return {
        operator: (key, value) => operatorChecks[decoder.classifyOperatorKey(key)](key, value),
        "backend-servers": (key, value) => decoder.decodeBackendServer(key, value) !== undefined,
        instances: (key, value) => readInstance(key, value) !== undefined,
        "condemned-requests": (...[, value]) => readCondemnedRecord(value) !== undefined,
        "weight-sources": (...[, value]) => readWeightSource(value) !== undefined,
    };
}
