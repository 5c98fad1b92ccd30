import { create } from "@bufbuild/protobuf";
import { type ManifestContent, ManifestContentSchema } from "../../../generated/goldcrestpoint_pb.js";
import {
    computeManifestDigest,
    computeManifestReadDelay,
    decodeBitfield,
    decodeManifestChunks,
    encodeManifestChunks,
    isManifestContradicted,
    recordAvailability,
    verifyManifest,
} from "../../../runtime/distribution/index.js";
import { type GoldcrestpointError, type InstanceId, isConnectionRefused, type Manifest } from "../../../types/index.js";
import { computeDigest } from "../../../utils/index.js";
import { computeBackoff, computeBackoffAtOrigin, findAddress, type TransferContext } from "./context.js";
import { createManifestRows, type ManifestOrigin, type ManifestRow, readManifestRank } from "./manifestRows.js";
import { endStage } from "./transferStages.js";
import { applyManifest, findPeer, removeManifest, type WeightSetState } from "./weightSetState.js";

/** Instances that are sent a manifest when it arrives; the others ask again. */
const maximumWaitingPeers = 32;

/** Copies of one chunk that are kept to judge the manifest. */
const maximumMismatchesPerChunk = 8;

function createKey(manifest: Manifest, reader: InstanceId): string {
    return `${computeManifestDigest(manifest)}/${reader}`;
}

/** Obtains the manifests of sets from the origin and from other agents, and forwards them. */
export interface ManifestExchange {
    /**
     * Starts the requests and reads that are due while the manifest of the target is missing.
     *
     * @param set - the target
     */
    run(set: WeightSetState): void;
    /**
     * Restarts the wait for the manifest of a set that has become the target.
     *
     * @param set - the set
     */
    begin(set: WeightSetState): void;
    /**
     * Ends a read in progress, since the set is no longer the target.
     *
     * @param set - the set
     */
    abandon(set: WeightSetState): void;
    /**
     * Takes in a manifest that a member sent. It is ignored if the set has one, or if chunks have contradicted it.
     *
     * @param set - the set
     * @param peer - member that sent it
     * @param content - sizes and digests of the chunks
     */
    receive(set: WeightSetState, peer: InstanceId, content: ManifestContent): void;
    /**
     * Answers a member that lacks the manifest; if this agent lacks it too, the member is sent it when it arrives.
     *
     * @param set - the set
     * @param peer - member that asks
     * @returns the manifest for the answer; undefined if there is none
     */
    answer(set: WeightSetState, peer: InstanceId): ManifestContent | undefined;
    /**
     * Records a chunk that did not match the manifest, and drops the manifest once its chunks contradict it.
     *
     * @param set - the set
     * @param index - position of the chunk
     * @param source - instance, or `origin`
     * @param content - bytes that were received; empty if the chunk was not received whole
     */
    recordMismatch(set: WeightSetState, index: number, source: string, content: Uint8Array): void;
}

/**
 * Creates the exchange of manifests. A few members, chosen by rendezvous hash, read it from the origin; all others get it
 * from their neighbours, and read it themselves only when it does not arrive.
 *
 * @param context - context of the service
 * @param requestEngineRead - called when a manifest has been applied, so that staged chunks are compared with it
 * @returns the exchange
 */
