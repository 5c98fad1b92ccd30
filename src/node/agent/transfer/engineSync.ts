import { addChunk, decodeBitfield, hasChunk, removeChunk, verifyChunk } from "../../../runtime/distribution/index.js";
import type { EngineState, ManifestDigest, Milliseconds, StagedSet } from "../../../types/index.js";
import { computeBackoff, type TransferContext } from "./context.js";
import { logCompletion } from "./transferStages.js";
import { resetHeldChunks, type WeightSetState } from "./weightSetState.js";

/** Synchronizes the bitfields of the sets with the chunks that are staged in the engine. */
export interface EngineSync {
    /** Reads the engine's state if a read is due. */
    run(): void;
    /** Makes the next `run` read the engine's state. */
    requestRead(): void;
    /** @returns monotonic time at which the next read is due */
    readDueAt(): Milliseconds;
    /** @returns digest of the active set at the last successful read; undefined if none was active */
    readActiveDigest(): ManifestDigest | undefined;
}

/**
 * Creates the synchronization with the engine's state.
 *
 * @param context - context of the service
 * @param dropInactive - called after each read, to remove sets that are neither target, active nor retained
 * @returns the synchronization
 */
export function createEngineSync(context: TransferContext, dropInactive: () => void): EngineSync {
    let nextReadAt: Milliseconds = 0;
    let isReading = false;
    let failures = 0;
    let incarnation: string | undefined;
    let activeDigest: ManifestDigest | undefined;

    async function read(): Promise<void> {
        const heldBefore = new Map([...context.sets.values()].map(set => [set, Uint8Array.from(set.held)]));
        const state = await context.backend.readState();
        if (state.isErr) {
            failures++;
            nextReadAt = context.clock.monotonic() + computeBackoff(context, failures);
            return;
        }
        failures = 0;
        activeDigest = state.value.active?.manifestDigest;
        if (incarnation !== state.value.incarnation) {
            incarnation = state.value.incarnation;
            for (const set of context.sets.values()) {
                resetHeldChunks(set);
            }
        }
        for (const [set, held] of heldBefore) {
            await compareWithStaged(set, held, state.value);
        }
        dropInactive();
        const unprepared = [...context.sets.values()].some(set => !set.prepared);
        const { engineReadInterval, engineReadIntervalUnprepared } = context.settings;
        nextReadAt = context.clock.monotonic() + (unprepared ? engineReadIntervalUnprepared : engineReadInterval);
        context.requestTransfers();
    }

    async function compareWithStaged(set: WeightSetState, heldBefore: Uint8Array, state: EngineState): Promise<void> {
        if (set.manifest === undefined) {
            return;
        }
        const staged = state.staged.find(({ manifestDigest }) => manifestDigest === set.manifestDigest);
        if (staged === undefined) {
            if (set.prepared) {
                resetHeldChunks(set);
            }
            set.prepared = !context.settings.waitForPreparedSet;
            return;
        }
        const chunks = set.manifest.chunks.length;
        const reported = decodeBitfield(staged.bitfield, chunks);
        for (let index = 0; index < chunks; index++) {
            // Only chunks held before the read are compared, since the answer may lack those staged during the read.
            if (hasChunk(heldBefore, index) && !hasChunk(reported, index)) {
                removeChunk(set.held, index);
                set.completeLogged = false;
            }
        }
        if (!set.prepared) {
            await verifyStaged(set, staged);
        }
    }

    /** Verifies chunks that were staged by an earlier agent process or before a failure; correct ones count as held. */
    async function verifyStaged(set: WeightSetState, staged: StagedSet): Promise<void> {
        const { generation, manifest } = set;
        if (manifest === undefined) {
            return;
        }
        const reported = decodeBitfield(staged.bitfield, manifest.chunks.length);
        for (let index = 0; index < manifest.chunks.length; index++) {
            if (!hasChunk(reported, index) || hasChunk(set.held, index)) {
                continue;
            }
            const content = await context.backend.readChunk(set.manifestDigest, index);
            if (set.generation !== generation || context.signal.aborted) {
                return;
            }
            if (content.isOk && verifyChunk(manifest, index, content.value)) {
                addChunk(set.held, index);
                continue;
            }
            context.logEvent({ index, source: "engine" }, "corrupt chunk", set);
        }
        set.prepared = true;
        logCompletion(context, set, manifest);
    }

    return {
        run: () => {
            if (isReading || context.sets.size === 0 || context.clock.monotonic() < nextReadAt) {
                return;
            }
            isReading = true;
            context.track(
                read().finally(() => {
                    isReading = false;
                }),
            );
        },
        requestRead: () => {
            nextReadAt = 0;
        },
        readDueAt: () => nextReadAt,
        readActiveDigest: () => activeDigest,
    };
}
