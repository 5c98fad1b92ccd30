import type { Logger } from "pino";
import { mergeInstanceList } from "../../runtime/placement/index.js";
import type {
    Clock,
    InstanceId,
    InstanceListPort,
    InstanceRow,
    Milliseconds,
    RandomSource,
} from "../../types/index.js";
import { sleep, type Table } from "../../utils/index.js";
import type { RelayTarget } from "../relay/index.js";

/** Options of {@link startInstanceListReader}. */
export interface InstanceListReaderOptions {
    readonly list: InstanceListPort;
    readonly instances: Table<InstanceId, InstanceRow>;
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly logger: Logger;
    readonly interval: Milliseconds;
    /** Successive reads without an instance after which its state becomes `gone`. */
    readonly absentReadsUntilGone: number;
    /** Whether this process reads the list itself now; called before each read. */
    readonly shouldRead: () => boolean;
    /** Receives the rows that a read has changed. */
    readonly onChange: (rows: readonly InstanceRow[]) => void;
}

/** Width of the jitter as a fraction of the interval, so that processes do not all read at the same time. */
const jitterFraction = 0.2;

/**
 * Reads the platform's instance list into a table while this process is one of the readers.
 *
 * @param options - list, table and conditions
 * @returns the running reader; disposing of it ends the reads
 */
export function startInstanceListReader(options: InstanceListReaderOptions): AsyncDisposable {
    const abort = new AbortController();

    async function readOnce(): Promise<void> {
        const listed = await options.list.list();
        if (listed.isErr) {
            options.logger.debug({ error: listed.error }, "instance list read failed");
            return;
        }
        const changed = mergeInstanceList(options.instances, listed.value, options.absentReadsUntilGone);
        if (changed.length > 0) {
            options.onChange(changed);
        }
    }

    async function run(): Promise<void> {
        while (!abort.signal.aborted) {
            if (options.shouldRead()) {
                await readOnce();
            }
            await sleep(
                options.interval * (1 - jitterFraction / 2 + jitterFraction * options.random.next()),
                abort.signal,
            );
        }
    }

    const running = run();
    return {
        [Symbol.asyncDispose]: async () => {
            abort.abort();
            await running;
        },
    };
}

/**
 * Lists the entry instances that can be followed.
 *
 * @param instances - instance table
 * @param fixedAddresses - addresses from the settings; used while the table has no live entry instance
 * @returns targets; those from the settings have their address as the instance identifier
 */
export function listRelayTargets(
    instances: Table<InstanceId, InstanceRow>,
    fixedAddresses: readonly string[],
): readonly RelayTarget[] {
    const targets: RelayTarget[] = [];
    for (const instance of instances.lookup("role", "entry")) {
        const row = instances.get(instance)!;
        if (row.state === "live") {
            targets.push({ instance, address: row.address });
        }
    }
    return targets.length > 0 ? targets : fixedAddresses.map(address => ({ instance: address, address }));
}
