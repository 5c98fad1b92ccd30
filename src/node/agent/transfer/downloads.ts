import type { ChunkPart } from "../../../generated/goldcrestpoint_pb.js";
import {
    addChunk,
    decodeBitfield,
    type OriginFailureKind,
    originSource,
    recordAvailability,
    recordCorruptChunk,
    recordFailedTransfer,
    recordStall,
    removeChunk,
    selectTransfers,
    type TransferCommand,
    type TransferRow,
    verifyChunk,
} from "../../../runtime/distribution/index.js";
import { type GoldcrestpointError, isConnectionRefused, type Manifest } from "../../../types/index.js";
import { computeBackoff, computeBackoffAtOrigin, findAddress, type TransferContext } from "./context.js";
import { countRequestedBytes, readAvailableBytes, recordUnreceivedBytes } from "./requestedBytes.js";
import { logCompletion, logFirstChunk } from "./transferStages.js";
import { recordFirstAvailability, type WeightSetState } from "./weightSetState.js";

type CommandOf<Kind extends TransferCommand["kind"]> = Extract<TransferCommand, { kind: Kind; }>;

/** Transfer in progress with its set and the signal that aborts it. */
interface RunningTransfer {
    readonly set: WeightSetState;
    readonly manifest: Manifest;
    readonly row: TransferRow;
    readonly signal: AbortSignal;
}

/**
 * Starts the transfers that are due and abandons stalled ones.
 *
 * @param context - context of the service
 * @param set - target, which the engine has prepared
 * @param manifest - manifest of the set
 */
export function runTransfers(context: TransferContext, set: WeightSetState, manifest: Manifest): void {
    const now = context.clock.monotonic();
    recordFirstAvailability(set, now);
    const commands = selectTransfers({
        manifest,
        held: set.held,
        transfers: set.transfers,
        peers: set.peers,
        originReaders: set.originReaders,
        zone: context.zone,
        zoneReaders: set.zoneReaders,
        availableSince: set.availableSince,
        startedAt: set.startedAt,
        neighboursAnswered: set.neighbours.every(neighbour => set.neighboursAnswered.has(neighbour)),
        objective: set.target.objective,
        budgetBytes: readAvailableBytes(context, set, manifest, now),
        arrivedBytes: context.window.arrivedBytes,
        arrivedAt: context.window.arrivedAt,
        originAvoidedUntil: set.originAvoidedUntil,
        originRefusedAt: set.originRefusedAt,
        now,
        random: context.random,
        options: context.options,
    });
    for (const command of commands) {
        execute(context, set, manifest, command);
    }
}

function execute(context: TransferContext, set: WeightSetState, manifest: Manifest, command: TransferCommand): void {
    switch (command.kind) {
        case "abandon":
            recordUnreceivedBytes(context, manifest, command);
            abandon(context, set, command);
            break;
        case "fetch-from-origin":
            start(context, set, manifest, command.index, originSource, transfer => {
                context.logEvent({ index: command.index, reason: command.reason }, "origin read started", set);
                return fetchFromOrigin(context, transfer);
            });
            break;
        case "fetch-from-peer":
            start(context, set, manifest, command.index, command.peer, transfer => {
                return fetchFromPeer(context, transfer, command);
            });
            break;
    }
}

function abandon(context: TransferContext, set: WeightSetState, command: CommandOf<"abandon">): void {
    const { index, reason, source } = command;
    set.controllers.get(index)?.abort();
    set.controllers.delete(index);
    set.transfers.delete(index);
    const now = context.clock.monotonic();
    const peer = set.peers.get(source);
    if (peer !== undefined) {
        recordStall(peer, now, context.options);
    }
    if (source === originSource) {
        avoidOrigin(context, set, "other");
    }
    context.logEvent({ index, source, reason }, "stalled source", set);
}

