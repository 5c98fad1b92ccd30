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
    type HttpAnswer,
    type HttpClient,
    type HttpTimeouts,
    parseJson,
    toReadError,
    toStatusError,
} from "../httpClient/index.js";
import { manifestAnswerSchema } from "./schemas.js";

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
 * @returns the client. Failures: `ORIGIN_UNREACHABLE` if there is no usable answer, `MANIFEST_INVALID` for an unknown
 * set or a manifest that does not match its digest or name, `CHUNK_REFUSED` for an unknown chunk, `TRANSFER_STALLED`
 * for a chunk that began and did not arrive completely
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
    const answer = await readAnswer(client, `/manifests?${query.toString()}`, resolveStep);
    return answer.andThen(found => {
        const manifest = parseManifest(found, resolveStep, client.peer, found.headers["x-manifest-digest"] ?? "");
        return manifest.andThen(value => {
            const named = value.model === model && value.adapter === adapter && value.version === version;
            return named ? ok(value) : refuseManifest(resolveStep, client.peer, "it names another set");
        });
    });
}

async function readManifest(
    client: HttpClient,
    digest: ManifestDigest,
    signal: AbortSignal | undefined,
): PortResult<Manifest> {
    const answer = await readAnswer(client, `/manifests/${digest}`, manifestStep, signal);
    return answer.andThen(found => parseManifest(found, manifestStep, client.peer, digest));
}

async function readAnswer(
    client: HttpClient,
    path: string,
    step: string,
    signal?: AbortSignal,
): PortResult<HttpAnswer> {
    const answer = await client.send({ method: "GET", path, ...(signal === undefined ? {} : { signal }) });
    if (answer.isErr) {
        return err(toReadError("ORIGIN_UNREACHABLE", step, client.peer, answer.error));
    }
    const { status } = answer.value;
    if (status === 200) {
        return ok(answer.value);
    }
    const code = status === 404 ? "MANIFEST_INVALID" : "ORIGIN_UNREACHABLE";
    return err({ ...toStatusError(code, step, client.peer, answer.value), mayHaveTakenEffect: false });
}

function parseManifest(
    answer: HttpAnswer,
    step: string,
    peer: string,
    digest: ManifestDigest,
): Result<Manifest, GoldcrestpointError> {
    const parsed = manifestAnswerSchema.safeParse(parseJson(answer.body));
    if (!parsed.success) {
        return refuseManifest(step, peer, "the answer is no manifest");
    }
    const manifest = parsed.data;
    if (computeManifestDigest(manifest) !== digest) {
        return refuseManifest(step, peer, `it does not match the digest ${digest}`);
    }
    const bytes = manifest.chunks.reduce((sum, chunk) => sum + chunk.bytes, 0);
    return bytes === manifest.totalBytes ? ok(manifest) : refuseManifest(step, peer, "its sizes do not add up");
}

function refuseManifest<Value>(step: string, peer: string, reason: string): Result<Value, GoldcrestpointError> {
    return err(createError("MANIFEST_INVALID", step, peer, `the manifest is not usable: ${reason}`));
}

async function readChunk(
    client: HttpClient,
    digest: ManifestDigest,
    index: number,
    signal: AbortSignal | undefined,
): PortResult<Uint8Array> {
    const answer = await client.send({ method: "GET", path: `/weights/${digest}/chunks/${index}`, signal });
    if (answer.isErr) {
        const code = answer.error.headReceived ? "TRANSFER_STALLED" : "ORIGIN_UNREACHABLE";
        return err(toReadError(code, chunkStep, client.peer, answer.error));
    }
    const { status, body } = answer.value;
    if (status === 200) {
        return ok(body);
    }
    const code = status === 404 ? "CHUNK_REFUSED" : "ORIGIN_UNREACHABLE";
    return err({ ...toStatusError(code, chunkStep, client.peer, answer.value), mayHaveTakenEffect: false });
}
