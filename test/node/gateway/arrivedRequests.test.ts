import { expect } from "earl";
import type { IncomingMessage } from "node:http";
import { describe, it } from "node:test";
import { createArrivedRequests } from "../../../src/node/gateway/callers/arrivedRequests.js";
import { createManualClock } from "../../../src/utils/index.js";

const configurationLimit = 2_000;
const incoming = { url: "/path/" } as IncomingMessage;

describe("age of the configuration", () => {
    // Guards against answers that count as beside a change of the configuration although another record has changed.
    it("starts with a new revision only", () => {
        const clock = createManualClock();
        const arrived = createArrivedRequests(clock, configurationLimit);
        expect(arrived.isConfigurationRecent()).toEqual(false);
        arrived.recordConfiguration(7);
        clock.advance(configurationLimit);
        expect(arrived.isConfigurationRecent()).toEqual(true);
        arrived.recordConfiguration(7);
        clock.advance(1);
        expect(arrived.isConfigurationRecent()).toEqual(false);
        arrived.recordConfiguration(9);
        expect(arrived.isConfigurationRecent()).toEqual(true);
    });
});

describe("description of a request in log lines", () => {
    // Guards against a limit that is stated with the configuration that is in force now.
    it("states the limit with the configuration of its arrival", () => {
        const clock = createManualClock();
        const arrived = createArrivedRequests(clock, configurationLimit);
        arrived.recordConfiguration(7);
        arrived.add(incoming).timeLimit = { kind: "route-timeout", duration: 500, revision: 7 };
        clock.advance(300);
        arrived.recordConfiguration(9);
        clock.advance(200);
        expect(arrived.describe(incoming)).toEqual({
            requestId: undefined,
            path: "/path/",
            durationMilliseconds: 500,
            limit: "route-timeout",
            limitMilliseconds: 500,
            limitRevision: 7,
            revision: 9,
            configurationAgeMilliseconds: 200,
        });
    });
});
