import * as z from "zod";
import type { RouteTable } from "../../../runtime/gateway/index.js";
import type { KeyedRecord } from "../../../types/index.js";

const weightSourceSchema = z.object({
    model: z.string(),
    originAddress: z.string(),
    originZone: z.string().optional(),
    chunks: z.number().int().positive(),
    chunkBytes: z.number().int().positive(),
    slots: z.number().int().positive(),
    /** Newest declared version; undefined if none was declared. */
    version: z.number().int().positive().optional(),
});

/** Part of the configuration that an agent needs: model and origin of its service. */
export type WeightSource = z.infer<typeof weightSourceSchema>;

/**
 * Derives the weight sources from a configuration.
 *
 * @param routes - current configuration
 * @param readVersion - reads the newest declared version of a model
 * @param origin - of the records of configuration and versions, the offset of the newest and the era of the oldest
 * @returns a record for each service with an engine
 */
export function deriveWeightSources(
    routes: RouteTable,
    readVersion: (model: string) => number | undefined,
    { era, offset }: Pick<KeyedRecord, "era" | "offset">,
): readonly KeyedRecord[] {
    const services = [...routes.services.values()];
    const weightOrigin = services.find(({ originAddress }) => originAddress !== undefined);
    return services.flatMap(({ engine, name }) => {
        if (engine === undefined || weightOrigin?.originAddress === undefined) {
            return [];
        }
        const version = readVersion(engine.model);
        const source: WeightSource = {
            model: engine.model,
            originAddress: weightOrigin.originAddress,
            ...(weightOrigin.zone === undefined ? {} : { originZone: weightOrigin.zone }),
            chunks: engine.chunks,
            chunkBytes: engine.chunkBytes,
            slots: engine.slots,
            ...(version === undefined ? {} : { version }),
        };
        const order = [version ?? 0, routes.configuration.revision];
        return [{ key: name, value: Buffer.from(JSON.stringify(source)), offset, era, order }];
    });
}

/**
 * Reads a weight source.
 *
 * @param value - bytes of the record
 * @returns the source; undefined if it cannot be read
 */
export function readWeightSource(value: Uint8Array): WeightSource | undefined {
    try {
        return weightSourceSchema.safeParse(JSON.parse(Buffer.from(value).toString("utf8"))).data;
    }
    catch {
        return undefined;
    }
}
