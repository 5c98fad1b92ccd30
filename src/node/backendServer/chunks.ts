import { err, ok } from "true-myth/result";
import type { ManifestDigest, PortResult } from "../../types/index.js";
import { type HttpClient, toCallError, toReadError, toStatusError } from "../httpClient/index.js";

const stageStep = "stage chunk";
const readStep = "read staged chunk";

/**
 * Stages a chunk in the engine host's memory; staging the same chunk again changes nothing.
 *
 * @param client - client of the engine
 * @param digest - manifest digest of the set
 * @param index - position of the chunk
 * @param content - verified bytes
 * @returns nothing; `ENGINE_REFUSED` if the engine does not take the chunk, `ENGINE_UNREACHABLE` otherwise
 */
export async function stageChunk(
    client: HttpClient,
    digest: ManifestDigest,
    index: number,
    content: Uint8Array,
): PortResult<void> {
    const answer = await client.send({
        method: "PUT",
        path: `/sets/${digest}/chunks/${index}`,
        headers: { "content-type": "application/octet-stream" },
        body: content,
    });
    if (answer.isErr) {
        return err(toCallError("ENGINE_UNREACHABLE", stageStep, client.peer, answer.error));
    }
    if (answer.value.status === 204) {
        return ok(undefined);
    }
    const error = toStatusError("ENGINE_REFUSED", stageStep, client.peer, answer.value);
    return err(error.mayHaveTakenEffect ? { ...error, code: "ENGINE_UNREACHABLE" } : error);
}

/**
 * Reads a staged chunk back.
 *
 * @param client - client of the engine
 * @param digest - manifest digest of the set
 * @param index - position of the chunk
 * @returns its bytes; `CHUNK_REFUSED` if the engine lacks it, `TRANSFER_STALLED` if it began and did not arrive
 * completely, `ENGINE_UNREACHABLE` otherwise
 */
export async function readStagedChunk(
    client: HttpClient,
    digest: ManifestDigest,
    index: number,
): PortResult<Uint8Array> {
    const answer = await client.send({ method: "GET", path: `/sets/${digest}/chunks/${index}` });
    if (answer.isErr) {
        const code = answer.error.headReceived ? "TRANSFER_STALLED" : "ENGINE_UNREACHABLE";
        return err(toReadError(code, readStep, client.peer, answer.error));
    }
    if (answer.value.status === 200) {
        return ok(answer.value.body);
    }
    const code = answer.value.status === 404 ? "CHUNK_REFUSED" : "ENGINE_UNREACHABLE";
    return err({ ...toStatusError(code, readStep, client.peer, answer.value), mayHaveTakenEffect: false });
}
