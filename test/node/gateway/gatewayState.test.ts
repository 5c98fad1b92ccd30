import { expect } from "earl";
import { describe, it } from "node:test";
import { pino } from "pino";
import { createGatewayState } from "../../../src/node/gateway/membership/gatewayState.js";
import { createServerNotices } from "../../../src/node/gateway/membership/serverNotices.js";
import { createRecordStore, createStallMonitor, type PageSource } from "../../../src/node/replica/index.js";
import type { KeyedRecord, RecordDecoder } from "../../../src/types/index.js";
import { createManualClock } from "../../../src/utils/index.js";
import { createListed } from "../../runtime/gateway/configuration.js";
import { createTestRateLimits } from "./testRateLimits.js";

const logger = pino({ level: "silent" });

const decoder: RecordDecoder = {
    classifyOperatorKey: () => "declared-version",
    decodeConfiguration: () => undefined,
    decodeDeclaredVersion: (...[, value]) => ({ model: "scribe", version: Number(Buffer.from(value).toString()) }),
    decodeBackendServer: instance => createListed({ instance }),
    decodeEvacuation: () => undefined,
};

interface VersionPage {
    readonly source?: PageSource;
    readonly writtenAfter?: number;
}

/** Creates the state of a gateway, by default one whose process has just started. */
function createState(startedAt = 0) {
    const manual = createManualClock();
    let suspended = 0;
    /** Clock whose monotonic time does not count suspensions. */
    const clock = { ...manual, now: () => new Date(manual.now().getTime() + suspended) };
    const suspend = (duration: number): void => {
        suspended += duration;
    };
    const stalls = createStallMonitor({ clock, logger });
    const store = createRecordStore(["backend-servers", "operator"], clock, logger);
    const state = createGatewayState({
        store,
        decoder,
        clock,
        stalls,
        logger,
        regions: new Map(),
        membership: { returnTime: 2_200, outageAfter: 1_600, reportExpiry: 2_500 },
        versions: { cutoverAfter: 7_000, assumedAge: 0, settleTime: 3_000, abandonAfter: 7_600 },
        startedAt,
        notices: createServerNotices({ clock, logger, memory: 600_000, maximumPause: 60_000 }),
        evacuations: { apply: () => {} },
        slowStarts: { recordListed: () => {} },
        rateLimits: createTestRateLimits(clock),
    });
    let offset = 0;
    const receive = (
        source: PageSource,
        changes: Readonly<Record<string, "listed" | "removed">>,
        { afterFailure = false, age = 0 } = {},
    ) => {
        const records = Object.entries(changes).map(([key, change]): KeyedRecord => ({
            key,
            value: change === "listed" ? Buffer.from("{}") : undefined,
            offset: offset++,
        }));
        const page = { records, nextOffset: offset };
        store.receive({ topic: "backend-servers", page, complete: false, age, source, afterFailure, peer: "peer" });
    };
    const advanceTime = (duration: number, isRelayCurrent: boolean) => {
        for (let passed = 0; passed < duration; passed += 100) {
            clock.advance(100);
            if (isRelayCurrent) {
                receive("relay", {});
            }
            state.expire();
        }
    };
    /** Receives a complete read of the declared version, or the version alone with its age as a relay states it. */
    const receiveVersion = (version: number, { source = "log", writtenAfter }: VersionPage = {}) => {
        const record = { key: "scribe", value: Buffer.from(String(version)), offset: offset++, writtenAfter };
        const page = { records: [record], nextOffset: offset };
        store.receive({ topic: "operator", page, complete: source === "log", age: 0, source, peer: "peer" });
    };
    /** Receives the record that was read last again, as a relay sends it to a new follower. */
    const repeatVersion = (version: number, writtenAfter: number) => {
        const record = { key: "scribe", value: Buffer.from(String(version)), offset: offset - 1, writtenAfter };
        const page = { records: [record], nextOffset: offset };
        store.receive({ topic: "operator", page, complete: false, age: 0, source: "relay", peer: "peer" });
    };
    return { clock, state, suspend, receive, receiveVersion, repeatVersion, advanceTime };
}

describe("removal of a backend server", () => {
    it("applies at once at a gateway that cannot read the log but is kept current by a relay", () => {
        const { advanceTime, receive, state } = createState();
        receive("log", { "i-1": "listed" });
        advanceTime(500, true);
        // From here on, the gateway receives records only from the relay.
        advanceTime(8_000, true);
        receive("relay", { "i-1": "removed" });
        expect(state.servers.size).toEqual(0);
    });

    it("is delayed after an outage until there was time to write the entries again", () => {
        const { advanceTime, receive, state } = createState();
        receive("log", { "i-1": "listed", "i-2": "listed" });
        advanceTime(500, true);
        advanceTime(5_000, false);
        receive("log", { "i-1": "removed", "i-2": "removed" });
        expect(state.servers.size).toEqual(2);
        advanceTime(1_500, true);
        receive("log", { "i-2": "listed" });
        advanceTime(1_000, true);
        expect([...state.servers.keys()]).toEqual(["i-2"]);
    });
});

