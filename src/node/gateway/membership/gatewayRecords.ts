import type { Logger } from "pino";
import type { KeyedTopic } from "../../../types/index.js";
import { createRecordStore, type RecordStore } from "../../replica/index.js";
import type { GatewayPorts } from "../gatewayDaemon.js";
import { createRecordChecks } from "./recordChecks.js";

/** Topics that a gateway knows and relays. */
const gatewayTopics: readonly KeyedTopic[] = [
    "backend-servers",
    "operator",
    "instances",
    "condemned-requests",
    "weight-sources",
];

/**
 * Creates the replica of the platform's records that a gateway reads and relays.
 *
 * @param ports - log, decoder and clock
 * @param logger - log of the process
 * @returns the store, empty
 */
export function createGatewayRecords(
    { clock, decoder, log }: Pick<GatewayPorts, "clock" | "decoder" | "log">,
    logger: Logger,
): RecordStore {
    const isProtected = (topic: KeyedTopic, key: string): boolean =>
        topic === "operator" && decoder.classifyOperatorKey(key) === "configuration";
    const checks = createRecordChecks(decoder);
    const store = createRecordStore(gatewayTopics, clock, logger, { checks, isProtected });
    log.onEra?.(store.recordEra);
    return store;
}
