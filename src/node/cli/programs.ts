import { err, ok, type Result } from "true-myth/result";
import type { GoldcrestpointError } from "../../types/index.js";
import { resolveAgentSettings, resolveEntrySettings, resolveStandInSettings } from "../settings/index.js";
import type { SettingsSources, StandInSettings } from "../settings/index.js";
import { implementations } from "./implementations.js";
import type { CommandLineDependencies, ProgramStarter } from "./types.js";

function splitAddress(address: string): { readonly host: string; readonly port: number; } {
    const separator = address.lastIndexOf(":");
    return {
        host: address.slice(0, separator).replace(/^\[|\]$/g, ""),
        port: Number(address.slice(separator + 1)),
    };
}

function waitForSignal(): Promise<void> {
    return new Promise(resolve => {
        process.once("SIGTERM", () => resolve());
        process.once("SIGINT", () => resolve());
    });
}

function startPlatform(module: StandInModule, { standInPlatform }: StandInSettings): Promise<AsyncDisposable> {
    return module.startPlatformStandIn({
        ...splitAddress(standInPlatform.httpAddress),
        log: { retentionMilliseconds: standInPlatform.retention, appendsPerSecond: standInPlatform.appendsPerSecond },
        instances: { lagMilliseconds: standInPlatform.instanceListLag },
        weightSets: standInPlatform.weightSets.map(name => {
            const [model = "", adapter = "", version = ""] = name.split(":");
            const { modelBytes, chunkBytes } = standInPlatform;
            return { model, adapter, version, totalBytes: modelBytes, chunkBytes };
        }),
        originBytesPerSecond: standInPlatform.originBytesPerSecond,
        manifestReadsPerSecond: standInPlatform.manifestReadsPerSecond,
    });
}

function startEngine(module: StandInModule, { standInEngine }: StandInSettings): Promise<AsyncDisposable> {
    return module.startEngineStandIn({
        ...splitAddress(standInEngine.httpAddress),
        behaviour: {
            capacity: standInEngine.capacityRequests,
            tokenMilliseconds: 1_000 / standInEngine.tokensPerSecond,
            cachedPrefixes: standInEngine.cachePrefixes,
            oldTokens: standInEngine.checksFencing ? "refuse" : "ignore",
            loadLagMilliseconds: standInEngine.reportLag,
        },
    });
}

function startService(module: StandInModule, { standInService }: StandInSettings): Promise<AsyncDisposable> {
    return module.startServiceStandIn({
        ...splitAddress(standInService.httpAddress),
        behaviour: { capacity: standInService.capacityRequests, workMilliseconds: standInService.serviceTime },
    });
}

type StandInModule = Awaited<ReturnType<typeof implementations.standIn>>;

type StandInStarter = (module: StandInModule, settings: StandInSettings) => Promise<AsyncDisposable>;

function createStandInProgram(start: StandInStarter): ProgramStarter {
    return sources =>
        runWithSettings(resolveStandInSettings, sources, async settings => {
            const standIn = await start(await implementations.standIn(), settings);
            await waitForSignal();
            await standIn[Symbol.asyncDispose]();
            return ok(undefined);
        });
}

async function runWithSettings<Settings>(
    resolve: (sources: SettingsSources) => Result<Settings, GoldcrestpointError>,
    sources: SettingsSources,
    run: (settings: Settings) => Promise<Result<void, GoldcrestpointError>>,
): Promise<Result<void, GoldcrestpointError>> {
    const settings = resolve(sources);
    if (settings.isErr) {
        return err(settings.error);
    }
    return run(settings.value);
}

/** Daemons and stand-ins by name. */
export const programs: CommandLineDependencies["programs"] = {
    entry: sources =>
        runWithSettings(
            resolveEntrySettings,
            sources,
            async settings => (await implementations.entry()).runEntry(settings),
        ),
    agent: sources =>
        runWithSettings(
            resolveAgentSettings,
            sources,
            async settings => (await implementations.agent()).runAgent(settings),
        ),
    platform: createStandInProgram(startPlatform),
    engine: createStandInProgram(startEngine),
    service: createStandInProgram(startService),
};
