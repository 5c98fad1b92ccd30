import { toBinary } from "@bufbuild/protobuf";
import type { ServerUnaryCall } from "@grpc/grpc-js";
import { expect } from "earl";
import { describe, it } from "node:test";
import { pino } from "pino";
import {
    type CrashEvidence,
    type CrashEvidenceRequest,
    CrashEvidenceSchema,
} from "../../../src/generated/goldcrestpoint_pb.js";
import { createCrashEvidenceStore } from "../../../src/node/gateway/crashes/crashEvidenceStore.js";
import { createCrashExchange } from "../../../src/node/gateway/crashes/crashExchange.js";
import { createServerNotices } from "../../../src/node/gateway/membership/serverNotices.js";
import { createManualClock } from "../../../src/utils/index.js";
import { createTestRateLimits } from "./testRateLimits.js";

const logger = pino({ level: "silent" });

describe("exchange of crash evidence", () => {
    // Guards against a message that cannot be encoded, so that no evidence is exchanged while the crash is remembered.
    for (const age of [1e300, 2 ** 64, 2 ** 53, 1.5]) {
        it(`states a crash that another gateway or the log puts ${age} ms back`, () => {
            const clock = createManualClock();
            const crashEvidence = createCrashEvidenceStore({
                options: {
                    maximumCrashes: 3,
                    maximumSuspects: 100,
                    suspicionDuration: 60_000,
                    condemnedDuration: 60_000,
                    answerMemory: 60_000,
                },
                clock,
                logger,
            });
            using exchange = createCrashExchange({
                crashEvidence,
                notices: createServerNotices({ clock, logger, memory: 60_000, maximumPause: 1_000 }),
                rateLimits: createTestRateLimits(clock),
                listAddresses: () => [],
                cleanup: { recordCall: () => {}, findNextToCall: () => undefined },
                clock,
                random: { next: () => 0 },
                logger,
                settleTime: 60_000,
            });
            crashEvidence.merge(
                { crashes: [{ crashId: "odd", fingerprints: ["one"], age, touchedAge: 0 }], answers: [] },
                "log",
            );
            const answers: CrashEvidence[] = [];
            exchange.exchangeCrashEvidence(
                { request: { asks: true, digest: "" } } as ServerUnaryCall<CrashEvidenceRequest, CrashEvidence>,
                (...[, answer]) => answers.push(answer!),
            );
            expect(toBinary(CrashEvidenceSchema, answers[0]!).length > 0).toEqual(true);
            expect(answers[0]!.crashes.map(({ crashId }) => crashId)).toEqual(["odd"]);
        });
    }
});
