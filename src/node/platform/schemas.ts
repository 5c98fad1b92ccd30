import * as z from "zod";
import type { LogEntry } from "../../types/index.js";

const offset = z.number().int().nonnegative();
const digest = z.string().regex(/^[0-9a-f]{64}$/);

const header = z.looseObject({
    id: z.string(),
    kind: z.enum(["configuration", "placement"]),
    deployment: z.string(),
    base: offset,
    writtenAt: z.string(),
    writer: z.string(),
});

/** Response to an append. */
export const appendResponseSchema = z.object({ id: z.string(), offset: offset.positive() });

/** Response to a read. Only the fields that all records share are validated; the others are passed on unchecked. */
export const readResponseSchema = z.object({
    firstOffset: offset,
    headOffset: offset,
    entries: z.array(z.object({ offset: offset.positive(), previousOffset: offset, record: header })),
}).transform(page => ({ ...page, entries: page.entries as unknown as readonly LogEntry[] }));

/** Response of the instance list. */
export const instancesResponseSchema = z.object({
    instances: z.array(z.object({
        instance: z.string(),
        role: z.enum(["entry", "backend-server"]),
        pool: z.string(),
        zone: z.string(),
        region: z.string(),
        address: z.string(),
        state: z.enum(["live", "leaving"]),
    })),
});

/** Response of the weight store. */
export const manifestResponseSchema = z.object({
    model: z.string(),
    adapter: z.string(),
    version: z.string(),
    totalBytes: z.number().int().nonnegative(),
    chunks: z.array(z.object({ bytes: z.number().int().positive(), digest })),
});
