import type { StagingEngine } from "../platform/standIn/stagingEngine.js";
import type { StoreStandIn } from "../platform/standIn/storeStandIn.js";

const heartbeatMilliseconds = 1_200;
const expiryMilliseconds = 3 * heartbeatMilliseconds;

/**
 * Writes the entries of running engines to the store, and removes those that have not been written for a time.
 *
 * @param engines - engines to list
 * @param store - store of the deployment
 * @returns stops when it is disposed of
 */
export function startServerList(
    engines: readonly StagingEngine[],
    store: Pick<StoreStandIn, "write" | "drop">,
): Disposable {
    const writtenAt = new Map<string, number>();
    let sequence = 0;
    const beat = (): void => {
        sequence++;
        for (const { address, entry, id } of engines) {
            const content = entry();
            if (content !== undefined) {
                store.write("keyed.servers", id, {
                    address,
                    zone: "zone-a",
                    version: "v1",
                    state: "ready",
                    cold_remaining_ms: 0,
                    sequence,
                    ...content,
                });
                writtenAt.set(id, performance.now());
            }
            else if (performance.now() - (writtenAt.get(id) ?? Infinity) > expiryMilliseconds) {
                store.drop("keyed.servers", id);
                writtenAt.delete(id);
            }
        }
    };
    beat();
    const timer = setInterval(beat, heartbeatMilliseconds);
    return { [Symbol.dispose]: () => clearInterval(timer) };
}
