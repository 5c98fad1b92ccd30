import { deflateRawSync, inflateRawSync } from "node:zlib";

/** Size from which on the value of a record is compressed before it is relayed, and counts as large. */
export const largeValueBytes = 16_384;

/** Largest size of a decompressed value; records of the log are smaller. */
const maximumValueBytes = 16_777_216;

/** Fastest level; a configuration of 1,640 routes still shrinks to a tenth or less. */
const compressionLevel = 1;

/** Compressed value as it was received, with its content. */
interface DecompressedValue {
    readonly compressed: Uint8Array;
    readonly value: Uint8Array;
}

/**
 * Creates a function that compresses values. The result is kept as long as the value, since a relay sends the same
 * value to all of its followers.
 *
 * @returns function that compresses a value
 */
export function createValueCompressor(): (value: Uint8Array) => Uint8Array {
    const compressed = new WeakMap<Uint8Array, Uint8Array>();
    return value => {
        let result = compressed.get(value);
        if (result === undefined) {
            result = deflateRawSync(value, { level: compressionLevel });
            compressed.set(value, result);
        }
        return result;
    };
}

/**
 * Creates a function that decompresses values. The newest value of each key is kept, since a follower receives the same
 * value from each of its relays.
 *
 * @returns function that decompresses the value of a key; it throws if the value cannot be decompressed
 */
export function createValueDecompressor(): (key: string, compressed: Uint8Array) => Uint8Array {
    const newest = new Map<string, DecompressedValue>();
    return (key, compressed) => {
        const known = newest.get(key);
        if (known !== undefined && Buffer.compare(known.compressed, compressed) === 0) {
            return known.value;
        }
        const value = inflateRawSync(compressed, { maxOutputLength: maximumValueBytes });
        newest.set(key, { compressed, value });
        return value;
    };
}
