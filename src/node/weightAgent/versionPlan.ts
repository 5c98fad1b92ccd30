import type { Logger } from "pino";
import { verifyChunk } from "../../runtime/distribution/index.js";
import { formatWeightName, initialVersion, parseWeightName } from "../../runtime/gateway/index.js";
import {
    selectTarget,
    type TargetOptions,
    type VersionTransfer,
    type WantedVersion,
} from "../../runtime/rollout/index.js";
import type { Clock, EngineReport, Manifest, ManifestDigest, Milliseconds } from "../../types/index.js";
import type { TransferProgress } from "../agent/transfer/index.js";
import { readWeightSource, type WeightSource } from "../gateway/membership/weightSources.js";
import type { SetToStage } from "./earlyStager.js";
import type { EngineTarget } from "./engineController.js";
import type { FindChunkVersion } from "./stagedWrites.js";

/** Dependencies of {@link createVersionPlan}. */
export interface VersionPlanInput {
    readonly clock: Clock;
    readonly logger: Logger;
    readonly options: TargetOptions & {
        /** Assumed age of a version that was declared before this process started. */
        readonly assumedAge: Milliseconds;
    };
    readonly readReport: () => EngineReport | undefined;
    readonly readProgress: () => TransferProgress | undefined;
    readonly readChunk: (set: ManifestDigest, index: number) => Uint8Array | undefined;
}

/** Tracks the declared versions of the service's model and how much of them has been transferred. */
export interface VersionPlan {
    readonly readSource: () => WeightSource | undefined;
    /**
     * Updates the declared version and the origin of its chunks.
     *
     * @param value - record of the topic `weight-sources` for the service
     * @returns the source; undefined if the record cannot be read
     */
    updateSource(value: Uint8Array): WeightSource | undefined;
    /** Stores a confirmed manifest. */
    keepManifest(set: ManifestDigest, manifest: Manifest): void;
    /** @returns the confirmed manifest of a version; undefined if it is not known */
    readonly readManifest: (model: string, version: number) => Manifest | undefined;
    /** Finds the version whose chunk at an index has this content, among the versions whose manifests are known. */
    readonly findVersion: FindChunkVersion;
    /** Records the version of the current transfer as complete if all of its chunks are verified. */
    recordProgress(): void;
    /** @returns the version to transfer; undefined if none is declared */
    chooseVersion(): WantedVersion | undefined;
    /**
     * Reads the versions that the engine should load and the weights that are available for them.
     *
     * @param members - hosts of the backend servers that serve the service
     * @returns the target; undefined if no version is declared
     */
    readTarget(members: readonly string[]): EngineTarget | undefined;
    /**
     * @returns the set whose chunks may be staged now; undefined while the staging area holds another complete set that
     * the engine has not loaded yet
     */
    readSetToStage(): SetToStage | undefined;
    /** @returns the loaded set and complete sets that are not loaded yet, kept for this engine and for other agents */
    listRetained(): ReadonlySet<ManifestDigest>;
}

/**
 * Creates the version plan of an agent.
 *
 * @param input - engine, transfer and options
 * @returns the plan, without any declared version
 */
export function createVersionPlan(input: VersionPlanInput): VersionPlan {
    const { clock, logger, options, readProgress, readReport } = input;
    const manifests = new Map<ManifestDigest, Manifest>();
    /** Declared versions, newest first. */
    const wanted: WantedVersion[] = [];
    /** Monotonic time at which each version became complete, that is with every chunk verified and in memory. */
    const complete = new Map<number, Milliseconds>();
    let source: WeightSource | undefined;

    /** Reads the version that the engine has loaded; 0 for none. */
    function readLoaded(): number {
        const weights = readReport()?.weights;
        return weights?.complete === true ? weights.version : 0;
    }

    function chooseVersion(): WantedVersion | undefined {
        return wanted.length === 0 ?
            undefined :
            selectTarget({ wanted, held: Math.max(readLoaded(), ...complete.keys()), now: clock.monotonic(), options });
    }

    function readTransfer(newestComplete: number): VersionTransfer | undefined {
        const progress = readProgress();
        if (progress === undefined || progress.chunksTotal === 0) {
            return undefined;
        }
        const { version } = parseWeightName(progress.manifestDigest);
        const share = progress.chunksComplete / progress.chunksTotal;
        return version <= newestComplete ? undefined : { version, share };
    }

    return {
        readSource: () => source,
        updateSource: value => {
            const read = readWeightSource(value);
            if (read === undefined) {
                return undefined;
            }
            const isFirst = source === undefined;
            source = read;
            const version = read.version ?? initialVersion;
            if ((wanted[0]?.version ?? 0) < version) {
                wanted.unshift({ version, declaredAt: clock.monotonic() - (isFirst ? options.assumedAge : 0) });
                logger.info({ model: read.model, version, isFirst }, "version wanted");
            }
            return read;
        },
        keepManifest: (set, manifest) => {
            manifests.set(set, manifest);
        },
        readManifest: (model, version) => manifests.get(formatWeightName(model, version)),
        findVersion: (index, content) => {
            const manifest = [...manifests.values()].find(candidate =>
                index < candidate.chunks.length && verifyChunk(candidate, index, content)
            );
            return manifest === undefined ? undefined : Number(manifest.version);
        },
        recordProgress: () => {
            const progress = readProgress();
            const version = progress?.complete === true ? parseWeightName(progress.manifestDigest).version : undefined;
            if (version !== undefined && !complete.has(version)) {
                complete.set(version, clock.monotonic());
            }
        },
        chooseVersion,
        readTarget: members => {
            if (source === undefined || wanted.length === 0) {
                return undefined;
            }
            const newestComplete = Math.max(...complete.keys());
            return {
                model: source.model,
                wanted,
                complete: manifests.get(formatWeightName(source.model, newestComplete)),
                completedAt: complete.get(newestComplete),
                transfer: readTransfer(newestComplete),
                members,
                slots: source.slots,
            };
        },
        readSetToStage: () => {
            const target = chooseVersion();
            if (source === undefined || target === undefined || readReport() === undefined) {
                return undefined;
            }
            const loaded = readLoaded();
            const set = formatWeightName(source.model, target.version);
            const manifest = manifests.get(set);
            const isStagingAreaReserved = [...complete.keys()].some(version =>
                version > loaded && version !== target.version
            );
            return manifest === undefined || isStagingAreaReserved || target.version <= loaded ?
                undefined :
                { manifest, read: index => input.readChunk(set, index) };
        },
        listRetained: () => {
            const loaded = readLoaded();
            for (const version of [...complete.keys()]) {
                if (version < loaded) {
                    complete.delete(version);
                }
            }
            const model = source?.model ?? "";
            return new Set([loaded, ...complete.keys()].map(version => formatWeightName(model, version)));
        },
    };
}
