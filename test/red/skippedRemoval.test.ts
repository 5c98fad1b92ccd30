import { expect } from "earl";
import { describe, it } from "node:test";
import { createReplica, mergePage, type ReplicaTopic, selectUnknown } from "../../src/runtime/replica/index.js";

const topic = "backend-servers";
const value = Buffer.from("entry");

function createTable(): ReplicaTopic {
    return createReplica([topic]).topics.get(topic)!;
}

describe("process that follows one that has just read the compacted log", () => {
    // Guards against a removed backend server that stays in use, since its removal counts as known.
    it("removes what was removed from the log meanwhile", () => {
        const [first, second] = [{ key: "i-1", value, offset: 3 }, { key: "i-2", value, offset: 4 }];
        const [follower, started] = [createTable(), createTable()];
        mergePage(follower, { page: { records: [first, second], nextOffset: 30 }, complete: true, currentAt: 1 });
        mergePage(started, { page: { records: [second], nextOffset: 31 }, complete: true, currentAt: 2 });
        const { complete, records } = selectUnknown(started, {
            era: 0,
            nextOffset: follower.nextOffset,
            carriedChanges: undefined,
        });
        mergePage(follower, {
            page: { records: [...records], nextOffset: started.nextOffset },
            complete,
            currentAt: 2,
        });
        const removal = { key: "i-1", value: undefined, offset: 30 };
        mergePage(follower, { page: { records: [removal], nextOffset: 31 }, complete: false, currentAt: 3 });
        expect(follower.records.get("i-1")?.value).toEqual(undefined);
    });
});
