import { create } from "@bufbuild/protobuf";
import type { ServerWritableStream } from "@grpc/grpc-js";
import { once } from "node:events";
import { type ChunkPart, ChunkPartSchema, type FetchChunkRequest } from "../../../generated/goldcrestpoint_pb.js";
import { decideUpload, type DistributionOptions, hasChunk } from "../../../runtime/distribution/index.js";
import type { BackendServerPort, ManifestDigest } from "../../../types/index.js";
import type { LinkBudget, TransferServiceSettings } from "./types.js";
import type { WeightSetState } from "./weightSetState.js";

/** Dependencies of {@link createUploadHandler}. */
export interface UploadInput {
    readonly findSet: (digest: ManifestDigest) => WeightSetState | undefined;
    readonly backend: BackendServerPort;
    readonly linkBudget: LinkBudget;
    readonly settings: TransferServiceSettings;
    readonly options: DistributionOptions;
    /** Called with the number of bytes of each part sent. */
    readonly countSent: (bytes: number) => void;
    /** Ends all uploads. */
    readonly signal: AbortSignal;
}

type FetchCall = ServerWritableStream<FetchChunkRequest, ChunkPart>;

/**
 * Creates the handler of `FetchChunk`.
 *
 * @param input - sets, engine and budget
 * @returns handler that sends the chunk in parts, or refuses it
 */
export function createUploadHandler(input: UploadInput): (call: FetchCall) => Promise<void> {
    return async call => {
        const { index, lastResort, manifestDigest } = call.request;
        const set = input.findSet(manifestDigest);
        const chunkBytes = set?.manifest?.chunks[index]?.bytes;
        if (set?.manifest === undefined || chunkBytes === undefined) {
            refuse(call, "not-held");
            return;
        }
        const decision = decideUpload({
            held: hasChunk(set.held, index),
            chunkBytes,
            totalBytes: set.manifest.totalBytes,
            sentBytes: set.sentBytes,
            uploadsInProgress: set.uploadsInProgress,
            lastResort,
            options: input.options,
        });
        if (!decision.allowed) {
            refuse(call, decision.refusal);
            return;
        }
        set.uploadsInProgress++;
        set.sentBytes += chunkBytes;
        let unsent = chunkBytes;
        try {
            unsent -= await sendChunk(input, call, manifestDigest, index);
        }
        finally {
            set.uploadsInProgress--;
            set.sentBytes -= unsent;
        }
    };
}

function refuse(call: FetchCall, refusal: string): void {
    call.write(create(ChunkPartSchema, { refusal }));
    call.end();
}

async function sendChunk(
    input: UploadInput,
    call: FetchCall,
    digest: ManifestDigest,
    index: number,
): Promise<number> {
    const ended = new AbortController();
    const end = () => {
        ended.abort();
    };
    call.once("cancelled", end);
    call.once("error", end);
    input.signal.addEventListener("abort", end, { once: true });
    let sent = 0;
    try {
        const content = await input.backend.readChunk(digest, index);
        if (content.isErr) {
            refuse(call, "not-held");
            return sent;
        }
        const { partBytes } = input.settings;
        for (let offset = 0; offset < content.value.length; offset += partBytes) {
            const data = content.value.subarray(offset, offset + partBytes);
            if (!await input.linkBudget.take("outgoing", data.length, ended.signal) || call.cancelled) {
                // Ends the stream with an error status, so that the requester does not wait for the rest.
                call.emit("error", new Error("the upload was ended"));
                return sent;
            }
            sent += data.length;
            input.countSent(data.length);
            if (!call.write(create(ChunkPartSchema, { data }))) {
                await once(call, "drain", { signal: ended.signal }).catch(() => undefined);
            }
        }
        call.end();
        return sent;
    }
    finally {
        input.signal.removeEventListener("abort", end);
    }
}
