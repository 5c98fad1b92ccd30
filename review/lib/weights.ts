import { createHash } from "node:crypto";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";

/** Model of the deployment. */
export const model = "quill";
export const layers = 16;
export const pieces = 64;
export const pieceBytes = 32_768;

/** Content of a piece of a version. */
export function makePiece(version: number, index: number): Buffer {
    return Buffer.alloc(pieceBytes, `${model}@${version}/${index};`);
}

/** Digest of a piece, as the manifest states it. */
export function digest(content: Uint8Array): string {
    return createHash("sha256").update(content).digest("hex");
}

/** Starts the origin of the weights; returns its address. */
export async function startOrigin(): Promise<string> {
    const server = createServer((request, response) => {
        const url = new URL(request.url ?? "/", "http://origin");
        const version = Number(url.searchParams.get("version"));
        if (url.pathname === `/api/manifest/${model}`) {
            const digests = Array.from({ length: pieces }, (...[, index]) => digest(makePiece(version, index)));
            response.writeHead(200, { "content-type": "application/json" });
            response.end(JSON.stringify({ model, version, chunk_bytes: pieceBytes, layers, digests }));
            return;
        }
        if (url.pathname === `/api/piece/${model}`) {
            response.writeHead(200);
            response.end(makePiece(version, Number(url.searchParams.get("digest_count"))));
            return;
        }
        response.writeHead(404).end();
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

/** Configuration with a resumable stream route to the model runners. */
export function createModelConfiguration(originAddress: string): Readonly<Record<string, unknown>> {
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
                    models: [{ name: model, pace: 1, load_s: 4, warm_s: 0.3 }],
                    layers,
                    chunks: pieces,
                    chunk_bytes: pieceBytes,
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
