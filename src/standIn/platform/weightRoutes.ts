import * as z from "zod";
import type { Clock, ManifestDigest } from "../../types/index.js";
import {
    createJsonResponse,
    createRefusal,
    parseJsonObject,
    type StandInResponse,
    type StandInRoute,
} from "../http/index.js";
import type { Link } from "./link.js";
import { createRateLimiter } from "./rateLimiter.js";
import { type GeneratedWeightSet, generateWeightSet, type WeightSetDeclaration } from "./weightSets.js";

/** Weight sets of the weight store and the origin. */
export interface WeightCatalogue {
    /**
     * Publishes a set; replaces an earlier set with the same name.
     *
     * @param declaration - name, sizes and seed
     * @returns the set
     */
    publish(declaration: WeightSetDeclaration): GeneratedWeightSet;
    /**
     * Finds the newest set with a name, and generates one if the catalogue is set up to do so.
     *
     * @param model - model name
     * @param adapter - adapter name; empty for none
     * @param version - version name
     * @returns the set; undefined if there is none
     */
    resolve(model: string, adapter: string, version: string): GeneratedWeightSet | undefined;
    /**
     * Finds a set by its manifest digest, also one that has been replaced.
     *
     * @param digest - manifest digest
     * @returns the set; undefined if there is none
     */
    find(digest: ManifestDigest): GeneratedWeightSet | undefined;
}

/** Sizes and seed of sets that are generated for names that were not published. */
export type GeneratedSizes = Pick<WeightSetDeclaration, "totalBytes" | "chunkBytes" | "seed">;

/**
 * Creates an empty catalogue.
 *
 * @param generated - sizes of the sets for names that were not published; undefined if none are generated
 * @returns the catalogue
 */
export function createWeightCatalogue(generated?: GeneratedSizes): WeightCatalogue {
    const byName = new Map<string, GeneratedWeightSet>();
    const byDigest = new Map<ManifestDigest, GeneratedWeightSet>();
    const createKey = (model: string, adapter: string, version: string): string =>
        JSON.stringify([model, adapter, version]);

    function publish(declaration: WeightSetDeclaration): GeneratedWeightSet {
        const set = generateWeightSet(declaration);
        byName.set(createKey(declaration.model, declaration.adapter, declaration.version), set);
        byDigest.set(set.digest, set);
        return set;
    }

    return {
        publish,
        resolve: (model, adapter, version) => {
            const known = byName.get(createKey(model, adapter, version));
            const isNamed = model !== "" && version !== "";
            return known === undefined && generated !== undefined && isNamed ?
                publish({ model, adapter, version, ...generated }) :
                known;
        },
        find: digest => byDigest.get(digest),
    };
}

const declarationSchema = z.object({
    model: z.string().min(1),
    adapter: z.string(),
    version: z.string().min(1),
    totalBytes: z.number().int().positive(),
    chunkBytes: z.number().int().positive(),
    seed: z.number().int().optional(),
});

/**
 * Creates the routes of the weight store: `GET /manifests?model=&adapter=&version=` and `GET /manifests/DIGEST`
 * (operation `manifest-read`), those of the origin: `GET /weights/DIGEST/chunks/INDEX` (operation `chunk-read`), and
 * `POST /control/weights` to publish a set.
 *
 * @param catalogue - weight sets
 * @param link - network link of the origin
 * @param clock - source of time
 * @param manifestReadsPerSecond - rate limit of the weight store
 * @returns the routes
 */
export function createWeightRoutes(
    catalogue: WeightCatalogue,
    link: Link,
    clock: Clock,
    manifestReadsPerSecond: number,
): StandInRoute[] {
    const rateLimiter = createRateLimiter(clock, manifestReadsPerSecond);
    const createManifestResponse = (set: GeneratedWeightSet | undefined): StandInResponse => {
        if (!rateLimiter.take()) {
            return createRefusal(429, "too many requests", { "retry-after": "1" });
        }
        return set === undefined ?
            createRefusal(404, "no such weight set") :
            createJsonResponse(200, set.manifest, { "x-manifest-digest": set.digest });
    };
    return [
        {
            operation: "manifest-read",
            method: "GET",
            path: "/manifests",
            handle: ({ query }) => {
                const [model = "", adapter = "", version = ""] = ["model", "adapter", "version"]
                    .map(name => query.get(name) ?? "");
                return createManifestResponse(catalogue.resolve(model, adapter, version));
            },
        },
        {
            operation: "manifest-read",
            method: "GET",
            path: "/manifests/:digest",
            handle: ({ parameters }) => createManifestResponse(catalogue.find(parameters["digest"] ?? "")),
        },
        {
            operation: "chunk-read",
            method: "GET",
            path: "/weights/:digest/chunks/:index",
            handle: ({ parameters, signal }) => {
                const content = catalogue.find(parameters["digest"] ?? "")?.readChunk(Number(parameters["index"]));
                if (content === undefined) {
                    return createRefusal(404, "no such chunk");
                }
                const headers = {
                    "content-type": "application/octet-stream",
                    "content-length": String(content.byteLength),
                };
                return { status: 200, headers, body: link.send(content, signal) };
            },
        },
        {
            operation: "control",
            method: "POST",
            path: "/control/weights",
            handle: ({ body }) => {
                const parsed = declarationSchema.safeParse(parseJsonObject(body));
                return parsed.success ?
                    createJsonResponse(201, { digest: catalogue.publish(parsed.data).digest }) :
                    createRefusal(400, z.prettifyError(parsed.error));
            },
        },
    ];
}
