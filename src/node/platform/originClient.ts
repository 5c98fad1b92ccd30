import { err, ok, type Result } from "true-myth/result";
import { computeManifestDigest } from "../../runtime/distribution/manifest.js";
import {
    createError,
    type GoldcrestpointError,
    type Manifest,
    type ManifestDigest,
    type OriginPort,
    type PortResult,
} from "../../types/index.js";
import {
    createHttpClient,
    type HttpClient,
    type HttpResponse,
    type HttpTimeouts,
    parseJson,
    toReadError,
    toStatusError,
} from "../httpClient/index.js";
import { manifestResponseSchema } from "./schemas.js";

const resolveStep = "resolve manifest";
const manifestStep = "read manifest";
const chunkStep = "read chunk from origin";

/** Options of {@link createOriginClient}. */
export interface OriginClientOptions {
    /** Base URL of the weight store, which holds the manifests. */
    readonly weightStoreBaseUrl: string;
    /** Base URL of the origin, which sends the chunks. Default: that of the weight store. */
    readonly originBaseUrl?: string | undefined;
    /** Default: those of {@link HttpTimeouts}, with a total of 30,000 ms, since chunks share the origin's link. */
    readonly timeouts?: Partial<HttpTimeouts> | undefined;
}

/**
 * Creates a client of the weight store and the origin.
 *
 * @param options - base URLs and time limits
 * @returns the client. Failures: `ORIGIN_UNREACHABLE` if there is no usable response, `MANIFEST_INVALID` for an unknown
 * weight set or a manifest that does not match its digest or name, `CHUNK_REFUSED` for an unknown chunk,
 * `TRANSFER_STALLED` for a chunk whose transfer started but did not complete
 */
export function createOriginClient(options: OriginClientOptions): OriginPort & AsyncDisposable {
    const timeouts = { total: 30_000, ...options.timeouts };
    const store = createHttpClient({ baseUrl: options.weightStoreBaseUrl, timeouts });
    const origin = createHttpClient({ baseUrl: options.originBaseUrl ?? options.weightStoreBaseUrl, timeouts });
    return {
        resolveManifest: (model, adapter, version) => resolveManifest(store, model, adapter, version),
        readManifest: (digest, signal) => readManifest(store, digest, signal),
        readChunk: (digest, index, signal) => readChunk(origin, digest, index, signal),
        [Symbol.asyncDispose]: async () => {
            await Promise.all([store[Symbol.asyncDispose](), origin[Symbol.asyncDispose]()]);
        },
    };
}

async function resolveManifest(
    client: HttpClient,
    model: string,
    adapter: string,
    version: string,
): PortResult<Manifest> {
    const query = new URLSearchParams({ model, adapter, version });
    const response = await getResponse(client, `/manifests?${query.toString()}`, resolveStep);
    return response.andThen(received => {
        const manifest = parseManifest(received, resolveStep, client.peer, received.headers["x-manifest-digest"] ?? "");
        return manifest.andThen(value => {
            const matchesRequest = value.model === model && value.adapter === adapter && value.version === version;
            return matchesRequest ?
                ok(value) :
                rejectManifest(resolveStep, client.peer, "it belongs to another weight set");
        });
    });
}

async function readManifest(
    client: HttpClient,
    digest: ManifestDigest,
    signal: AbortSignal | undefined,
): PortResult<Manifest> {
    const response = await getResponse(client, `/manifests/${digest}`, manifestStep, signal);
    return response.andThen(received => parseManifest(received, manifestStep, client.peer, digest));
}

async function getResponse(
    client: HttpClient,
    path: string,
    step: string,
    signal?: AbortSignal,
): PortResult<HttpResponse> {
    const response = await client.send({ method: "GET", path, ...(signal === undefined ? {} : { signal }) });
    if (response.isErr) {
        return err(toReadError("ORIGIN_UNREACHABLE", step, client.peer, response.error));
    }
    const { status } = response.value;
    if (status === 200) {
        return ok(response.value);
    }
    const code = status === 404 ? "MANIFEST_INVALID" : "ORIGIN_UNREACHABLE";
    return err({ ...toStatusError(code, step, client.peer, response.value), mayHaveTakenEffect: false });
}

function parseManifest(
    response: HttpResponse,
    step: string,
    peer: string,
    digest: ManifestDigest,
): Result<Manifest, GoldcrestpointError> {
    const parsed = manifestResponseSchema.safeParse(parseJson(response.body));
    if (!parsed.success) {
        return rejectManifest(step, peer, "the response is not a valid manifest");
    }
    const manifest = parsed.data;
    if (computeManifestDigest(manifest) !== digest) {
        return rejectManifest(step, peer, `it does not match the digest ${digest}`);
    }
    const bytes = manifest.chunks.reduce((sum, chunk) => sum + chunk.bytes, 0);
    return bytes === manifest.totalBytes ?
        ok(manifest) :
        rejectManifest(step, peer, "the chunk sizes do not add up to the total size");
}

function rejectManifest<Value>(step: string, peer: string, reason: string): Result<Value, GoldcrestpointError> {
    return err(createError("MANIFEST_INVALID", step, peer, `the manifest is not usable: ${reason}`));
}

async function readChunk(
    client: HttpClient,
    digest: ManifestDigest,
    index: number,
    signal: AbortSignal | undefined,
): PortResult<Uint8Array> {
    const response = await client.send({ method: "GET", path: `/weights/${digest}/chunks/${index}`, signal });
    if (response.isErr) {
        const code = response.error.headReceived ? "TRANSFER_STALLED" : "ORIGIN_UNREACHABLE";
        return err(toReadError(code, chunkStep, client.peer, response.error));
    }
    const { status, body } = response.value;
    if (status === 200) {
        return ok(body);
    }
    const code = status === 404 ? "CHUNK_REFUSED" : "ORIGIN_UNREACHABLE";
    return err({ ...toStatusError(code, chunkStep, client.peer, response.value), mayHaveTakenEffect: false });
}