function start(
    context: TransferContext,
    set: WeightSetState,
    manifest: Manifest,
    index: number,
    source: string,
    run: (transfer: RunningTransfer) => Promise<void>,
): void {
    const startedAt = context.clock.monotonic();
    const turnAtBytes = context.window.recordRequest(countRequestedBytes(set, manifest), startedAt);
    const row: TransferRow = { index, source, startedAt, progressedAt: startedAt, turnAtBytes };
    const controller = new AbortController();
    set.transfers.set(index, row);
    set.controllers.set(index, controller);
    const transfer = { set, manifest, row, signal: controller.signal };
    context.track(
        run(transfer).finally(() => {
            if (set.transfers.get(index) === row) {
                set.transfers.delete(index);
                set.controllers.delete(index);
            }
            context.requestTransfers();
        }),
    );
}

async function fetchFromOrigin(context: TransferContext, transfer: RunningTransfer): Promise<void> {
    const { manifest, row, signal } = transfer;
    const { bytes } = manifest.chunks[row.index]!;
    const release = await awaitLocalResource(context, row, context.incomingSemaphore.acquire(bytes, signal));
    if (release === undefined) {
        return;
    }
    try {
        await readFromOrigin(context, transfer);
    }
    finally {
        release();
    }
}

async function readFromOrigin(context: TransferContext, transfer: RunningTransfer): Promise<void> {
    const { row, set, signal } = transfer;
    const content = await context.origin.readChunk(set.manifestDigest, row.index, signal);
    if (content.isErr) {
        recordOriginFailure(context, set, content.error);
        return;
    }
    context.counters.originBytes += content.value.length;
    context.window.recordArrival(content.value.length, context.clock.monotonic());
    if (!await awaitLocalResource(context, row, takeFromLinkBudget(context, content.value.length, signal))) {
        return;
    }
    set.originFailures = 0;
    await acceptChunk(context, transfer, content.value);
}

/**
 * Waits for this instance's memory, link or engine; the transfer does not count as stalled meanwhile. Otherwise, a
 * chunk that has arrived would be requested again, and its source would be avoided although it is not at fault.
 */
async function awaitLocalResource<Value>(
    context: TransferContext,
    row: TransferRow,
    wait: Promise<Value>,
): Promise<Value> {
    row.progressedAt = Infinity;
    const value = await wait;
    row.progressedAt = context.clock.monotonic();
    return value;
}

/** Takes a chunk's bytes in parts: taken at once, they would block live requests and other transfers for too long. */
async function takeFromLinkBudget(context: TransferContext, bytes: number, signal: AbortSignal): Promise<boolean> {
    const { partBytes } = context.settings;
    for (let offset = 0; offset < bytes; offset += partBytes) {
        if (!await context.linkBudget.take("incoming", Math.min(partBytes, bytes - offset), signal)) {
            return false;
        }
    }
    return true;
}

function avoidOrigin(context: TransferContext, set: WeightSetState, kind: OriginFailureKind): void {
    const now = context.clock.monotonic();
    set.originFailures++;
    set.originAvoidedUntil = now + computeBackoffAtOrigin(context, set, set.originFailures, kind);
    set.originRefusedAt = kind === "refused" ? now : undefined;
}

function recordOriginFailure(context: TransferContext, set: WeightSetState, error: GoldcrestpointError): void {
    avoidOrigin(context, set, isConnectionRefused(error) ? "refused" : "other");
    const { code, message, peer, step } = error;
    context.logEvent({ code, step, peer, detail: message }, "origin read failed", set);
}

