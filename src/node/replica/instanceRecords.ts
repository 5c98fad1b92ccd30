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

/** Parsed records. A store replaces a record that changes, and the list is read several times a second. */
const parsedInstances = new WeakMap<KeyedRecord, KnownInstance | "unreadable">();

function findInstance(record: KeyedRecord): readonly KnownInstance[] {
    let parsed = parsedInstances.get(record);
    if (parsed === undefined) {
        parsed = (record.value && readInstance(record.key, record.value)) ?? "unreadable";
        parsedInstances.set(record, parsed);
    }
    return parsed === "unreadable" ? [] : [parsed];
}

/**
 * Reads the record of a gateway.
 *
 * @param instance - key of the record
 * @param value - bytes of the record
 * @returns the gateway; undefined if the record cannot be read
 */
export function readInstance(instance: string, value: Uint8Array): KnownInstance | undefined {
    try {
        const record = instanceSchema.safeParse(JSON.parse(Buffer.from(value).toString("utf8")));
        return record.success ? { ...record.data, instance } : undefined;
    }
    catch {
        return undefined;
    }
}

/**
 * Lists the gateways that have registered themselves. Records that cannot be read are left out.
 *
 * @param store - replicated records of this process
 * @returns the gateways, sorted by instance identifier
 */
export function listInstances(store: RecordStore): readonly KnownInstance[] {
    return [...store.topic("instances").records.values()]
        .flatMap(findInstance)
        .sort((left, right) => left.instance < right.instance ? -1 : 1);
}
