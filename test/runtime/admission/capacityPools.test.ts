import { expect } from "earl";
import { describe, it } from "node:test";
import {
    createAdmissionTable,
    expireRequests,
    finishRequest,
    offerRequest,
    resolveAdmissionOptions,
    setCapacity,
    setPool,
} from "../../../src/runtime/admission/index.js";
import { createRequest } from "./requests.js";

const coast = { capacityPool: "coast" };
const serviceTime = 1_000;

/** Table with ten slots of which nine are taken, and no free one in the pool. */
function createLoadedTable(rankReservation: boolean) {
    const options = { rankReservation, initialServiceTime: serviceTime, maximumInProgress: 10 };
    const table = createAdmissionTable(resolveAdmissionOptions(options));
    setPool(table, "coast", { capacity: 9, share: 0.3 });
    for (let index = 0; index < 9; index++) {
        offerRequest(table, createRequest({ requestId: `running-${index}`, deadline: 60_000 }), 0);
    }
    return table;
}

describe("request that only a part of the backend servers may serve", () => {
    for (const rankReservation of [false, true]) {
        const name = rankReservation ? "with order by rank" : "with order by account";

        // Guards against a request whose region is full at the head of the queue, behind which all others wait.
        it(`does not keep others from starting while its part is full, ${name}`, () => {
            const table = createLoadedTable(rankReservation);
            const confined = createRequest({ requestId: "confined", priority: 9, deadline: 20_000, ...coast });
            expect(offerRequest(table, confined, 0).kind).toEqual("queue");
            offerRequest(table, createRequest({ requestId: "other", priority: 1, deadline: 10_000 }), 1);
            const { refuse, start } = expireRequests(table, 1);
            expect([start.map(({ requestId }) => requestId), refuse]).toEqual([["other"], []]);
        });

        // Guards against a request that takes a slot of servers which may not serve it.
        it(`starts once its part has a slot free, ${name}`, () => {
            const table = createLoadedTable(rankReservation);
            offerRequest(table, createRequest({ requestId: "confined", deadline: 20_000, ...coast }), 0);
            expect(expireRequests(table, 1).start).toEqual([]);
            setPool(table, "coast", { capacity: 10, share: 0.3 });
            expect(setCapacity(table, 10, 2).start.map(({ requestId }) => requestId)).toEqual(["confined"]);
        });
    }

    // Guards against a wait until the deadline for a slot that cannot be free in time.
    it("is refused at once if its part is not expected to have a slot in time, while others wait", () => {
        const table = createLoadedTable(false);
        // A slot of the part is free every 1,000 / 10 / 0.3 ms = 333 ms.
        const decisions = [330, 340].map(deadline =>
            offerRequest(table, createRequest({ requestId: `in ${deadline}`, deadline, ...coast }), 0).kind
        );
        expect(decisions).toEqual(["refuse", "queue"]);
        expect(finishRequest(table, "running-0", 10).start.length).toEqual(1);
    });
});
