import { expect } from "earl";
import { describe, it } from "node:test";
import { pino } from "pino";
import { createSlowStarts } from "../../../src/node/gateway/membership/slowStarts.js";
import { applyListed, type BackendServerRow, createBackendServerTable } from "../../../src/runtime/gateway/index.js";
import type { ListedBackendServer, SlowStartRow } from "../../../src/types/index.js";
import { createManualClock } from "../../../src/utils/index.js";
import { createListed } from "../../runtime/gateway/configuration.js";

const membership = { returnTime: 2_200, outageAfter: 1_600, reportExpiry: 2_500 };

interface Fleet {
    readonly registered?: readonly string[];
    /** Addresses of the other gateways. */
    readonly addresses?: readonly string[];
}

function prepare({ addresses = [], registered = ["gateway-1"] }: Fleet = {}) {
    const clock = createManualClock();
    const servers = createBackendServerTable();
    const known = {
        slowStart: { duration: 10_000, requestsPerSecond: 36 } as SlowStartRow | undefined,
        areGatewaysKnown: true,
        liftedAt: undefined as number | undefined,
    };
    const slowStarts = createSlowStarts({
        self: "gateway-1",
        listGateways: () => registered,
        listAddresses: () => addresses,
        areGatewaysKnown: () => known.areGatewaysKnown,
        readSlowStart: () => known.slowStart,
        readLiftedAt: () => known.liftedAt,
        clock,
        random: { next: () => 0.5 },
        logger: pino({ level: "silent" }),
        confirmWithin: 2_200,
        gatewaysWithin: 3_000,
    });
    const list = (changes: Partial<ListedBackendServer> = {}): BackendServerRow => {
        applyListed(servers, createListed(changes), "south", clock.monotonic(), membership);
        const server = servers.get("i-1")!;
        slowStarts.recordListed(server);
        return server;
    };
    const wait = (duration: number): void => {
        clock.advance(duration);
        slowStarts.update(servers.rows());
    };
    const isCold = (): boolean => servers.get("i-1")!.runner.slowStart !== undefined;
    const startedLongAgo = clock.now().getTime() - 3_600_000;
    return { clock, isCold, known, list, servers, slowStarts, startedLongAgo, wait };
}

describe("backend server whose state is not known", () => {
    // Guards against full load on backend servers that were restarted together with the gateway.
    it("counts as cold right after the gateway has read its entry, and until a newer one would have been read", () => {
        const { isCold, list, startedLongAgo, wait } = prepare();
        list({ startedAt: startedLongAgo, coldRemaining: 0 });
        expect(isCold()).toEqual(true);
        wait(2_300);
        expect(isCold()).toEqual(false);
    });

    it("counts as cold for the whole duration if neither its start nor a statement is known", () => {
        const { isCold, list, wait } = prepare();
        list({ startedAt: undefined });
        wait(9_900);
        expect(isCold()).toEqual(true);
        wait(200);
        expect(isCold()).toEqual(false);
    });

    // Guards against full load between the restart of a backend server and the entry that shows it.
    it("counts as cold after a connection to it was lost", () => {
        const { isCold, list, slowStarts, startedLongAgo, wait } = prepare();
        const server = list({ startedAt: startedLongAgo, coldRemaining: 0 });
        wait(2_300);
        slowStarts.recordLoss(server);
        expect(isCold()).toEqual(true);
        wait(2_300);
        expect(isCold()).toEqual(false);
    });
});

describe("backend server that becomes cold again", () => {
    // Guards against an entry, a report, an answer or the end of an evacuation that is not noticed.
    const changes: readonly (readonly [string, (prepared: ReturnType<typeof prepare>) => void])[] = [
        ["its entry says so", ({ list, startedLongAgo }) => list({ startedAt: startedLongAgo, coldRemaining: 5_000 })],
        ["its entry shows a restart", ({ clock, list }) => list({ startedAt: clock.now().getTime() })],
        [
            "a report shows a restart before the list does",
            ({ clock, servers, slowStarts }) => slowStarts.recordReport(servers.get("i-1")!, clock.now().getTime()),
        ],
        [
            "an answer says so",
            ({ servers, slowStarts }) => slowStarts.recordHead(servers.get("i-1")!, { coldRemaining: 5_000 }),
        ],
        ["the evacuation of its zone was lifted", ({ clock, known, servers, slowStarts }) => {
            known.liftedAt = clock.monotonic();
            slowStarts.update(servers.rows());
        }],
    ];
    for (const [name, change] of changes) {
        it(`gets requests at intervals: ${name}`, () => {
            const prepared = prepare();
            const { isCold, list, startedLongAgo, wait } = prepared;
            list({ startedAt: startedLongAgo, coldRemaining: 0 });
            wait(2_300);
            expect(isCold()).toEqual(false);
            change(prepared);
            expect(isCold()).toEqual(true);
            wait(4_900);
            expect(isCold()).toEqual(true);
            wait(6_000);
            expect(isCold()).toEqual(false);
        });
    }
});

describe("gateway that starts without knowing others", () => {
    // Guards against gateways that start together and each take the whole limit.
    it("sends a cold backend server nothing until it has read the registrations, or some time has passed", () => {
        const { clock, known, list, servers, wait } = prepare();
        known.areGatewaysKnown = false;
        list({ startedAt: clock.now().getTime() });
        wait(2_900);
        expect(servers.get("i-1")!.runner.slowStart!.nextAt).toEqual(Infinity);
        wait(200);
        expect(servers.get("i-1")!.runner.slowStart!.nextAt < clock.monotonic()).toEqual(true);
    });

    it("counts the seeds that are not registered yet", () => {
        const addresses = Array.from({ length: 8 }, (...[, index]) => `10.0.0.${index}:9000`);
        const alone = prepare();
        const seeded = prepare({ addresses });
        for (const { clock, list, wait } of [alone, seeded]) {
            list({ startedAt: clock.now().getTime() });
            wait(100);
        }
        const readInterval = ({ servers }: typeof alone) => servers.get("i-1")!.runner.slowStart!.interval;
        expect(readInterval(seeded)).toEqual(9 * readInterval(alone));
    });
});

describe("configuration without a slow start", () => {
    // Guards against a limit on services that state none, as in earlier deployments.
    it("leaves a backend server that has just started unlimited, also when it takes the slow start back", () => {
        const { clock, isCold, known, list, wait } = prepare();
        const { slowStart } = known;
        known.slowStart = undefined;
        list({ startedAt: clock.now().getTime(), coldRemaining: 5_000 });
        expect(isCold()).toEqual(false);
        known.slowStart = slowStart;
        wait(100);
        expect(isCold()).toEqual(true);
        known.slowStart = undefined;
        wait(100);
        expect(isCold()).toEqual(false);
    });
});
