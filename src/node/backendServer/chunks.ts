import { err, ok } from "true-myth/result";
import type { ManifestDigest, PortResult } from "../../types/index.js";
import { type HttpClient, toCallError, toReadError, toStatusError } from "../httpClient/index.js";

const stageStep = "stage chunk";
const readStep = "read staged chunk";

/**
 * Stages a chunk in the engine host's memory; staging the same chunk again has no effect.
 *
 * @param client - client of the engine
 * @param digest - manifest digest of the weight set
 * @param index - position of the chunk
 * @param content - verified bytes
 * @returns nothing; `ENGINE_REFUSED` if the engine rejects the chunk, `ENGINE_UNREACHABLE` for other failures
 */
export async function stageChunk(
    client: HttpClient,
    digest: ManifestDigest,
    index: number,
    content: Uint8Array,
): PortResult<void> {
    const response = await client.send({
        method: "PUT",
        path: `/sets/${digest}/chunks/${index}`,
        headers: { "content-type": "application/octet-stream" },
        body: content,
    });
    if (response.isErr) {
        return err(toCallError("ENGINE_UNREACHABLE", stageStep, client.peer, response.error));
    }
    if (response.value.status === 204) {
        return ok(undefined);
    }
    const error = toStatusError("ENGINE_REFUSED", stageStep, client.peer, response.value);
    return err(error.mayHaveTakenEffect ? { ...error, code: "ENGINE_UNREACHABLE" } : error);
}

/**
 * Reads a staged chunk back.
 *
 * @param client - client of the engine
 * @param digest - manifest digest of the weight set
 * @param index - position of the chunk
 * @returns its bytes; `CHUNK_REFUSED` if the engine doesn't have it, `TRANSFER_STALLED` if the transfer started but did
 * not complete, `ENGINE_UNREACHABLE` for other failures
 */
export async function readStagedChunk(
    client: HttpClient,
    digest: ManifestDigest,
    index: number,
): PortResult<Uint8Array> {
    const response = await client.send({ method: "GET", path: `/sets/${digest}/chunks/${index}` });
    if (response.isErr) {
        const code = response.error.headReceived ? "TRANSFER_STALLED" : "ENGINE_UNREACHABLE";
        return err(toReadError(code, readStep, client.peer, response.error));
    }
    if (response.value.status === 200) {
        return ok(response.value.body);
    }
    const code = response.value.status === 404 ? "CHUNK_REFUSED" : "ENGINE_UNREACHABLE";
    return err({ ...toStatusError(code, readStep, client.peer, response.value), mayHaveTakenEffect: false });
}
