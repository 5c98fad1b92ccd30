import type { Logger } from "pino";
import type { Clock, InstanceId, InstanceListPort, InstanceRow, LogPort, RandomSource } from "../../types/index.js";
import type { DisposalStack, Table } from "../../utils/index.js";
import { startLogReader, type StateStore } from "../relay/index.js";
import type { AllSettings } from "../settings/index.js";
import { startInstanceListReader } from "./instanceListReader.js";

/** Options of {@link startPlatformReaders}. */
export interface PlatformReadersOptions {
    readonly settings: Pick<AllSettings, "platform" | "placement">;
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly logger: Logger;
    readonly log: LogPort;
    readonly list: InstanceListPort;
    readonly store: StateStore;
    readonly instances: Table<InstanceId, InstanceRow>;
    /** Whether this process reads the log itself now; called before each read. */
    readonly shouldReadLog: () => boolean;
    /** Whether this process reads the instance list itself now; called before each read. */
    readonly shouldReadList: () => boolean;
    /** Receives the rows of the instance list that a read has changed. */
    readonly onInstances: (rows: readonly InstanceRow[]) => void;
}

/**
 * Starts the readers of the platform's log and instance list.
 *
 * @param resources - owner of the readers
 * @param options - ports, tables and conditions
 */
export function startPlatformReaders(resources: DisposalStack, options: PlatformReadersOptions): void {
    const { clock, instances, logger, random, store } = options;
    const { placement, platform } = options.settings;
    resources.use(startLogReader({
        log: options.log,
        store,
        clock,
        random,
        logger,
        shouldRead: options.shouldReadLog,
        retention: placement.retention,
        waitMilliseconds: platform.logWait,
    }));
    resources.use(startInstanceListReader({
        list: options.list,
        instances,
        clock,
        random,
        logger,
        interval: platform.instanceListInterval,
        absentReadsUntilGone: placement.absentReadsUntilGone,
        shouldRead: options.shouldReadList,
        onChange: options.onInstances,
    }));
}
