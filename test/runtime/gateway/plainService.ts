import {
    type AdmissionTable,
    createAdmissionTable,
    type DequeuedRequests,
    expireRequests,
    finishRequest,
    offerRequest,
    resolveAdmissionOptions,
    setCapacity,
} from "../../../src/runtime/admission/index.js";
import {
    type ArrivalCount,
    computeArrivalRate,
    computePlaceShare,
    createArrivalCount,
    recordArrival,
} from "../../../src/runtime/gateway/index.js";
import {
    applyLoadReport,
    createRunnerRow,
    resolveRoutingOptions,
    type RunnerRow,
    selectRunner,
} from "../../../src/runtime/routing/index.js";
import { createSeededRandom } from "../../../src/utils/index.js";
import { createRequest } from "../admission/requests.js";

/** Simulated load of a plain service, which is a service without an engine. */
export interface PlainServiceLoad {
    readonly gateways: number;
    readonly servers: number;
    readonly slots: number;
    readonly requestsPerSecond: number;
    /** Target latency in milliseconds; an answer within it is in time. */
    readonly target: number;
    readonly seed: number;
}

/** Results of the simulation. */
export interface PlainServiceResult {
    readonly inTimeShare: number;
    /** Answered share of the requests, at the gateway where it is smallest. */
    readonly worstGatewayShare: number;
    /** Share of the slots that were in use. */
    readonly usedShare: number;
    /** Share of the requests that a backend server turned away. */
    readonly shedShare: number;
}

interface Gateway {
    readonly runners: readonly RunnerRow[];
    readonly table: AdmissionTable;
    readonly arrivals: ArrivalCount;
    draw: number;
    received: number;
    answered: number;
}

interface Server {
    running: number;
    readonly queue: (() => void)[];
}

const simulatedTime = 20_000;
const meanServiceTime = 43;
const serverQueue = 24;
const tickInterval = 100;
const drawInterval = 250;
const loadHalfLife = 1_000;

/** Simulates the decisions of gateways that learn the load only from the answers of the backend servers. */
export function simulatePlainService(load: PlainServiceLoad): PlainServiceResult {
    const random = createSeededRandom(load.seed);
    const routing = resolveRoutingOptions({ comparedCandidates: 6, reportExpiry: Infinity });
    const servers: Server[] = Array.from({ length: load.servers }, () => ({ running: 0, queue: [] }));
    const gateways: Gateway[] = Array.from({ length: load.gateways }, () => ({
        runners: servers.map((...[, index]) =>
            Object.assign(createRunnerRow("archive", { instance: String(index), zone: "zone", region: "region" }), {
                phase: "serving" as const,
                capacity: load.slots,
                reportedAt: 0,
            })
        ),
        table: createAdmissionTable(resolveAdmissionOptions({ maximumInProgress: 1_000 })),
        arrivals: createArrivalCount(0),
        draw: random.next(),
        received: 0,
        answered: 0,
    }));
    const finishes: { readonly at: number; readonly finish: () => void; }[] = [];
    const receivedAt = new Map<string, number>();
    const counts = { sent: 0, inTime: 0, shed: 0, used: 0 };
    let now = 0;

    function updateCapacity(gateway: Gateway): void {
        const { places } = computePlaceShare({
            runners: gateway.runners.map(runner => ({ runner, isFollowed: false })),
            gateways: load.gateways,
            demand: {
                arrivalRate: computeArrivalRate(gateway.arrivals, now),
                serviceTime: gateway.table.averageServiceTime,
            },
            draw: gateway.draw,
            now,
            options: { queuedPerServer: 0, loadHalfLife },
        });
        apply(gateway, setCapacity(gateway.table, places, now));
    }

    function apply(gateway: Gateway, { start }: DequeuedRequests): void {
        start.forEach(({ requestId }) => send(gateway, requestId));
    }

    function run(server: Server, finish: () => void): void {
        server.running++;
        finishes.push({ at: now - Math.log(1 - random.next()) * meanServiceTime, finish });
    }

    function send(gateway: Gateway, requestId: string): void {
        const decision = selectRunner({
            subset: { deployment: "archive", runners: [...gateway.runners] },
            zone: "zone",
            region: "region",
            manifestDigest: undefined,
            prefix: undefined,
            excluded: new Set(),
            now,
            random,
            options: routing,
        });
        if (decision.kind === "none") {
            throw new Error(`no backend server: ${decision.reason}`);
        }
        const { runner } = decision;
        const server = servers[Number(runner.instance)]!;
        const finish = () => {
            server.running--;
            const next = server.queue.shift();
            if (next !== undefined) {
                run(server, next);
            }
            runner.outstanding--;
            const { queue: { length: queued }, running } = server;
            const state = { manifestDigest: undefined, phase: "serving", draining: false, cachedPrefixes: [] } as const;
            applyLoadReport(runner, { ...state, running, queued, capacity: load.slots, age: 0 }, now);
            gateway.answered++;
            counts.inTime += now - receivedAt.get(requestId)! <= load.target ? 1 : 0;
            apply(gateway, finishRequest(gateway.table, requestId, now));
            updateCapacity(gateway);
        };
        if (server.running < load.slots) {
            runner.outstanding++;
            run(server, finish);
        }
        else if (server.queue.length < serverQueue) {
            runner.outstanding++;
            server.queue.push(finish);
        }
        else {
            counts.shed++;
            apply(gateway, finishRequest(gateway.table, requestId, now));
        }
    }

    function arrive(gateway: Gateway): void {
        const request = createRequest({ receivedAt: now, deadline: now + load.target / 2 });
        counts.sent++;
        gateway.received++;
        receivedAt.set(request.requestId, now);
        recordArrival(gateway.arrivals, now);
        updateCapacity(gateway);
        if (offerRequest(gateway.table, request, now).kind === "start") {
            send(gateway, request.requestId);
        }
    }

    let nextArrival = 0;
    for (now = 0; now < simulatedTime; now++) {
        finishes.sort((left, right) => left.at - right.at);
        while (finishes[0] !== undefined && finishes[0].at <= now) {
            finishes.shift()!.finish();
        }
        for (; nextArrival <= now; nextArrival -= Math.log(1 - random.next()) * 1_000 / load.requestsPerSecond) {
            arrive(gateways[Math.floor(random.next() * gateways.length)]!);
        }
        for (const gateway of now % tickInterval === 0 ? gateways : []) {
            gateway.draw = now % drawInterval === 0 ? random.next() : gateway.draw;
            updateCapacity(gateway);
            apply(gateway, expireRequests(gateway.table, now));
        }
        counts.used += servers.reduce((sum, { running }) => sum + running, 0);
    }
    const shares = gateways.map(({ answered, received }) => received === 0 ? 1 : answered / received);
    return {
        inTimeShare: counts.inTime / counts.sent,
        worstGatewayShare: Math.min(...shares),
        usedShare: counts.used / (simulatedTime * load.servers * load.slots),
        shedShare: counts.shed / counts.sent,
    };
}
