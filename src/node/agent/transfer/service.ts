import { setMaxListeners } from "node:events";
import {
    countChunks,
    createTransferWindow,
    isComplete,
    resolveDistributionOptions,
} from "../../../runtime/distribution/index.js";
import type { ManifestDigest, Milliseconds } from "../../../types/index.js";
import { createByteSemaphore } from "./byteSemaphore.js";
import type { TransferContext } from "./context.js";
import { runTransfers } from "./downloads.js";
import { createEngineSync } from "./engineSync.js";
import { createExchangeHandlers, runExchanges } from "./exchanges.js";
import { createManifestExchange } from "./manifests.js";
import { createPeerCalls } from "./peerCalls.js";
import { abandonTransfers } from "./requestedBytes.js";
import { resolveTransferSettings } from "./settings.js";
import type { TransferProgress, TransferService, TransferServiceInput, TransferTarget } from "./types.js";
import { createUploadHandler } from "./uploads.js";
import { createWeightSetState, updateMembers, type WeightSetState } from "./weightSetState.js";

/**
 * Share of the memory limit for chunks that are received; the rest is for chunks that are sent. Reads from the origin
 * are slow and hold their memory for long, while sending two chunks at a time is enough to keep the link busy.
 */
const incomingMemoryShare = 2 / 3;

/**
 * Time for which the bytes sent of a removed set still count against its upload allowance. Otherwise, a hold
 * that lapses for a few seconds would renew the allowance in the middle of a burst.
 */
const sentBytesRetentionMilliseconds = 600_000;

interface ForgottenSet {
    readonly sentBytes: number;
    readonly forgottenAt: Milliseconds;
}

/**
 * Creates the service that exchanges weights with the other agents of the same set.
 *
 * @param input - instance, ports, link budget, clock, random source and options
 * @returns the service; disposing of it abandons all transfers
 */
