import { rankByRendezvous } from "../../utils/index.js";
import type { EntryContext } from "./context.js";

/** Entry instances in each availability zone that read the log from the platform; the others use relays. */
const readersPerZone = 2;

/**
 * Tells whether this entry instance is one of those in its availability zone that read the log from the platform.
 *
 * @param context - the entry instance
 * @returns true if it ranks first or second among the live entry instances of its availability zone
 */
export function isLogReader(context: EntryContext): boolean {
    const { self, instances, settings } = context;
    const { zone } = settings.instance;
    const entries: string[] = [];
    for (const instance of instances.lookup("role", "entry")) {
        const row = instances.get(instance)!;
        if (instance !== self && row.zone === zone && row.state === "live") {
            entries.push(instance);
        }
    }
    return rankByRendezvous(`log-readers/${zone}`, [...entries, self]).indexOf(self) < readersPerZone;
}
