import { expect } from "earl";
import { describe, it } from "node:test";
import {
    addChunk,
    countChunks,
    createBitfield,
    createOriginReaders,
    createTransferWindow,
    type PeerRow,
    queueDelayTarget,
    recordStall,
    resolveDistributionOptions,
    selectTransfers,
    type TransferRow,
} from "../../../src/runtime/distribution/index.js";
import type { Manifest } from "../../../src/types/index.js";
import { createSeededRandom, createTable } from "../../../src/utils/index.js";

const chunkBytes = 32_768;
const partBytes = 16_384;
const chunkCount = 64;
const messageBytes = 300;
const wideBytesPerSecond = 950_000;
const narrowBytesPerSecond = 125_000;
const roundTripMilliseconds = 2;
const holders = Array.from({ length: 12 }, (...[, number]) => `holder-${number}`);
const exchangeIntervalMilliseconds = 400;
const liveIntervalMilliseconds = 20;
const tickIntervalMilliseconds = 100;
const playedMilliseconds = 30_000;
const clockDifferenceMilliseconds = 1e9;

interface Plan {
    /** Bytes per second at a time in milliseconds. */
    readonly rateAt: (now: number) => number;
    /** Holders that accept requests and never answer. */
    readonly silent?: ReadonlySet<string>;
    /** Time that a holder takes before it sends a chunk. Default: 0. */
    readonly holderDelay?: number;
    /** Longest time that a request waits on the holder's link. Default: 0. */
    readonly requestDelay?: number;
    /** True if the answers of exchanges state when they were sent. Default: true. */
    readonly statesTime?: boolean;
}

interface Outcome {
    /** Time at which the set was complete; undefined if it was not. */
    readonly completedAt: number | undefined;
    readonly liveWaits: readonly { readonly sentAt: number; readonly wait: number; }[];
    readonly abandoned: readonly string[];
    readonly requested: number;
}