export function createTransferService(input: TransferServiceInput): TransferService {
    const disposal = new AbortController();
    // Each upload in progress adds a listener, so their number may exceed the default limit.
    setMaxListeners(0, disposal.signal);
    const workInProgress = new Set<Promise<void>>();
    const sets = new Map<ManifestDigest, WeightSetState>();
    const forgotten = new Map<ManifestDigest, ForgottenSet>();
    let target: WeightSetState | undefined;
    let tickRequested = false;
    let timer: NodeJS.Timeout | undefined;
    /** True while the next tick is as late as the next read of the engine's state, since nothing else is due. */
    let isResting = false;

    const options = resolveDistributionOptions(input.options);
    const context: TransferContext = {
        ...input,
        settings: resolveTransferSettings(input.options),
        options,
        window: createTransferWindow(),
        incomingSemaphore: createByteSemaphore(options.maximumBytesInFlight * incomingMemoryShare),
        calls: input.calls ?? createPeerCalls(),
        sets,
        signal: disposal.signal,
        counters: { originBytes: 0, peerReceivedBytes: 0, peerSentBytes: 0 },
        isTarget: set => set === target && !disposal.signal.aborted,
        track: promise => {
            workInProgress.add(promise);
            void promise.finally(() => workInProgress.delete(promise));
        },
        requestTransfers: () => {
            if (tickRequested || disposal.signal.aborted || (isResting && mayRest())) {
                return;
            }
            tickRequested = true;
            stopResting();
            setImmediate(() => {
                tickRequested = false;
                runTargetTransfers();
            });
        },
        recordMismatch: (set, index, source, content) => manifests.recordMismatch(set, index, source, content),
        logEvent: (fields, message, set) => {
            const { model, version } = set.target.weights;
            input.log?.info({ ...fields, model, version, manifestDigest: set.manifestDigest }, message);
        },
    };
    const engineSync = createEngineSync(context, dropInactiveSets);
    const manifests = createManifestExchange(context, () => engineSync.requestRead());

    function dropInactiveSets(): void {
        for (const [digest, set] of sets) {
            const isRetained = digest === engineSync.readActiveDigest() ||
                target?.target.retained?.has(digest) === true;
            if (set !== target && !isRetained) {
                sets.delete(digest);
                forgotten.set(digest, { sentBytes: set.sentBytes, forgottenAt: context.clock.monotonic() });
                context.logEvent({}, "set forgotten", set);
            }
        }
        closeUnneededConnections();
    }

    function closeUnneededConnections(): void {
        const addresses = [...sets.values()].flatMap(set => set.target.members.map(({ address }) => address));
        context.calls.keepOnly(new Set(addresses));
    }

    function recreateSet(wanted: TransferTarget): WeightSetState {
        const now = context.clock.monotonic();
        for (const [digest, { forgottenAt }] of forgotten) {
            if (now - forgottenAt >= sentBytesRetentionMilliseconds) {
                forgotten.delete(digest);
            }
        }
        const set = createWeightSetState(wanted, context.self, options, now);
        set.sentBytes = forgotten.get(set.manifestDigest)?.sentBytes ?? 0;
        return set;
    }

    function setTarget(wanted: TransferTarget | undefined): void {
        if (wanted !== undefined && wanted.weights.manifestDigest === target?.manifestDigest) {
            if (updateMembers(target, wanted, context.self, options)) {
                closeUnneededConnections();
            }
            return;
        }
        if (target !== undefined) {
            abandonTransfers(context, target);
            manifests.abandon(target);
        }
        target = undefined;
        if (wanted !== undefined) {
            const kept = sets.get(wanted.weights.manifestDigest);
            target = kept ?? recreateSet(wanted);
            updateMembers(target, wanted, context.self, options);
            sets.set(target.manifestDigest, target);
            if (target.manifest === undefined) {
                manifests.begin(target);
            }
        }
        dropInactiveSets();
        engineSync.requestRead();
        stopResting();
    }

    /** Tells whether nothing is to be exchanged, requested or prepared, so that only the engine's state is read. */
    function mayRest(): boolean {
        if (context.settings.exchangeWhenComplete || [...sets.values()].some(({ prepared }) => !prepared)) {
            return false;
        }
        const chunks = target?.manifest?.chunks.length ?? 0;
        return target === undefined ||
            (chunks > 0 && isComplete(target.held, chunks) && target.transfers.size === 0);
    }

    function scheduleTick(): void {
        if (!context.settings.selfScheduled || disposal.signal.aborted) {
            return;
        }
        const { tickInterval } = context.settings;
        isResting = mayRest();
        const untilRead = engineSync.readDueAt() - context.clock.monotonic();
        timer = setTimeout(() => {
            tick();
            scheduleTick();
        }, isResting ? Math.max(tickInterval, untilRead) : tickInterval);
    }

    function stopResting(): void {
        if (isResting) {
            clearTimeout(timer);
            scheduleTick();
        }
    }

    function tick(): void {
        if (disposal.signal.aborted) {
            return;
        }
        engineSync.run();
        if (target === undefined) {
            return;
        }
        if (target.manifest === undefined) {
            manifests.run(target);
            return;
        }
        runExchanges(context, target);
        runTargetTransfers();
    }

    function runTargetTransfers(): void {
        if (target?.manifest !== undefined && target.prepared && !disposal.signal.aborted) {
            runTransfers(context, target, target.manifest);
        }
    }

    function progress(): TransferProgress | undefined {
        if (target === undefined) {
            return undefined;
        }
        const { held, manifest, manifestDigest, prepared } = target;
        const chunksTotal = manifest?.chunks.length ?? 0;
        return {
            manifestDigest,
            chunksComplete: countChunks(held, chunksTotal),
            chunksTotal,
            complete: prepared && isComplete(held, chunksTotal),
        };
    }

    async function dispose(): Promise<void> {
        clearTimeout(timer);
        disposal.abort();
        for (const set of sets.values()) {
            abandonTransfers(context, set);
        }
        context.calls[Symbol.dispose]();
        await Promise.all(workInProgress);
    }

    const upload = createUploadHandler({
        findSet: digest => sets.get(digest),
        backend: input.backend,
        linkBudget: input.linkBudget,
        clock: input.clock,
        semaphore: createByteSemaphore(options.maximumBytesInFlight * (1 - incomingMemoryShare)),
        settings: context.settings,
        options,
        signal: disposal.signal,
        countSent: bytes => {
            context.counters.peerSentBytes += bytes;
        },
    });
    scheduleTick();
    return {
        ...createExchangeHandlers(context, manifests),
        fetchChunk: call => {
            context.track(upload(call));
        },
        setTarget,
        tick,
        progress,
        totals: () => ({ ...context.counters }),
        [Symbol.asyncDispose]: dispose,
    };
}
