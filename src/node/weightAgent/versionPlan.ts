import type { Logger } from "pino";
import { initialVersion, nameWeights, splitWeights } from "../../runtime/gateway/index.js";
import {
    chooseTarget,
    type TargetOptions,
    type VersionTransfer,
    type WantedVersion,
} from "../../runtime/rollout/index.js";
import type { Clock, EngineReport, Manifest, ManifestDigest, Milliseconds } from "../../types/index.js";
import type { TransferProgress } from "../agent/transfer/index.js";
import { readWeightSource, type WeightSource } from "../gateway/weightSources.js";
import type { EngineTarget } from "./engineLoop.js";
import type { SetToStage } from "./stageAhead.js";

/** Dependencies of {@link createVersionPlan}. */
export interface VersionPlanInput {
    readonly clock: Clock;
    readonly logger: Logger;
    readonly options: TargetOptions & {
        /** Age that is assumed of a declaration that was there before this process. */
        readonly assumedAge: Milliseconds;
    };
    readonly readReport: () => EngineReport | undefined;
    readonly readProgress: () => TransferProgress | undefined;
    readonly readChunk: (set: ManifestDigest, index: number) => Uint8Array | undefined;
}

/** Versions that the engine of an agent is to hold, and how far each has come. */
export interface VersionPlan {
    readonly readSource: () => WeightSource | undefined;
    /**
     * Learns which version is declared, and where its chunks are.
     *
     * @param value - record of the service's weights
     * @returns the source; undefined if the record cannot be read
     */
    learnSource(value: Uint8Array): WeightSource | undefined;
    /** Keeps a manifest that was confirmed. */
    keepManifest(set: ManifestDigest, manifest: Manifest): void;
    /** Notes whether the transfer in progress is complete. */
    recordProgress(): void;
    /** @returns the version to transfer; undefined if none is declared */
    chooseVersion(): WantedVersion | undefined;
    /**
     * Reads what the engine is to hold.
     *
     * @param members - instances of the service's backend servers that serve
     * @returns the target; undefined if no version is declared
     */
    readTarget(members: readonly string[]): EngineTarget | undefined;
    /** @returns the set whose chunks may be staged now; undefined while a complete set keeps the stage */
    readSetToStage(): SetToStage | undefined;
    /** @returns the loaded set, and complete ones that are not loaded yet, for this engine and for other agents */
    listRetained(): ReadonlySet<ManifestDigest>;
}

/**
 * Creates the plan of an agent.
 *
 * @param input - engine, transfer and options
 * @returns the plan, without a version
 */
export function createVersionPlan(input: VersionPlanInput): VersionPlan {
    const { clock, logger, options, readProgress, readReport } = input;
    const manifests = new Map<ManifestDigest, Manifest>();
    /** Newest first. */
    const wanted: WantedVersion[] = [];
    /** Versions of which every chunk is in memory and verified, with the monotonic time since when. */
    const complete = new Map<number, Milliseconds>();
    let source: WeightSource | undefined;

    /** Version that the engine has loaded; 0 for none. */
    function readLoaded(): number {
        const weights = readReport()?.weights;
        return weights?.complete === true ? weights.version : 0;
    }

    function chooseVersion(): WantedVersion | undefined {
        return wanted.length === 0 ?
            undefined :
            chooseTarget({ wanted, held: Math.max(readLoaded(), ...complete.keys()), now: clock.monotonic(), options });
    }

    function readTransfer(newestComplete: number): VersionTransfer | undefined {
        const progress = readProgress();
        if (progress === undefined || progress.chunksTotal === 0) {
            return undefined;
        }
        const { version } = splitWeights(progress.manifestDigest);
        const share = progress.chunksComplete / progress.chunksTotal;
        return version <= newestComplete ? undefined : { version, share };
    }

    return {
        readSource: () => source,
        learnSource: value => {
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
        recordProgress: () => {
            const progress = readProgress();
            const version = progress?.complete === true ? splitWeights(progress.manifestDigest).version : undefined;
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
                complete: manifests.get(nameWeights(source.model, newestComplete)),
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
            const set = nameWeights(source.model, target.version);
            const manifest = manifests.get(set);
            const isTaken = [...complete.keys()].some(version => version > loaded && version !== target.version);
            return manifest === undefined || isTaken || target.version <= loaded ?
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
            return new Set([loaded, ...complete.keys()].map(version => nameWeights(model, version)));
        },
    };
}
