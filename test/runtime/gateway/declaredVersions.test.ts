import { expect } from "earl";
import { describe, it } from "node:test";
import {
    computeAllowedVersions,
    computeAssumedAge,
    computeHeadDeadline,
    recordDeclaredVersion,
    type VersionTable,
} from "../../../src/runtime/gateway/index.js";

const options = { cutoverAfter: 7_000, abandonAfter: 7_600 };

describe("versions that may answer", () => {
    it("are all versions until one is declared", () => {
        expect(computeAllowedVersions(new Map(), "quill", 0, options).oldest).toEqual(0);
    });

    it("include the older one until the cutover time of the newer one", () => {
        const table: VersionTable = new Map();
        recordDeclaredVersion(table, { model: "quill", version: 2 }, 1_000, options);
        expect(computeAllowedVersions(table, "quill", 7_999, options).oldest).toEqual(0);
        expect(computeAllowedVersions(table, "quill", 8_000, options).oldest).toEqual(2);
    });

    it("follow the time of each declaration when two come in quick succession", () => {
        const table: VersionTable = new Map();
        recordDeclaredVersion(table, { model: "quill", version: 2 }, 1_000, options);
        recordDeclaredVersion(table, { model: "quill", version: 3 }, 3_000, options);
        expect(computeAllowedVersions(table, "quill", 8_500, options)).toEqual({
            newest: 3,
            oldest: 2,
            declaredAt: 3_000,
        });
        expect(computeAllowedVersions(table, "quill", 10_000, options).oldest).toEqual(3);
    });

    it("must have begun to answer within a time that counts from the oldest later declaration", () => {
        const table: VersionTable = new Map();
        recordDeclaredVersion(table, { model: "quill", version: 2 }, 1_000, options);
        recordDeclaredVersion(table, { model: "quill", version: 3 }, 3_000, options);
        expect(computeHeadDeadline(table, "quill", 1, options)).toEqual(8_600);
        expect(computeHeadDeadline(table, "quill", 2, options)).toEqual(10_600);
        expect(computeHeadDeadline(table, "quill", 3, options)).toEqual(undefined);
    });

    it("do not change when an older version is declared", () => {
        const table: VersionTable = new Map();
        expect(recordDeclaredVersion(table, { model: "quill", version: 3 }, 0, options)).toEqual(true);
        expect(recordDeclaredVersion(table, { model: "quill", version: 2 }, 9_000, options)).toEqual(false);
        expect(computeAllowedVersions(table, "quill", 9_000, options).newest).toEqual(3);
    });
});

describe("age that is assumed at the start for a version declared before", () => {
    it("is reached by the cutover time when the process has settled", () => {
        const times = [2_000, 7_300, 12_700].map(cutoverAfter =>
            computeAssumedAge({ cutoverAfter, settleTime: 3_000, assumedAge: 0 })
        );
        expect(times).toEqual([0, 4_300, 9_700]);
    });

    it("is not below the configured one", () => {
        expect(computeAssumedAge({ cutoverAfter: 2_000, settleTime: 3_000, assumedAge: 1_500 })).toEqual(1_500);
    });
});
