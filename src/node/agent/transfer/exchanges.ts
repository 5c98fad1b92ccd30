import { create } from "@bufbuild/protobuf";
import type { handleBidiStreamingCall, handleUnaryCall } from "@grpc/grpc-js";
import {
    type AvailabilityRequest,
    type AvailabilityResponse,
    AvailabilityResponseSchema,
} from "../../../generated/goldcrestpoint_pb.js";
import {
    decodeBitfield,
    isComplete,
    recordAvailability,
    selectWatchedReaders,
} from "../../../runtime/distribution/index.js";
import type { InstanceId, Milliseconds } from "../../../types/index.js";
import { findAddress, type TransferContext } from "./context.js";
import type { ManifestExchange } from "./manifests.js";
import { findPeer, type WeightSetState } from "./weightSetState.js";

/** Multiple of the exchange interval for peers that are only queried for the amount that they have sent. */
const askBackIntervalFactor = 4;

/**
 * Exchanges bitfields with the instances for which an exchange is due.
 *
 * @param context - context of the service
 * @param set - the target
 */
export function runExchanges(context: TransferContext, set: WeightSetState): void {
    const now = context.clock.monotonic();
    const { exchangeInterval, exchangeWhenComplete } = context.settings;
    const chunks = set.manifest?.chunks.length ?? 0;
    if (!exchangeWhenComplete && chunks > 0 && isComplete(set.held, chunks)) {
        return;
    }
    const intervals = new Map<InstanceId, number>();
    for (const instance of set.peers.keys()) {
        intervals.set(instance, exchangeInterval * askBackIntervalFactor);
    }
    for (const instance of [...set.neighbours, ...listWatchedReaders(context, set)]) {
        intervals.set(instance, exchangeInterval);
    }
    for (const [instance, interval] of intervals) {
        if (now < (set.exchangeAt.get(instance) ?? 0)) {
            continue;
        }
        set.exchangeAt.set(instance, now + interval * (0.75 + context.random.next() / 2));
        context.track(exchange(context, set, instance));
    }
}

/** Reads a time that another process states; undefined if it is no finite number. */
function readFinite(time: Milliseconds | undefined): Milliseconds | undefined {
    return Number.isFinite(time) ? time : undefined;
}

function listWatchedReaders(context: TransferContext, set: WeightSetState): InstanceId[] {
    if (set.manifest === undefined || !set.neighbours.every(neighbour => set.neighboursAnswered.has(neighbour))) {
        return [];
    }
    return selectWatchedReaders({
        chunks: set.manifest.chunks.length,
        held: set.held,
        peers: set.peers,
        originReaders: set.originReaders,
        startedAt: set.startedAt,
        now: context.clock.monotonic(),
        random: context.random,
        options: context.options,
    });
}

async function exchange(context: TransferContext, set: WeightSetState, instance: InstanceId): Promise<void> {
    const address = findAddress(set, instance);
    const peer = findPeer(set, instance, context.clock.monotonic());
    if (address === undefined || peer === undefined) {
        return;
    }
    const request = { instance: context.self, manifestDigest: set.manifestDigest, bitfield: set.held };
    const endProbe = context.window.startProbe(instance, context.clock.monotonic());
    const answer = await context.calls.exchange(address, request, context.settings.exchangeTimeLimit);
    const now = context.clock.monotonic();
    endProbe(answer.isOk ? { sentAt: readFinite(answer.value.sentAtMilliseconds) } : undefined, now);
    set.neighboursAnswered.add(instance);
    if (answer.isErr && context.window.isCongested) {
        // The answer may be waiting on this instance's link.
        return;
    }
    if (answer.isErr) {
        peer.avoidedUntil = Math.max(peer.avoidedUntil, now + context.settings.exchangeTimeLimit);
        return;
    }
    if (answer.value.holdsSet) {
        const bitfield = decodeBitfield(answer.value.bitfield, set.manifest?.chunks.length ?? 0);
        recordAvailability(peer, bitfield, Number(answer.value.sentBytes), now);
    }
    context.requestTransfers();
}

/** Handlers of the exchanges that other agents start. */
export interface ExchangeHandlers {
    readonly exchangeAvailability: handleUnaryCall<AvailabilityRequest, AvailabilityResponse>;
    readonly streamAvailability: handleBidiStreamingCall<AvailabilityRequest, AvailabilityResponse>;
}

/**
 * Creates the handlers of `ExchangeAvailability` and `StreamAvailability`.
 *
 * @param context - context of the service
 * @param manifests - manifests, which are sent to requesters that lack them
 * @returns handlers that record the requester's bitfield and answer with this agent's
 */
export function createExchangeHandlers(context: TransferContext, manifests: ManifestExchange): ExchangeHandlers {
    function answer(request: AvailabilityRequest): AvailabilityResponse {
        const { bitfield, instance, manifest, manifestDigest, wantsManifest } = request;
        const forwardsManifests = context.options.manifestReaders > 0;
        const set = context.sets.get(manifestDigest);
        const now = context.clock.monotonic();
        if (set === undefined) {
            return create(AvailabilityResponseSchema, {
                holdsSet: false,
                sentAtMilliseconds: now,
                forwardsManifests,
            });
        }
        const peer = instance === context.self ? undefined : findPeer(set, instance, now);
        if (peer !== undefined && manifest !== undefined) {
            manifests.receive(set, instance, manifest);
        }
        if (peer !== undefined) {
            const chunks = set.manifest?.chunks.length ?? 0;
            recordAvailability(peer, decodeBitfield(bitfield, chunks), peer.sentBytes, now);
            context.requestTransfers();
        }
        return create(AvailabilityResponseSchema, {
            bitfield: set.held,
            sentBytes: BigInt(set.sentBytes),
            holdsSet: true,
            sentAtMilliseconds: now,
            forwardsManifests,
            manifest: wantsManifest === true ? manifests.answer(set, instance) : undefined,
        });
    }

    return {
        exchangeAvailability: ({ request }, callback) => callback(undefined as never, answer(request)),
        streamAvailability: call => {
            const end = (): void => void call.end();
            context.signal.addEventListener("abort", end, { once: true });
            call.on("data", (request: AvailabilityRequest) => {
                if (!call.write(answer(request))) {
                    call.pause();
                    call.once("drain", () => call.resume());
                }
            });
            call.on("end", end);
            call.on("error", () => {});
            call.once("close", () => context.signal.removeEventListener("abort", end));
            call.once("cancelled", () => context.signal.removeEventListener("abort", end));
        },
    };
}
