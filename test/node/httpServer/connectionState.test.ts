import { expect } from "earl";
import { describe, it } from "node:test";
import {
    type ConnectionCloseReason,
    type ConnectionLimits,
    type ConnectionState,
    decideClose,
} from "../../../src/node/httpServer/index.js";

const resting: ConnectionState = {
    owed: 0,
    hasAnswered: true,
    receivedAtRest: 100,
    restingSince: 1_000,
    headSince: undefined,
    statedIdleLimit: 2_000,
};
const limits: ConnectionLimits = { idle: 2_000, head: 3_000, isClosing: false };

describe("connection without an open response", () => {
    const cases: readonly {
        readonly name: string;
        readonly state?: Partial<ConnectionState>;
        readonly limits?: Partial<ConnectionLimits>;
        readonly received?: number;
        readonly idleFor: number;
        readonly closed?: ConnectionCloseReason;
    }[] = [
        { name: "stays open within the margin after its idle limit", idleFor: 6_999 },
        { name: "is closed after the margin", idleFor: 7_000, closed: "idle" },
        { name: "gets a limit that was lengthened while it is idle", limits: { idle: 9_000 }, idleFor: 13_999 },
        { name: "keeps the stated limit when it is shortened", limits: { idle: 500 }, idleFor: 6_999 },
        { name: "stays open once bytes have arrived", received: 101, idleFor: 60_000 },
        { name: "stays open while a head arrives", state: { headSince: 2_000 }, received: 101, idleFor: 3_999 },
        {
            name: "is closed if a head is not complete in time",
            state: { headSince: 2_000 },
            received: 101,
            idleFor: 4_000,
            closed: "head-timeout",
        },
        { name: "stays open while it owes a response", state: { owed: 1 }, idleFor: 60_000 },
        { name: "may carry one more request in a shutdown", limits: { isClosing: true }, idleFor: 99 },
        { name: "is closed in a shutdown", limits: { isClosing: true }, idleFor: 100, closed: "shutdown" },
        {
            name: "stays open in a shutdown before its first request",
            state: { hasAnswered: false, receivedAtRest: 0 },
            limits: { isClosing: true },
            received: 0,
            idleFor: 1_000,
        },
    ];
    for (const { closed, idleFor, limits: changed, name, received = 100, state } of cases) {
        it(name, () => {
            const now = resting.restingSince + idleFor;
            const close = decideClose({ ...resting, ...state }, received, { ...limits, ...changed }, now);
            expect(close?.reason).toEqual(closed);
        });
    }
});
