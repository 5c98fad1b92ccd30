import { expect } from "earl";
import { describe, it } from "node:test";
import { pino } from "pino";
import { createGatewayState } from "../../../src/node/gateway/gatewayState.js";
import { createServerNotices } from "../../../src/node/gateway/serverNotices.js";
import { createRecordStore, type PageSource } from "../../../src/node/replica/index.js";
import type { KeyedRecord, RecordDecoder } from "../../../src/types/index.js";
import { createManualClock } from "../../../src/utils/index.js";
import { createListed } from "../../runtime/gateway/configuration.js";

const logger = pino({ level: "silent" });

const decoder: RecordDecoder = {
    classifyOperatorKey: () => "other",
    decodeConfiguration: () => undefined,
    decodeDeclaredVersion: () => undefined,
    decodeBackendServer: instance => createListed({ instance }),
};

function createState() {
    const clock = createManualClock();
    const store = createRecordStore(["backend-servers", "operator"], clock, logger);
    const state = createGatewayState({
        store,
        decoder,
        clock,
        logger,
        regions: new Map(),
        membership: { returnTime: 2_200, outageAfter: 1_600, reportExpiry: 2_500 },
        versions: { cutoverAfter: 7_000, assumedAge: 4_000, abandonAfter: 7_600 },
        notices: createServerNotices({ clock, logger, memory: 600_000, maximumPause: 60_000 }),
    });
    let offset = 0;
    const receive = (source: PageSource, changes: Readonly<Record<string, "listed" | "removed">>) => {
        const records = Object.entries(changes).map(([key, change]): KeyedRecord => ({
            key,
            value: change === "listed" ? Buffer.from("{}") : undefined,
            offset: offset++,
        }));
        const page = { records, nextOffset: offset };
        store.receive({ topic: "backend-servers", page, complete: false, age: 0, source, peer: "peer" });
    };
    const pass = (duration: number, heard: boolean) => {
        for (let passed = 0; passed < duration; passed += 100) {
            clock.advance(100);
            if (heard) {
                receive("relay", {});
            }
            state.expire();
        }
    };
    return { state, receive, pass };
}

describe("removal of a backend server", () => {
    it("holds at once for a gateway that the log turns away but a relay keeps current", () => {
        const { pass, receive, state } = createState();
        receive("log", { "i-1": "listed" });
        pass(500, true);
        // From here on this gateway reads nothing itself.
        pass(8_000, true);
        receive("relay", { "i-1": "removed" });
        expect(state.servers.size).toEqual(0);
    });

    it("waits after an outage until entries had time to come back", () => {
        const { pass, receive, state } = createState();
        receive("log", { "i-1": "listed", "i-2": "listed" });
        pass(500, true);
        pass(5_000, false);
        receive("log", { "i-1": "removed", "i-2": "removed" });
        expect(state.servers.size).toEqual(2);
        pass(1_500, true);
        receive("log", { "i-2": "listed" });
        pass(1_000, true);
        expect([...state.servers.keys()]).toEqual(["i-2"]);
    });
});
