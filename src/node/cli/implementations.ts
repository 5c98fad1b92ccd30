import type { FoldState } from "../../runtime/state/types.js";
import type { LogPort, Manifest, ManifestDigest, Milliseconds, Offset, OriginPort } from "../../types/index.js";
import type { AgentSettings, EntrySettings } from "../settings/index.js";
import type { FoldPort } from "./types.js";

/** What the command line uses of `src/runtime/state`. */
export interface StateModule extends Pick<FoldPort, "createFoldState" | "foldEntry"> {
    beginAfterTruncation(state: FoldState, firstOffset: Offset, retention?: Milliseconds): void;
}

/** What the command line uses of `src/runtime/distribution`. */
export interface DistributionModule {
    readonly computeManifestDigest: (manifest: Manifest) => ManifestDigest;
}

interface ClientTimeouts {
    readonly head?: Milliseconds;
    readonly total?: Milliseconds;
}

/** What the command line uses of `src/node/platform`. */
export interface PlatformModule {
    createLogClient(options: { baseUrl: string; timeouts?: ClientTimeouts; }): LogPort & AsyncDisposable;
    createOriginClient(
        options: { weightStoreBaseUrl: string; originBaseUrl?: string; timeouts?: ClientTimeouts; },
    ): OriginPort & AsyncDisposable;
}

/** What the command line uses of `src/node/entry`; the daemon drains on SIGTERM and the promise resolves at its end. */
export interface EntryModule {
    runEntry(settings: EntrySettings): Promise<void>;
}

/** What the command line uses of `src/node/agent`; the daemon drains on SIGTERM and the promise resolves at its end. */
export interface AgentModule {
    runAgent(settings: AgentSettings): Promise<void>;
}

interface ServerAddress {
    readonly host: string;
    readonly port: number;
}

/** What the command line uses of `src/standIn`. */
export interface StandInModule {
    startPlatformStandIn(
        options: ServerAddress & {
            log: { retentionMilliseconds: Milliseconds; appendsPerSecond: number; };
            instances: { lagMilliseconds: Milliseconds; };
            weightSets: readonly {
                model: string;
                adapter: string;
                version: string;
                totalBytes: number;
                chunkBytes: number;
            }[];
            originBytesPerSecond: number;
            manifestReadsPerSecond: number;
        },
    ): Promise<AsyncDisposable>;
    startEngineStandIn(
        options: ServerAddress & {
            behaviour: {
                capacity: number;
                tokenMilliseconds: Milliseconds;
                cachedPrefixes: number;
                oldTokens: "refuse" | "ignore";
                loadLagMilliseconds: Milliseconds;
            };
        },
    ): Promise<AsyncDisposable>;
    startServiceStandIn(
        options: ServerAddress & { behaviour: { capacity: number; workMilliseconds: Milliseconds; }; },
    ): Promise<AsyncDisposable>;
}

async function load<Module>(path: string): Promise<Module> {
    return await import(new URL(path, import.meta.url).href) as Module;
}

/**
 * Loads modules when a command needs them, so that an agent loads only what it uses. The paths are resolved at run time
 * because the daemons and this command line are built on branches of their own.
 */
export const implementations = {
    state: () => load<StateModule>("../../runtime/state/index.js"),
    distribution: () => load<DistributionModule>("../../runtime/distribution/index.js"),
    platform: () => load<PlatformModule>("../platform/index.js"),
    entry: () => load<EntryModule>("../entry/index.js"),
    agent: () => load<AgentModule>("../agent/index.js"),
    standIn: () => load<StandInModule>("../../standIn/index.js"),
} as const;