/** Plays the decisions of one agent against its link, which delivers bytes in order, in steps of 1 ms. */
function play({ holderDelay = 0, rateAt, requestDelay = 0, silent = new Set(), statesTime = true }: Plan): Outcome {
    const window = createTransferWindow();
    const random = createSeededRandom(1);
    const options = resolveDistributionOptions({ stallAfter: 1_500, avoidSourceFor: 1_500 });
    const manifest: Manifest = {
        model: "scribe",
        adapter: "",
        version: "v2",
        totalBytes: chunkCount * chunkBytes,
        chunks: new Array<Manifest["chunks"][number]>(chunkCount).fill({ bytes: chunkBytes, digest: "" }),
    };
    const held = createBitfield(chunkCount);
    const transfers = createTable<number, TransferRow>();
    const peers = createTable<string, PeerRow>();
    for (const instance of holders) {
        const bitfield = createBitfield(chunkCount).fill(255);
        const times = { heardAt: 0, progressedAt: 0, avoidedUntil: 0, chokedUntil: 0 };
        const counts = { sentBytes: 0, corruptChunks: 0, failedTransfers: 0 };
        peers.set(instance, { instance, zone: "", bitfield, ...times, ...counts });
    }
    const queue: { bytes: number; readonly deliver: () => void; }[] = [];
    const scheduled: { readonly at: number; readonly run: () => void; }[] = [];
    const liveWaits: { sentAt: number; wait: number; }[] = [];
    const abandoned: string[] = [];
    let requested = 0;
    let completedAt: number | undefined;
    let credit = 0;
    let now = 0;

    function schedule(delay: number, run: () => void): void {
        scheduled.push({ at: now + delay, run });
    }

    function send(bytes: number, deliver: () => void): void {
        schedule(roundTripMilliseconds, () => queue.push({ bytes, deliver }));
    }

    function request(index: number, source: string): void {
        requested++;
        const turnAtBytes = window.recordRequest(transfers.size * chunkBytes, now);
        const row: TransferRow = { index, source, startedAt: now, progressedAt: now, turnAtBytes };
        transfers.set(index, row);
        if (silent.has(source)) {
            return;
        }
        const deliver = (isLast: boolean) => {
            if (transfers.get(index) !== row) {
                return;
            }
            row.progressedAt = now;
            window.recordArrival(partBytes, now);
            if (isLast) {
                transfers.delete(index);
                addChunk(held, index);
                decide();
            }
        };
        schedule(holderDelay, () => {
            send(partBytes, () => {
                deliver(false);
            });
            send(partBytes, () => {
                deliver(true);
            });
        });
    }

    function decide(): void {
        const { availableBytes } = window.read({
            chunkBytes,
            requestedBytes: transfers.size * chunkBytes,
            maximumBytes: options.maximumTransfers * chunkBytes,
            now,
        });
        const commands = selectTransfers({
            manifest,
            held,
            transfers,
            peers,
            originReaders: createOriginReaders("aa", chunkCount, holders, "self"),
            zone: "",
            zoneReaders: createOriginReaders("aa", chunkCount, [], "self"),
            availableSince: new Map(),
            startedAt: 0,
            neighboursAnswered: true,
            objective: "origin-bytes",
            budgetBytes: availableBytes,
            arrivedBytes: window.arrivedBytes,
            arrivedAt: window.arrivedAt,
            originAvoidedUntil: Infinity,
            now,
            random,
            options,
        });
        for (const command of commands) {
            if (command.kind === "abandon") {
                transfers.delete(command.index);
                window.recordAbandonment(command.source, chunkBytes, now);
                recordStall(peers.get(command.source)!, now, options);
                abandoned.push(command.source);
            }
            if (command.kind === "fetch-from-peer") {
                request(command.index, command.peer);
            }
        }
    }

    function exchange(holder: string): void {
        const endProbe = window.startProbe(holder, now);
        schedule(requestDelay * random.next(), () => {
            const sentAt = statesTime ? now + clockDifferenceMilliseconds : undefined;
            send(messageBytes, () => {
                endProbe({ sentAt }, now);
            });
        });
        schedule(exchangeIntervalMilliseconds * (0.75 + random.next() / 2), () => {
            exchange(holder);
        });
    }

    function sendLiveRequest(): void {
        const sentAt = now;
        queue.push({ bytes: messageBytes, deliver: () => liveWaits.push({ sentAt, wait: now - sentAt }) });
        schedule(liveIntervalMilliseconds, sendLiveRequest);
    }

    function tick(): void {
        decide();
        schedule(tickIntervalMilliseconds, tick);
    }

    function deliverQueued(): void {
        credit = queue.length === 0 ? 0 : credit + rateAt(now) / 1_000;
        while (queue.length > 0 && queue[0]!.bytes <= credit) {
            const { bytes, deliver } = queue.shift()!;
            credit -= bytes;
            deliver();
        }
    }

    for (const holder of holders.slice(0, options.neighbours)) {
        schedule(random.next() * exchangeIntervalMilliseconds, () => {
            exchange(holder);
        });
    }
    sendLiveRequest();
    schedule(exchangeIntervalMilliseconds, tick);
    for (; now < playedMilliseconds && completedAt === undefined; now++) {
        const due = scheduled.filter(({ at }) => at <= now);
        for (const event of due) {
            scheduled.splice(scheduled.indexOf(event), 1);
            event.run();
        }
        deliverQueued();
        if (countChunks(held, chunkCount) === chunkCount) {
            completedAt = now;
        }
    }
    return { completedAt, liveWaits, abandoned, requested };
}

function readLongestWait({ liveWaits }: Outcome, from: number, to: number): number {
    return Math.max(...liveWaits.filter(({ sentAt }) => sentAt >= from && sentAt < to).map(({ wait }) => wait));
}

function computeTransferTime(bytes: number, bytesPerSecond: number): number {
    return bytes / bytesPerSecond * 1_000;
}

const wideCopyMilliseconds = computeTransferTime(chunkCount * chunkBytes, wideBytesPerSecond);
const narrowCopyMilliseconds = computeTransferTime(chunkCount * chunkBytes, narrowBytesPerSecond);
const narrowChunkMilliseconds = computeTransferTime(chunkBytes, narrowBytesPerSecond);

