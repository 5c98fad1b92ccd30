import type { ReplicaTopic } from "../../runtime/replica/index.js";
import type { KeyedPage, KeyedRecord, KeyedTopic } from "../../types/index.js";

/** Decides whether this process can read the value of a record. */
export type RecordCheck = (key: string, value: Uint8Array) => boolean;

/** Checks by topic. Default for a topic: every value can be read. */
export type RecordChecks = Readonly<Partial<Record<KeyedTopic, RecordCheck>>>;

/** Records of a page, separated by whether they can be read. */
export interface CheckedPage {
    /** The page with what a process keeps; a known key whose new value cannot be read has an empty value. */
    readonly page: KeyedPage;
    /** Records of unknown keys that cannot be read, with empty values; nothing of them is kept. */
    readonly unreadable: readonly KeyedRecord[];
}

/** Stands for any value that cannot be read. It is no removal, which an outdated list of backend servers holds back. */
const unreadableValue = new Uint8Array(0);

/**
 * Separates the records of a page by whether they can be read. Values that are kept are copied, since they are parts of
 * the buffers of whole messages, which would stay in memory with them.
 *
 * @param known - records of the topic
 * @param page - page that was received
 * @param check - check of the topic
 * @returns the page without the records that cannot be read and whose keys are not known, and these records
 */
export function checkRecords(known: ReplicaTopic, page: KeyedPage, check: RecordCheck): CheckedPage {
    const records: KeyedRecord[] = [];
    const unreadable: KeyedRecord[] = [];
    /** Values of keys that this page has changed; undefined for a removed key. */
    const changed = new Map<string, Uint8Array | undefined>();
    for (const record of page.records) {
        const { key, value } = record;
        const previous = changed.has(key) ? changed.get(key) : known.records.get(key)?.value;
        if (value === undefined) {
            records.push(record);
            changed.set(key, undefined);
        }
        else if (previous !== undefined && Buffer.compare(previous, value) === 0) {
            records.push({ ...record, value: previous });
        }
        else if (check(key, value)) {
            const kept = new Uint8Array(value);
            records.push({ ...record, value: kept });
            changed.set(key, kept);
        }
        else if (previous === undefined) {
            unreadable.push({ ...record, value: unreadableValue });
        }
        else {
            records.push({ ...record, value: unreadableValue });
            changed.set(key, unreadableValue);
        }
    }
    return { page: { ...page, records }, unreadable };
}
