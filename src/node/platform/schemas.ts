import { z } from "zod";
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

/** Answer to an append. */
export const appendAnswerSchema = z.object({ id: z.string(), offset: offset.positive() });

/** Answer to a read; the bodies of the records are left to the fold. */
export const readAnswerSchema = z.object({
    firstOffset: offset,
    headOffset: offset,
    entries: z.array(z.object({ offset: offset.positive(), previousOffset: offset, record: header })),
}).transform(page => ({ ...page, entries: page.entries as unknown as readonly LogEntry[] }));

/** Answer of the instance list. */
export const instancesAnswerSchema = z.object({
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

/** Answer of the weight store. */
export const manifestAnswerSchema = z.object({
    model: z.string(),
    adapter: z.string(),
    version: z.string(),
    totalBytes: z.number().int().nonnegative(),
    chunks: z.array(z.object({ bytes: z.number().int().positive(), digest })),
});