describe("removal of a backend server at a gateway that starts", () => {
    // Guards against a removed backend server that stays in use although the log was never away.
    it("applies at once, also right after the first list", () => {
        const { receive, state } = createState();
        receive("relay", { "i-1": "listed", "i-2": "listed" });
        receive("log", { "i-1": "removed" });
        expect([...state.servers.keys()]).toEqual(["i-2"]);
    });

    // Guards against a removed backend server that stays in use because the first relay was behind.
    it("applies as soon as the list is current", () => {
        const { receive, state } = createState();
        receive("relay", { "i-1": "listed" }, { age: 3_000 });
        receive("relay", { "i-1": "removed" }, { age: 2_000 });
        expect(state.servers.size).toEqual(1);
        receive("log", {});
        state.expire();
        expect(state.servers.size).toEqual(0);
    });

    const outages = [
        {
            name: "and a relay sends an old list",
            start: ({ advanceTime, receive }: ReturnType<typeof createState>) => {
                receive("relay", { "i-1": "listed", "i-2": "listed" }, { age: 3_000 });
                advanceTime(500, false);
            },
        },
        {
            name: "and no list arrives",
            start: ({ advanceTime, receive }: ReturnType<typeof createState>) => {
                advanceTime(2_000, false);
                receive("log", { "i-1": "listed", "i-2": "listed" });
            },
        },
        {
            name: "and the first reads fail",
            start: ({ advanceTime, receive }: ReturnType<typeof createState>) => {
                advanceTime(500, false);
                receive("log", { "i-1": "listed", "i-2": "listed" }, { afterFailure: true });
            },
        },
    ];
    for (const { name, start } of outages) {
        // Guards against backend servers that are given up although they return after an outage.
        it(`is held back while the log is away ${name}, until there was time to write the entries again`, () => {
            const gateway = createState();
            const { advanceTime, receive, state } = gateway;
            start(gateway);
            advanceTime(200, true);
            receive("log", { "i-1": "removed", "i-2": "removed" });
            advanceTime(1_800, true);
            expect(state.servers.size).toEqual(2);
            receive("log", { "i-2": "listed" });
            advanceTime(400, true);
            expect([...state.servers.keys()]).toEqual(["i-2"]);
            receive("log", { "i-2": "removed" });
            expect(state.servers.size).toEqual(0);
        });
    }
});

describe("version of the weights that is declared", () => {
    // Guards against a gateway that uses older versions for longer because it could not read the log for a while.
    it("counts from the last read without it at a gateway that reads all records again", () => {
        const { clock, receiveVersion, state } = createState();
        receiveVersion(1);
        clock.advance(6_500);
        receiveVersion(2);
        expect(state.readVersions("scribe")).toEqual({ newest: 2, oldest: 1, declaredAt: 0 });
        clock.advance(500);
        expect(state.readVersions("scribe").oldest).toEqual(2);
    });

    // Guards against a gateway that uses older versions after it has settled, because it read the version late.
    it("has made older versions unusable a margin before the process has settled, if its time is unknown", () => {
        const { clock, receiveVersion, state } = createState(-300);
        clock.advance(1_200);
        receiveVersion(2);
        clock.advance(700);
        expect(state.readVersions("scribe").oldest).toEqual(0);
        clock.advance(100);
        expect(state.readVersions("scribe").oldest).toEqual(2);
    });

    // Guards against a gateway that refuses requests after its start, since it must assume that the version is old.
    it("counts from the later time that a relay states after the version was read at the start", () => {
        const { clock, receiveVersion, repeatVersion, state } = createState();
        clock.advance(800);
        receiveVersion(2);
        expect(state.readVersions("scribe").declaredAt).toEqual(-4_700);
        repeatVersion(2, 300);
        expect(state.readVersions("scribe").declaredAt).toEqual(300);
    });

    it("counts from the later time that a relay knows, at a gateway that has just started", () => {
        const { clock, receiveVersion, state } = createState();
        clock.advance(800);
        receiveVersion(2, { source: "relay", writtenAfter: 300 });
        expect(state.readVersions("scribe").declaredAt).toEqual(300);
    });

    it("counts from the later time that a relay knows", () => {
        const { clock, receiveVersion, state } = createState();
        receiveVersion(1);
        clock.advance(6_500);
        receiveVersion(2, { source: "relay", writtenAfter: 6_000 });
        expect(state.readVersions("scribe").declaredAt).toEqual(6_000);
    });

    // Guards against a gateway to which a relay sends only the newest of two versions declared in quick succession.
    it("ends the use of older ones early if it hides one that was declared before it", () => {
        const { clock, receiveVersion, state } = createState();
        receiveVersion(1);
        clock.advance(6_500);
        receiveVersion(3, { source: "relay", writtenAfter: 6_000 });
        clock.advance(500);
        expect(state.readVersions("scribe")).toEqual({ newest: 3, oldest: 2, declaredAt: 6_000 });
    });

    // Guards against a gateway that uses older versions for longer by the time for which its machine was suspended.
    it("counts the time for which the machine was suspended after it", () => {
        const { clock, receiveVersion, state, suspend } = createState();
        receiveVersion(1);
        clock.advance(1_000);
        receiveVersion(2, { source: "relay", writtenAfter: 900 });
        clock.advance(1_000);
        suspend(4_000);
        expect(state.readVersions("scribe").declaredAt).toEqual(-3_100);
        expect(state.computeHeadDeadline("scribe", 1)).toEqual(4_500);
        clock.advance(1_900);
        expect(state.readVersions("scribe").oldest).toEqual(2);
    });

    it("counts the time for which the machine was suspended between the last read without it and the next", () => {
        const { clock, receiveVersion, state, suspend } = createState();
        receiveVersion(1);
        clock.advance(1_000);
        suspend(4_000);
        receiveVersion(2);
        clock.advance(2_000);
        expect(state.readVersions("scribe").oldest).toEqual(2);
    });
});
