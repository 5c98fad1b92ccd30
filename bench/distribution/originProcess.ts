import { createServer, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { createLinkBudget } from "../../src/node/agent/transfer/index.js";
import { computeManifestDigest, createManifest } from "../../src/runtime/distribution/index.js";
import { createSeededRandom, createSystemClock } from "../../src/utils/index.js";
import type { FromChild, ToChild } from "./messages.js";

/** Bytes of one response that the origin sends before it continues with another response. */
const partBytes = 16_384;

const names = { model: "scribe", adapter: "", version: "v1" };

function send(message: FromChild): void {
    process.send?.(message);
}

function createContent(totalBytes: number, chunkBytes: number): Uint8Array[] {
    return Array.from({ length: Math.ceil(totalBytes / chunkBytes) }, (...[, index]) => {
        const bytes = Math.min(chunkBytes, totalBytes - index * chunkBytes);
        return Buffer.alloc(bytes, `chunk ${index} of the benchmark's weights;`);
    });
}

function startOrigin(message: Extract<ToChild, { kind: "start-origin"; }>): void {
    const { corruptShare, scale, seed } = message;
    const chunks = createContent(scale.totalBytes, scale.chunkBytes);
    const manifest = createManifest(names, chunks);
    const manifestDigest = computeManifestDigest(manifest);
    const random = createSeededRandom(seed);
    const link = createLinkBudget({
        bytesPerSecond: scale.originBytesPerSecond,
        idleShare: 1,
        clock: createSystemClock(),
    });
    let sentBytes = 0;

    async function answerChunk(response: ServerResponse, index: number): Promise<void> {
        let content = chunks[index]!;
        if (random.next() < corruptShare) {
            content = Uint8Array.from(content);
            content[0]! ^= 1;
        }
        for (let offset = 0; offset < content.length && !response.destroyed; offset += partBytes) {
            const part = content.subarray(offset, offset + partBytes);
            await link.take("outgoing", part.length);
            sentBytes += part.length;
            response.write(part);
        }
        response.end();
    }

    const server = createServer((request, response) => {
        const index = /^\/chunk\/(\d+)$/.exec(request.url ?? "")?.[1];
        if (index === undefined) {
            response.end(JSON.stringify(manifest));
            return;
        }
        void answerChunk(response, Number(index));
    });
    server.listen(0, "127.0.0.1", () => {
        const { port } = server.address() as AddressInfo;
        send({ kind: "origin-listening", port, weights: { ...names, manifestDigest } });
    });
    process.on("message", (nextMessage: ToChild) => {
        if (nextMessage.kind === "finish") {
            send({ kind: "origin-totals", sentBytes });
        }
    });
}

process.once("message", (message: ToChild) => {
    if (message.kind === "start-origin") {
        startOrigin(message);
    }
});

// The parent process can exit without terminating its children, for example on a signal.
process.once("disconnect", () => process.exit());
