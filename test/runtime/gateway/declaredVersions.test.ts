import { expect } from "earl";
import { describe, it } from "node:test";
import {
    computeAllowedVersions,
    computeAssumedAge,
    computeHeadDeadline,
    dateDeclaredVersion,
    recordDeclaredVersion,
    type VersionTable,
} from "../../../src/runtime/gateway/index.js";

const options = { cutoverAfter: 7_000, abandonAfter: 7_600 };

function declare(table: VersionTable, version: number, declaredAt: number, skippedAfter = declaredAt): boolean {
    return recordDeclaredVersion(table, { model: "quill", version }, { declaredAt, skippedAfter }, options);
}

describe("versions that may answer", () => {
    it("are all versions until one is declared", () => {
        expect(computeAllowedVersions(new Map(), "quill", 0, options).oldest).toEqual(0);
    });

    it("include the older one until the cutover time of the newer one", () => {
        const table: VersionTable = new Map();
        declare(table, 2, 1_000);
        expect(computeAllowedVersions(table, "quill", 7_999, options).oldest).toEqual(0);
        expect(computeAllowedVersions(table, "quill", 8_000, options).oldest).toEqual(2);
    });

    it("follow the time of each declaration when two come in quick succession", () => {
        const table: VersionTable = new Map();
        declare(table, 2, 1_000);
        declare(table, 3, 3_000);
        expect(computeAllowedVersions(table, "quill", 8_500, options)).toEqual({
            newest: 3,
            oldest: 2,
            declaredAt: 3_000,
        });
        expect(computeAllowedVersions(table, "quill", 10_000, options).oldest).toEqual(3);
    });

    it("must have begun to answer within a time that counts from the oldest later declaration", () => {
        const table: VersionTable = new Map();
        declare(table, 2, 1_000);
        declare(table, 3, 3_000);
        expect(computeHeadDeadline(table, "quill", 1, options)).toEqual(8_600);
        expect(computeHeadDeadline(table, "quill", 2, options)).toEqual(10_600);
        expect(computeHeadDeadline(table, "quill", 3, options)).toEqual(undefined);
    });

    it("do not change when an older version is declared", () => {
        const table: VersionTable = new Map();
        expect(declare(table, 3, 0)).toEqual(true);
        expect(declare(table, 2, 9_000)).toEqual(false);
        expect(computeAllowedVersions(table, "quill", 9_000, options).newest).toEqual(3);
    });
});

describe("versions older than one that was replaced before it was read", () => {
    // Guards against a gateway that lets version 1 answer until the cutover time of version 3.
    it("may answer until the cutover time that the earliest declaration of the skipped one allows", () => {
        const table: VersionTable = new Map();
        declare(table, 3, 5_000, 2_000);
        expect(computeAllowedVersions(table, "quill", 8_999, options).oldest).toEqual(0);
        expect(computeAllowedVersions(table, "quill", 9_000, options)).toEqual({
            newest: 3,
            oldest: 2,
            declaredAt: 5_000,
        });
        expect(computeAllowedVersions(table, "quill", 12_000, options).oldest).toEqual(3);
        expect([1, 2].map(version => computeHeadDeadline(table, "quill", version, options))).toEqual([9_600, 12_600]);
    });

    it("may answer for as long after the declaration of the known one at least", () => {
        const table: VersionTable = new Map();
        declare(table, 2, 4_000);
        declare(table, 4, 6_000, 1_000);
        expect(computeAllowedVersions(table, "quill", 10_999, options).oldest).toEqual(0);
        expect(computeAllowedVersions(table, "quill", 11_000, options).oldest).toEqual(3);
    });
});

describe("version that is dated more exactly", () => {
    function date(table: VersionTable, version: number, declaredAfter: number): boolean {
        return dateDeclaredVersion(table, { model: "quill", version }, declaredAfter);
    }

    it("lets older ones answer for longer, but not those before a skipped one", () => {
        const table: VersionTable = new Map();
        declare(table, 3, 1_000, 1_000);
        expect(date(table, 3, 5_000)).toEqual(true);
        expect(computeAllowedVersions(table, "quill", 8_000, options)).toEqual({
            newest: 3,
            oldest: 2,
            declaredAt: 5_000,
        });
        expect(computeAllowedVersions(table, "quill", 12_000, options).oldest).toEqual(3);
    });

    it("was declared before newer ones", () => {
        const table: VersionTable = new Map();
        declare(table, 2, 1_000);
        declare(table, 3, 2_000);
        expect(date(table, 2, 4_000)).toEqual(true);
        expect(computeAllowedVersions(table, "quill", 5_000, options).declaredAt).toEqual(4_000);
    });

    it("keeps a later time, and an unknown version stays unknown", () => {
        const table: VersionTable = new Map();
        declare(table, 2, 3_000);
        expect([date(table, 2, 2_000), date(table, 3, 9_000)]).toEqual([false, false]);
        expect(computeAllowedVersions(table, "quill", 5_000, options)).toEqual({
            newest: 2,
            oldest: 0,
            declaredAt: 3_000,
        });
    });
});

describe("age that is assumed at the start for a version declared before", () => {
    // Guards against requests that a process sends right before it has settled, and that begin only afterwards.
    it("is reached by the cutover time a margin before the process has settled", () => {
        const times = [2_000, 7_300, 12_700].map(cutoverAfter =>
            computeAssumedAge({ cutoverAfter, settleTime: 3_000, assumedAge: 0 })
        );
        expect(times).toEqual([0, 5_000, 10_400]);
    });

    it("leaves most of the settle time to older versions if it is short", () => {
        expect(computeAssumedAge({ cutoverAfter: 7_300, settleTime: 1_000, assumedAge: 0 }))
            .toEqual(6_550);
    });

    it("is not below the configured one", () => {
        expect(computeAssumedAge({ cutoverAfter: 2_000, settleTime: 3_000, assumedAge: 1_500 })).toEqual(1_500);
    });
});
