import { expect } from "earl";
import fastCheck from "fast-check";
import { describe, it } from "node:test";
import { createPageDecoder, encodeRecord, type PageDecoderOptions } from "../../platform/recordPages.js";
import type { KeyedPage } from "../../src/types/index.js";

const options: PageDecoderOptions = {
    from: 7,
    maximumRecordBytes: 300,
    maximumPageBytes: Infinity,
    decode: ({ value }) => ({ value: value && new Uint8Array(value) }),
    measure: ({ key, value }) => key.length + (value?.byteLength ?? 0),
};

/** Encodes a response as the store sends it. */
function encodeResponse(end: number, records: readonly (readonly [string, number])[]): Buffer {
    const head = Buffer.alloc(16);
    head.writeBigUInt64BE(BigInt(end));
    return Buffer.concat([head, ...records.map(([key, size]) => encodeRecord(key, Buffer.alloc(size, key)))]);
}

function decode(parts: readonly Uint8Array[], changes: Partial<PageDecoderOptions> = {}): KeyedPage | undefined {
    const decoder = createPageDecoder({ ...options, ...changes });
    for (const part of parts) {
        if (!decoder.receive(part)) {
            break;
        }
    }
    return decoder.finish();
}

function listSizes(page: KeyedPage | undefined): readonly unknown[] {
    return page?.records.map(({ key, offset, value }) => [key, offset, value?.byteLength]) ?? [];
}

describe("response of the store that is decoded while it arrives", () => {
    const response = encodeResponse(11, [["a", 10], ["b", 5_000], ["c", 0], ["d", 20]]);

    // Guards against records that are lost or mixed where a response is divided.
    it("has the same records however it is divided", () => {
        fastCheck.assert(
            fastCheck.property(fastCheck.array(fastCheck.integer({ min: 1, max: 700 })), sizes => {
                const parts: Buffer[] = [];
                let position = 0;
                for (const size of sizes) {
                    parts.push(response.subarray(position, position + size));
                    position += size;
                }
                const page = decode([...parts, response.subarray(position)]);
                expect(listSizes(page)).toEqual([["a", 7, 10], ["b", 8, undefined], ["c", 9, 0], ["d", 10, 20]]);
                expect([page?.nextOffset, page?.hasMore]).toEqual([11, false]);
            }),
            { seed: 60 },
        );
    });

    // Guards against large records that are in memory although they are too large to be read.
    it("contains only the key of a record that is too large", () => {
        const values: (Uint8Array | undefined)[] = [];
        decode([response], {
            decode: ({ value }) => {
                values.push(value && new Uint8Array(value));
                return { value };
            },
        });
        expect(values.map(value => value?.byteLength)).toEqual([10, undefined, 0, 20]);
    });

    // Guards against a memory that grows with the number of records that wait to be read.
    it("ends at the limit of a page, and tells that there is more", () => {
        const page = decode([response], { maximumPageBytes: 12 });
        expect([page?.records.length, page?.nextOffset, page?.hasMore]).toEqual([3, 10, true]);
    });

    // Guards against half a record that counts as read.
    it("is invalid if it was truncated, in a record that is left out, too", () => {
        for (const length of [0, 15, 25, 100, 5_000]) {
            expect(decode([response.subarray(0, length)])).toEqual(undefined);
        }
    });
});