async function fetchFromPeer(
    context: TransferContext,
    transfer: RunningTransfer,
    command: CommandOf<"fetch-from-peer">,
): Promise<void> {
    const { manifest, row, set, signal } = transfer;
    const address = findAddress(set, command.peer);
    if (address === undefined) {
        return;
    }
    const expectedBytes = manifest.chunks[row.index]!.bytes;
    let content: Buffer | undefined;
    let release: (() => void) | undefined;
    let receivedBytes = 0;
    const request = {
        instance: context.self,
        manifestDigest: set.manifestDigest,
        index: row.index,
        lastResort: command.lastResort,
        bitfield: set.held,
    };
    const receive = async ({ bitfield, data: part, sentBytes }: ChunkPart) => {
        const peer = set.peers.get(row.source);
        if (peer !== undefined && bitfield.length > 0) {
            const held = decodeBitfield(bitfield, manifest.chunks.length);
            recordAvailability(peer, held, Number(sentBytes), context.clock.monotonic());
        }
        if (part.length === 0) {
            return;
        }
        context.window.recordArrival(part.length, context.clock.monotonic());
        // Memory is acquired only when the first part arrives, since the sender may queue the request.
        release ??= await awaitLocalResource(context, row, context.incomingSemaphore.acquire(expectedBytes, signal));
        if (release === undefined) {
            return;
        }
        content ??= Buffer.allocUnsafe(expectedBytes);
        if (receivedBytes + part.length <= expectedBytes) {
            content.set(part, receivedBytes);
        }
        receivedBytes += part.length;
        context.counters.peerReceivedBytes += part.length;
        await awaitLocalResource(context, row, context.linkBudget.take("incoming", part.length, signal));
    };
    try {
        const outcome = await context.calls.fetch(address, request, signal, receive);
        if (signal.aborted) {
            return;
        }
        if (outcome.isErr) {
            recordPeerFailure(context, set, row, outcome.error);
            return;
        }
        const isWhole = content !== undefined && receivedBytes === expectedBytes;
        await acceptChunk(context, transfer, isWhole ? content! : new Uint8Array());
    }
    finally {
        release?.();
    }
}

function recordPeerFailure(
    context: TransferContext,
    set: WeightSetState,
    row: TransferRow,
    error: GoldcrestpointError,
): void {
    const peer = set.peers.get(row.source);
    if (peer === undefined) {
        return;
    }
    const now = context.clock.monotonic();
    if (error.code === "CHUNK_REFUSED" && error.message === "choked") {
        peer.chokedUntil = now + context.settings.retryChokedAfter * (1 + context.random.next());
        return;
    }
    // The peer may have lost the chunk or stopped; an immediate exchange shows which.
    removeChunk(peer.bitfield, row.index);
    set.exchangeAt.set(row.source, now);
    peer.chokedUntil = now + computeBackoff(context, 1);
    recordFailedTransfer(peer, now, context.options);
    const { code, message } = error;
    context.logEvent({ index: row.index, source: row.source, code, detail: message }, "transfer failed", set);
}

/** Verifies and stages a chunk. It counts as held once it is staged, unless target or engine have changed meanwhile. */
async function acceptChunk(context: TransferContext, transfer: RunningTransfer, content: Uint8Array): Promise<void> {
    const { manifest, row, set, signal } = transfer;
    if (signal.aborted || !context.isTarget(set)) {
        return;
    }
    if (!verifyChunk(manifest, row.index, content)) {
        rejectChunk(context, set, row, content);
        return;
    }
    const peer = set.peers.get(row.source);
    if (peer !== undefined) {
        peer.failedTransfers = 0;
        peer.stalledTransfers = 0;
    }
    const { generation } = set;
    const staged = await awaitLocalResource(
        context,
        row,
        context.backend.stageChunk(set.manifestDigest, row.index, content),
    );
    if (staged.isErr) {
        context.logEvent({ index: row.index, code: staged.error.code }, "chunk not staged", set);
        set.prepared = false;
        return;
    }
    if (set.generation !== generation || !context.isTarget(set)) {
        return;
    }
    addChunk(set.held, row.index);
    logFirstChunk(context, set, row);
    logCompletion(context, set, manifest);
}

function rejectChunk(
    context: TransferContext,
    set: WeightSetState,
    row: TransferRow,
    content: Uint8Array,
): void {
    const now = context.clock.monotonic();
    const peer = set.peers.get(row.source);
    const avoided = peer !== undefined && recordCorruptChunk(peer, now, context.options);
    if (row.source === originSource) {
        avoidOrigin(context, set, "other");
    }
    context.logEvent({ index: row.index, source: row.source, avoided }, "corrupt chunk", set);
    context.recordMismatch(set, row.index, row.source, content);
}