export function createManifestExchange(context: TransferContext, requestEngineRead: () => void): ManifestExchange {
    const { find: findRow } = createManifestRows(context);
    const forwards = context.options.manifestReaders > 0;

    function mayReadOrigin(set: WeightSetState, row: ManifestRow): boolean {
        const now = context.clock.monotonic();
        if (row.reading !== undefined || now < row.retryAt) {
            return false;
        }
        // Without a neighbour that forwards manifests, nothing is to be waited for.
        const canReceive = forwards && set.neighbours.some(neighbour => !row.olderMembers.has(neighbour));
        return !canReceive ||
            now - row.waitsSince >=
                computeManifestReadDelay(readManifestRank(context, set, row), row.jitter, context.options);
    }

    function verify(set: WeightSetState, manifest: Manifest, peer: string) {
        return context.verifyManifest?.(manifest, set.manifestDigest) ??
            verifyManifest(manifest, set.manifestDigest, peer);
    }

    async function read(set: WeightSetState, row: ManifestRow, signal: AbortSignal): Promise<void> {
        const startedAt = context.clock.monotonic();
        const answer = await context.origin.readManifest(set.manifestDigest, signal);
        if (signal.aborted || set.manifest !== undefined) {
            return;
        }
        const manifest = answer.andThen(content => verify(set, content, "origin"));
        if (manifest.isErr) {
            recordFailure(set, row, manifest.error);
            return;
        }
        const now = context.clock.monotonic();
        context.logEvent(
            {
                rank: readManifestRank(context, set, row),
                readMilliseconds: Math.round(now - startedAt),
                sinceNamed: Math.round(now - set.startedAt),
            },
            "manifest read",
            set,
        );
        const key = createKey(manifest.value, context.self);
        apply(set, row, manifest.value, { peer: context.self, reader: context.self, key });
    }

    function recordFailure(set: WeightSetState, row: ManifestRow, error: GoldcrestpointError): void {
        row.failures++;
        const kind = isConnectionRefused(error) ? "refused" : "other";
        row.retryAt = context.clock.monotonic() + computeBackoffAtOrigin(context, set, row.failures, kind);
        const { code, message, peer, step } = error;
        context.logEvent({ code, step, peer, detail: message, attempt: row.failures }, "manifest read failed", set);
    }

    function apply(set: WeightSetState, row: ManifestRow, manifest: Manifest, origin: ManifestOrigin): void {
        row.origin = origin;
        row.reading?.abort();
        row.mismatches.clear();
        applyManifest(set, manifest, context.self, context.options);
        context.keepManifest?.(set.manifestDigest, manifest);
        // Bitfields that peers sent earlier could not be decoded without the manifest, so all peers are asked again.
        set.exchangeAt.clear();
        set.neighboursAnswered.clear();
        requestEngineRead();
        forward(set, row);
    }

    function encode(set: WeightSetState, row: ManifestRow): ManifestContent | undefined {
        const chunks = set.manifest === undefined ? undefined : encodeManifestChunks(set.manifest);
        return chunks === undefined || row.origin === undefined ?
            undefined :
            create(ManifestContentSchema, { ...chunks, reader: row.origin.reader });
    }

    /** Sends the manifest to those that asked for it; a copy that is lost is asked for again. */
    function forward(set: WeightSetState, row: ManifestRow): void {
        const manifest = encode(set, row);
        const addresses = [...row.waiting].map(instance => findAddress(set, instance));
        row.waiting.clear();
        if (manifest === undefined) {
            return;
        }
        const request = { instance: context.self, manifestDigest: set.manifestDigest, bitfield: set.held, manifest };
        for (const address of addresses.filter(known => known !== undefined)) {
            context.track(
                context.calls.exchange(address, request, context.settings.exchangeTimeLimit).then(() => undefined),
            );
        }
    }

    async function ask(set: WeightSetState, row: ManifestRow, instance: InstanceId, address: string): Promise<void> {
        const request = {
            instance: context.self,
            manifestDigest: set.manifestDigest,
            bitfield: set.held,
            wantsManifest: true,
        };
        row.askedNow.add(instance);
        const answer = await context.calls.exchange(address, request, context.settings.exchangeTimeLimit);
        row.askedNow.delete(instance);
        if (answer.isErr) {
            return;
        }
        const { bitfield, forwardsManifests, holdsSet, manifest, sentBytes } = answer.value;
        (forwardsManifests === true ? row.forwardingMembers : row.olderMembers).add(instance);
        if (manifest !== undefined) {
            receive(set, instance, manifest);
        }
        const now = context.clock.monotonic();
        const peer = findPeer(set, instance, now);
        if (set.manifest !== undefined && holdsSet && peer !== undefined) {
            const held = decodeBitfield(bitfield, set.manifest.chunks.length);
            recordAvailability(peer, held, Number(sentBytes), now);
            set.neighboursAnswered.add(instance);
            context.requestTransfers();
        }
    }

    function askNeighbours(set: WeightSetState, row: ManifestRow): void {
        const now = context.clock.monotonic();
        for (const instance of set.neighbours) {
            const address = findAddress(set, instance);
            const isDue = now >= (row.askAt.get(instance) ?? 0) && !row.askedNow.has(instance);
            if (address === undefined || !isDue || row.olderMembers.has(instance)) {
                continue;
            }
            row.askAt.set(
                instance,
                now + context.options.manifestExchangeInterval * (0.75 + context.random.next() / 2),
            );
            context.track(ask(set, row, instance, address));
        }
    }

    function receive(set: WeightSetState, peer: InstanceId, content: ManifestContent): void {
        const row = findRow(set);
        const isMember = set.target.members.some(({ instance }) => instance === peer);
        if (!forwards || set.manifest !== undefined || !isMember || context.signal.aborted) {
            return;
        }
        const decoded = decodeManifestChunks(set.target.weights, content);
        const key = decoded === undefined ? "" : createKey(decoded, content.reader);
        const isRejected = decoded === undefined || row.contradicted.has(key) ||
            verify(set, decoded, peer).isErr;
        const now = context.clock.monotonic();
        const fields = { peer, reader: content.reader };
        if (isRejected) {
            row.askAt.set(peer, now + computeBackoff(context, 1));
            context.logEvent(fields, "manifest from a peer rejected", set);
            return;
        }
        context.logEvent({ ...fields, ...endStage(set, now) }, "manifest received", set);
        apply(set, row, decoded, { peer, reader: content.reader, key });
    }

    function drop(set: WeightSetState, row: ManifestRow, origin: ManifestOrigin, index: number): void {
        const sources = row.mismatches.get(index)?.map(({ source }) => source);
        context.logEvent(
            { index, peer: origin.peer, reader: origin.reader, sources },
            "manifest contradicted by chunks",
            set,
        );
        row.contradicted.add(origin.key);
        row.origin = undefined;
        row.mismatches.clear();
        row.waitsSince = context.clock.monotonic();
        row.failures++;
        row.retryAt = row.waitsSince + (origin.peer === context.self ? computeBackoff(context, row.failures) : 0);
        removeManifest(set);
    }

    return {
        begin: set => {
            const row = findRow(set);
            row.waitsSince = context.clock.monotonic();
            row.failures = 0;
            row.retryAt = 0;
        },
        abandon: set => {
            findRow(set).reading?.abort();
        },
        run: set => {
            const row = findRow(set);
            if (forwards) {
                askNeighbours(set, row);
            }
            if (!mayReadOrigin(set, row)) {
                return;
            }
            const controller = new AbortController();
            const abort = () => controller.abort();
            row.reading = controller;
            context.signal.addEventListener("abort", abort, { once: true });
            context.track(
                read(set, row, controller.signal).finally(() => {
                    context.signal.removeEventListener("abort", abort);
                    row.reading = undefined;
                }),
            );
        },
        receive,
        answer: (set, peer) => {
            const row = findRow(set);
            if (!forwards) {
                return undefined;
            }
            if (set.manifest === undefined && row.waiting.size < maximumWaitingPeers) {
                row.waiting.add(peer);
            }
            return encode(set, row);
        },
        recordMismatch: (set, index, source, content) => {
            const row = findRow(set);
            // A manifest that is named by its digest cannot be wrong.
            if (!forwards || context.verifyManifest === undefined || row.origin === undefined) {
                return;
            }
            const digest = content.length === 0 ? undefined : computeDigest(content);
            const mismatches = [...row.mismatches.get(index) ?? [], { source, digest }]
                .slice(-maximumMismatchesPerChunk);
            row.mismatches.set(index, mismatches);
            // Read again with the same result, a manifest is kept: the chunks are wrong.
            if (!row.contradicted.has(row.origin.key) && isManifestContradicted(mismatches)) {
                drop(set, row, row.origin, index);
            }
        },
    };
}
