import { create } from "@bufbuild/protobuf";
import type { ServerWritableStream } from "@grpc/grpc-js";
import { once } from "node:events";
import { type ChunkPart, ChunkPartSchema, type FetchChunkRequest } from "../../../generated/goldcrestpoint_pb.js";
import {
    decideUpload,
    decodeBitfield,
    type DistributionOptions,
    hasChunk,
    recordAvailability,
} from "../../../runtime/distribution/index.js";
import type { BackendServerPort, Clock, ManifestDigest } from "../../../types/index.js";
import type { ByteSemaphore } from "./byteSemaphore.js";
import type { LinkBudget, TransferServiceSettings } from "./types.js";
import { findPeer, type WeightSetState } from "./weightSetState.js";

/** Dependencies of {@link createUploadHandler}. */
export interface UploadInput {
    readonly findSet: (digest: ManifestDigest) => WeightSetState | undefined;
    readonly backend: BackendServerPort;
    readonly linkBudget: LinkBudget;
    readonly clock: Clock;
    /** Limits the bytes of chunks that are being sent. */
    readonly semaphore: ByteSemaphore;
    readonly settings: TransferServiceSettings;
    readonly options: DistributionOptions;
    /** Called with the number of bytes of each part sent. */
    readonly countSent: (bytes: number) => void;
    /** Aborts all uploads. */
    readonly signal: AbortSignal;
}

type FetchCall = ServerWritableStream<FetchChunkRequest, ChunkPart>;

/**
 * Creates the handler of `FetchChunk`.
 *
 * @param input - sets, backend server and budgets
 * @returns handler that sends the chunk in parts or refuses it
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
        recordRequester(input, set, call.request);
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
            refuse(call, decision.refusal, set);
            return;
        }
        set.uploadsInProgress++;
        set.sentBytes += chunkBytes;
        let unsent = chunkBytes;
        try {
            unsent -= await waitAndSend(input, call, set, index, chunkBytes);
        }
        finally {
            set.uploadsInProgress--;
            set.sentBytes -= unsent;
        }
    };
}

/** Records the bitfield that a request carries, which is more recent than the last exchange. */
function recordRequester(input: UploadInput, set: WeightSetState, { bitfield, instance }: FetchChunkRequest): void {
    const chunks = set.manifest?.chunks.length ?? 0;
    const now = input.clock.monotonic();
    const peer = bitfield.length === 0 ? undefined : findPeer(set, instance, now);
    if (peer !== undefined) {
        recordAvailability(peer, decodeBitfield(bitfield, chunks), peer.sentBytes, now);
    }
}

function describeHeld(set: WeightSetState): Pick<ChunkPart, "bitfield" | "sentBytes"> {
    return { bitfield: set.held, sentBytes: BigInt(set.sentBytes) };
}

function refuse(call: FetchCall, refusal: string, set?: WeightSetState): void {
    call.write(create(ChunkPartSchema, { refusal, ...(set === undefined ? {} : describeHeld(set)) }));
    call.end();
}

/** Reads the chunk only once memory is granted, so that waiting requests hold none. Returns the bytes sent. */
async function waitAndSend(
    input: UploadInput,
    call: FetchCall,
    set: WeightSetState,
    index: number,
    chunkBytes: number,
): Promise<number> {
    const controller = new AbortController();
    const end = () => {
        controller.abort();
    };
    call.once("cancelled", end);
    call.once("error", end);
    input.signal.addEventListener("abort", end, { once: true });
    const release = await input.semaphore.acquire(chunkBytes, controller.signal);
    try {
        if (release === undefined) {
            endWithError(call);
            return 0;
        }
        return await sendChunk(input, call, set, index, controller.signal);
    }
    finally {
        release?.();
        input.signal.removeEventListener("abort", end);
    }
}

/** Ends the stream with an error status, so that the requester does not wait for the rest. */
function endWithError(call: FetchCall): void {
    call.emit("error", new Error("the upload was aborted"));
}

async function sendChunk(
    input: UploadInput,
    call: FetchCall,
    set: WeightSetState,
    index: number,
    signal: AbortSignal,
): Promise<number> {
    const content = await input.backend.readChunk(set.manifestDigest, index);
    if (content.isErr) {
        refuse(call, "not-held");
        return 0;
    }
    let sent = 0;
    const { partBytes } = input.settings;
    for (let offset = 0; offset < content.value.length; offset += partBytes) {
        const data = content.value.subarray(offset, offset + partBytes);
        if (!await input.linkBudget.take("outgoing", data.length, signal) || call.cancelled) {
            endWithError(call);
            return sent;
        }
        sent += data.length;
        input.countSent(data.length);
        const held = offset === 0 ? describeHeld(set) : {};
        if (!call.write(create(ChunkPartSchema, { data, ...held }))) {
            await once(call, "drain", { signal: signal }).catch(() => undefined);
        }
    }
    call.end();
    return sent;
}
