import type { UploadDecision, UploadInput } from "./types.js";

/**
 * Decides whether a requested chunk is sent.
 *
 * @param input - the request and what has been sent so far
 * @returns whether it is allowed; if not, the refusal and its reason
 */
export function decideUpload(input: UploadInput): UploadDecision {
    const { chunkBytes, held, lastResort, options, sentBytes, totalBytes, uploadsInProgress } = input;
    if (!held) {
        return { allowed: false, refusal: "not-held", reason: "the chunk is not held" };
    }
    if (uploadsInProgress >= options.maximumUploads) {
        return { allowed: false, refusal: "choked", reason: "too many uploads are in progress" };
    }
    if (!lastResort && sentBytes + chunkBytes > options.uploadAllowanceCopies * totalBytes) {
        return { allowed: false, refusal: "choked", reason: "the upload allowance is used up" };
    }
    return { allowed: true };
}
