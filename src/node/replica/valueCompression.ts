import { deflateRawSync, inflateRawSync } from "node:zlib";

/** Size from which on the value of a record is compressed before it is relayed, and counts as large. */
export const largeValueBytes = 16_384;

/** Size of the decompressed values that are kept; the configuration is a tenth of it or less. */
const maximumKeptBytes = 4_194_304;

/** Fastest level; a configuration of 1,640 routes still shrinks to a tenth or less. */
const compressionLevel = 1;

/** Compressed value as it was received, with its content. */
interface DecompressedValue {
    readonly compressed: Uint8Array;
    readonly value: Uint8Array;
}

/** Function that decompresses the value of a key; see {@link createValueDecompressor}. */
export type DecompressValue = (key: string, compressed: Uint8Array, maximumBytes?: number) => Uint8Array;

/** Largest size of a decompressed value for which no limit is stated. */
const maximumValueBytes = 16_777_216;

/** Error of zlib for a value that is larger than its limit when it is decompressed. */
const tooLargeCode = "ERR_BUFFER_TOO_LARGE";

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
 * Tells whether a value was not decompressed since it is larger than its limit.
 *
 * @param error - what the decompression has thrown
 * @returns false if the value is damaged
 */
export function isTooLargeToDecompress(error: unknown): boolean {
    return (error as NodeJS.ErrnoException).code === tooLargeCode;
}

/**
 * Creates a function that decompresses values. The newest values are kept, up to 4 MiB with their compressed form, since a
 * follower receives the same value from each of its relays.
 *
 * @returns function that decompresses the value of a key; it throws if the value is damaged, or larger than the limit
 */
export function createValueDecompressor(): DecompressValue {
    /** Values by key, the one that was received last at the end. */
    const newest = new Map<string, DecompressedValue>();
    let keptBytes = 0;

    function remove(key: string): void {
        const { compressed, value } = newest.get(key)!;
        keptBytes -= compressed.byteLength + value.byteLength;
        newest.delete(key);
    }

    function keep(key: string, received: DecompressedValue): void {
        newest.set(key, received);
        keptBytes += received.compressed.byteLength + received.value.byteLength;
        while (keptBytes > maximumKeptBytes) {
            remove(newest.keys().next().value!);
        }
    }

    return (key, compressed, maximumBytes = maximumValueBytes) => {
        const known = newest.get(key);
        if (known !== undefined && Buffer.compare(known.compressed, compressed) === 0) {
            return known.value;
        }
        if (known !== undefined) {
            remove(key);
        }
        const value = inflateRawSync(compressed, { maxOutputLength: maximumBytes });
        // A copy, since the bytes are part of a message that has other records, too.
        keep(key, { compressed: new Uint8Array(compressed), value });
        return value;
    };
}
