/**
 * Creates a bitfield without chunks.
 *
 * @param chunks - number of chunks
 * @returns one byte for each eight chunks, least significant bit first
 */
export function createBitfield(chunks: number): Uint8Array {
    return new Uint8Array(Math.ceil(chunks / 8));
}

/**
 * Tells whether a bitfield contains a chunk.
 *
 * @param bitfield - the bitfield; a chunk beyond its end is not contained
 * @param index - position of the chunk
 * @returns true if the chunk's bit is set
 */
export function hasChunk(bitfield: Uint8Array, index: number): boolean {
    return ((bitfield[index >> 3] ?? 0) & (1 << (index & 7))) !== 0;
}

/**
 * Adds a chunk to a bitfield.
 *
 * @param bitfield - changed in place
 * @param index - position of the chunk
 */
export function addChunk(bitfield: Uint8Array, index: number): void {
    bitfield[index >> 3]! |= 1 << (index & 7);
}

/**
 * Removes a chunk from a bitfield.
 *
 * @param bitfield - changed in place
 * @param index - position of the chunk
 */
export function removeChunk(bitfield: Uint8Array, index: number): void {
    bitfield[index >> 3]! &= ~(1 << (index & 7));
}

/**
 * Counts the chunks of a bitfield.
 *
 * @param bitfield - the bitfield
 * @param chunks - number of chunks of the set; bits beyond it are not counted
 * @returns number of chunks contained
 */
export function countChunks(bitfield: Uint8Array, chunks: number): number {
    let count = 0;
    for (let index = 0; index < chunks; index++) {
        count += hasChunk(bitfield, index) ? 1 : 0;
    }
    return count;
}

/**
 * Tells whether a bitfield contains every chunk of a set.
 *
 * @param bitfield - the bitfield
 * @param chunks - number of chunks of the set; a set without chunks is never complete
 * @returns true if no chunk is missing
 */
export function isComplete(bitfield: Uint8Array, chunks: number): boolean {
    return chunks > 0 && countChunks(bitfield, chunks) === chunks;
}

/**
 * Writes a bitfield as text.
 *
 * @param bitfield - the bitfield
 * @returns base64
 */
export function encodeBitfield(bitfield: Uint8Array): string {
    return Buffer.from(bitfield).toString("base64");
}

/**
 * Reads a bitfield that another process sent.
 *
 * @param content - base64 text or bytes; missing bytes count as chunks that are not held
 * @param chunks - number of chunks of the set
 * @returns bitfield of exactly the length that the set needs, without bits beyond its last chunk
 */
export function decodeBitfield(content: string | Uint8Array, chunks: number): Uint8Array {
    const bytes = typeof content === "string" ? Buffer.from(content, "base64") : content;
    const bitfield = createBitfield(chunks);
    bitfield.set(bytes.subarray(0, bitfield.length));
    const rest = chunks & 7;
    if (rest !== 0) {
        bitfield[bitfield.length - 1]! &= (1 << rest) - 1;
    }
    return bitfield;
}