describe("window of bytes requested in advance", () => {
    // Guards against live requests that wait for seconds behind chunks on a link that is narrower than stated.
    for (const statesTime of [true, false]) {
        const exchanges = statesTime ? "with" : "without";
        it(`keeps the queue of a link that is narrow from the start short, ${exchanges} the time of answers`, () => {
            const outcome = play({ rateAt: () => narrowBytesPerSecond, statesTime });
            const limit = queueDelayTarget + 2 * narrowChunkMilliseconds;
            expect(readLongestWait(outcome, 0, playedMilliseconds) <= limit).toEqual(true);
            expect(outcome.completedAt! <= 1.25 * narrowCopyMilliseconds).toEqual(true);
            expect(outcome.abandoned).toEqual([]);
        });
    }

    // Guards against a queue that stays as long in bytes when the link becomes narrow, and against repeated requests.
    it("shortens the queue of a link that becomes narrow, and uses the link again once it is wide", () => {
        const narrowFrom = 1_200;
        const narrowUntil = 7_200;
        const outcome = play({
            rateAt: now => now >= narrowFrom && now < narrowUntil ? narrowBytesPerSecond : wideBytesPerSecond,
        });
        const wideChunkMilliseconds = computeTransferTime(chunkBytes, wideBytesPerSecond);
        const wideLimit = 2 * queueDelayTarget + wideChunkMilliseconds;
        expect(readLongestWait(outcome, 0, narrowFrom - wideLimit) <= wideLimit).toEqual(true);
        // What is on its way when the link becomes narrow takes so much longer.
        const slowdown = wideBytesPerSecond / narrowBytesPerSecond;
        expect(readLongestWait(outcome, 0, narrowUntil) <= slowdown * wideLimit).toEqual(true);
        const drainedAt = narrowFrom + slowdown * wideLimit;
        const limit = queueDelayTarget + narrowChunkMilliseconds;
        expect(readLongestWait(outcome, drainedAt, narrowUntil) <= limit).toEqual(true);
        expect(outcome.requested).toEqual(chunkCount);
        expect(outcome.abandoned).toEqual([]);
        const restBytes = chunkCount * chunkBytes - narrowFrom * wideBytesPerSecond / 1_000;
        const narrowBytes = (narrowUntil - narrowFrom) * narrowBytesPerSecond / 1_000;
        const shortest = narrowUntil + Math.max(0, computeTransferTime(restBytes - narrowBytes, wideBytesPerSecond));
        expect(outcome.completedAt! <= 1.25 * shortest).toEqual(true);
    });

    // Guards against a window that leaves a wide link idle, also because requests wait on the links of holders.
    const delays = [
        ["answer at once", 0, 0],
        ["take 200 ms before they answer", 200, 0],
        ["are behind congested links", 150, 300],
    ] as const;
    for (const [name, holderDelay, requestDelay] of delays) {
        it(`does not slow transfers on a wide link when holders ${name}`, () => {
            const outcome = play({ rateAt: () => wideBytesPerSecond, holderDelay, requestDelay });
            const startMilliseconds = exchangeIntervalMilliseconds + 5 * holderDelay;
            expect(outcome.completedAt! <= startMilliseconds + 1.1 * wideCopyMilliseconds).toEqual(true);
        });
    }

    // Guards against delays compared across a restart of the source, whose clock starts again.
    for (const change of [-1e6, 1e6]) {
        it(`grows after the clock of a source has changed by ${change} ms`, () => {
            const window = createTransferWindow();
            const input = { chunkBytes, requestedBytes: 12 * chunkBytes, maximumBytes: 12 * chunkBytes };
            window.read({ ...input, requestedBytes: 0, now: 0 });
            for (let now = 0; now < 2_000; now += 50) {
                const offset = now < 300 ? 0 : change;
                window.startProbe("a", now)({ sentAt: now + 1 + offset }, now + 2);
                expect(window.read({ ...input, now: now + 2 }).reducedToBytes).toEqual(undefined);
            }
            expect(window.read({ ...input, requestedBytes: 1, now: 2_000 }).availableBytes).toEqual(11 * chunkBytes);
        });
    }

    // Guards against silent holders that are waited for, or whose share of the window is never returned.
    it("completes beside holders that never answer", () => {
        const silent = new Set(holders.slice(0, 4));
        const outcome = play({ rateAt: () => wideBytesPerSecond, silent });
        expect(outcome.abandoned.every(source => silent.has(source))).toEqual(true);
        expect(outcome.completedAt! <= 4 * wideCopyMilliseconds).toEqual(true);
    });

    // Guards against requests that take the place of abandoned ones whose bytes are still on their way.
    it("counts the bytes of abandoned transfers until their source answers a later request", () => {
        const window = createTransferWindow();
        const readChunks = (now: number, requested: number) =>
            window.read({
                chunkBytes,
                requestedBytes: requested * chunkBytes,
                maximumBytes: 12 * chunkBytes,
                now,
            }).availableBytes / chunkBytes;
        expect(readChunks(0, 0)).toEqual(2);
        window.startProbe("a", 0)({ sentAt: undefined }, 1);
        const endEarlierProbe = window.startProbe("a", 5);
        window.recordAbandonment("a", chunkBytes, 10);
        expect(readChunks(10, 1)).toEqual(0);
        endEarlierProbe({ sentAt: undefined }, 20);
        expect(readChunks(20, 1)).toEqual(0);
        window.startProbe("a", 30)({ sentAt: undefined }, 31);
        expect(readChunks(31, 1)).toEqual(1);
        window.recordAbandonment("b", 5 * chunkBytes, 40);
        expect(readChunks(40, 0)).toEqual(1);
        expect(readChunks(40, 1)).toEqual(0);
        expect(readChunks(3_040, 1) > 0).toEqual(true);
    });
});
