import { createHash } from "node:crypto";
import { type HttpStandIn, sendJson, startHttpStandIn } from "./httpStandIn.js";

/** Model whose weights the stand-ins serve and load. */
export const testModel = "quill";
export const layerCount = 16;
export const chunkCount = 32;
const chunkBytes = 8_192;

/** Half-open range of layers. */
export interface LayerRange {
    readonly from: number;
    readonly target: number;
}

/** All layers of the model. */
export const allLayers: LayerRange = { from: 0, target: layerCount };

/** Returns the content of a chunk. */
export function makeChunk(version: number, index: number): Buffer {
    return Buffer.alloc(chunkBytes, `${testModel}@${version}/${index};`);
}

/** Returns the indexes of the chunks that a range of layers requires. */
export function listChunks({ from, target }: LayerRange): readonly number[] {
    const first = Math.floor(from * chunkCount / layerCount);
    const end = Math.ceil(target * chunkCount / layerCount);
    return Array.from({ length: end - first }, (...[, position]) => first + position);
}

const digests = new Map<number, readonly string[]>();

function getDigests(version: number): readonly string[] {
    const known = digests.get(version) ??
        listChunks(allLayers).map(index => createHash("sha256").update(makeChunk(version, index)).digest("hex"));
    digests.set(version, known);
    return known;
}

/**
 * Starts the origin of the weights, which serves the newest declared version and the one before it.
 *
 * @param readNewest - reads the newest declared version
 * @returns the origin
 */
export function startTestOrigin(readNewest: () => number): Promise<HttpStandIn> {
    return startHttpStandIn((...[, response, url]) => {
        const version = Number(url.searchParams.get("version") ?? readNewest());
        if (version <= readNewest() - 2) {
            sendJson(response, 410, {});
        }
        else if (url.pathname === `/api/manifest/${testModel}`) {
            const content = { model: testModel, version, chunk_bytes: chunkBytes, layers: layerCount };
            sendJson(response, 200, { ...content, digests: getDigests(version) });
        }
        else if (url.pathname === `/api/piece/${testModel}`) {
            response.writeHead(200).end(makeChunk(version, Number(url.searchParams.get("digest_count"))));
        }
        else {
            response.writeHead(404).end();
        }
    });
}

/** Creates a configuration with a resumable stream route to the engines. */
export function createTestConfiguration(originAddress: string): Readonly<Record<string, unknown>> {
    return {
        version: 2,
        routes: [{
            name: "life-sketch",
            host: "members.example",
            path_prefix: "/sketch/",
            kind: "streaming",
            timeout_ms: 6_000,
            target_latency_ms: 2_000,
            gap_target_ms: 400,
            priority: 1,
            service: "scribe",
            max_attempts: 2,
            public: false,
            resumable: true,
            sticky_sessions: true,
        }],
        services: [
            {
                name: "scribe",
                health_path: "/health",
                max_connections: 364,
                engine: {
                    slots: 16,
                    models: [{ name: testModel, pace: 1, load_s: 4, warm_s: 0.3 }],
                    layers: layerCount,
                    chunks: chunkCount,
                    chunk_bytes: chunkBytes,
                },
            },
            { name: "members", health_path: "/health", max_connections: 48, origin: originAddress, zone: "zone-a" },
        ],
        limits: {
            max_header_bytes: 16_384,
            max_body_bytes: 4_194_304,
            header_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        },
        tenants: [{ name: "family", api_keys: ["key-1"] }],
    };
}
