import * as z from "zod";
import type { KeyedRecord } from "../../types/index.js";
import { isAddress } from "../../utils/index.js";
import type { RecordStore } from "./recordStore.js";

const instanceSchema = z.object({
    address: z.string().refine(isAddress),
    zone: z.string(),
    region: z.string(),
    startedAt: z.number(),
});

/** Record with which a gateway registers itself, so that other processes find it. */
export type InstanceRecord = z.infer<typeof instanceSchema>;

/** Gateway with its instance identifier. */
export interface KnownInstance extends InstanceRecord {
    readonly instance: string;
}

/** Parsed records by their bytes, which never change: agents list the gateways five times a second. */
const parsedRecords = new WeakMap<Uint8Array, { readonly record: InstanceRecord | undefined; }>();

function parseRecord(value: Uint8Array): InstanceRecord | undefined {
    try {
        return instanceSchema.safeParse(JSON.parse(Buffer.from(value).toString("utf8"))).data;
    }
    catch {
        return undefined;
    }
}

function parseInstance({ key, value }: KeyedRecord): KnownInstance | undefined {
    if (value === undefined) {
        return undefined;
    }
    const parsed = parsedRecords.get(value) ?? { record: parseRecord(value) };
    parsedRecords.set(value, parsed);
    return parsed.record === undefined ? undefined : { ...parsed.record, instance: key };
}

/**
 * Lists the gateways that have registered themselves. Records that cannot be read are left out.
 *
 * @param store - replicated records of this process
 * @returns the gateways, sorted by instance identifier
 */
export function listInstances(store: RecordStore): readonly KnownInstance[] {
    return [...store.topic("instances").records.values()]
        .flatMap(record => parseInstance(record) ?? [])
        .sort((left, right) => left.instance < right.instance ? -1 : 1);
}
