import { err, ok, type Result } from "true-myth/result";
import type { PlacementOptions } from "../../runtime/placement/types.js";
import type { GoldcrestpointError } from "../../types/index.js";
import { daemonSections } from "./daemonSections.js";
import { decisionSections } from "./decisionSections.js";
import { gatewaySections } from "./gatewaySections.js";
import { type DerivedMemoryLimits, limitHeldAnswers } from "./heldAnswers.js";
import { createProblemError, type SettingsProblem } from "./problems.js";
import { type ResolvedSections, resolveSections, type SettingsSources } from "./resolveSections.js";
import { standInSections } from "./standInSections.js";
import { deriveVersionTimes, limitLastWave } from "./versionTimes.js";

/** All sections of the settings, in the order of the documentation. */
export const allSections = { ...daemonSections, ...decisionSections, ...gatewaySections, ...standInSections } as const;

/** Resolved values of all sections. */
export type AllSettings = ResolvedSections<typeof allSections>;

/** Settings of an entry instance. Durations are in milliseconds. */
export interface EntrySettings extends
    Pick<
        AllSettings,
        "instance" | "platform" | "relay" | "hold" | "routing" | "admission" | "retry" | "idempotency" | "log"
    >
{
    /** Options of the proposer; the duration and the margin of a hold come from `[hold]`. */
    readonly placement: PlacementOptions;
}

/** Settings of an agent. Durations are in milliseconds. */
export type AgentSettings = Pick<
    AllSettings,
    | "instance"
    | "platform"
    | "relay"
    | "hold"
    | "placement"
    | "backendServer"
    | "distribution"
    | "admission"
    | "idempotency"
    | "log"
>;

/** Settings of a gateway. Durations are in milliseconds. */
export type GatewaySettings =
    & Pick<
        AllSettings,
        "instance" | "platform" | "gateway" | "replica" | "routing" | "admission" | "retry" | "log"
    >
    & { readonly gateway: DerivedMemoryLimits; };

/** Settings of an agent on the platform, where gateways route the requests. Durations are in milliseconds. */
export type WeightAgentSettings =
    & Pick<
        AllSettings,
        "instance" | "platform" | "gateway" | "replica" | "weightAgent" | "distribution" | "log"
    >
    & { readonly gateway: DerivedMemoryLimits; };

/** Settings of the stand-ins. Durations are in milliseconds. */
export type StandInSettings = Pick<AllSettings, "standInPlatform" | "standInEngine" | "standInService" | "log">;

/** Settings of the operator commands. Durations are in milliseconds. */
export type OperatorSettings = Pick<AllSettings, "platform" | "placement" | "operator" | "log">;

type Check = (values: AllSettings) => Omit<SettingsProblem, "source"> | undefined;

/** Constraints between keys. */
const checks: readonly Check[] = [
    ({ hold, relay }) =>
        hold.duration >= 2 * relay.heartbeat ? undefined : {
            section: "hold",
            key: "holdSeconds",
            value: String(hold.duration / 1_000),
            allowed: `at least two heartbeats ([relay] heartbeatMilliseconds = ${relay.heartbeat})`,
        },
    ({ placement, relay }) =>
        placement.unreachableAfter >= 2 * relay.heartbeat ? undefined : {
            section: "placement",
            key: "unreachableAfterMilliseconds",
            value: String(placement.unreachableAfter),
            allowed: `at least two heartbeats ([relay] heartbeatMilliseconds = ${relay.heartbeat})`,
        },
    ({ relay }) =>
        relay.silentAfter >= 2 * relay.heartbeat ? undefined : {
            section: "relay",
            key: "silentAfterMilliseconds",
            value: String(relay.silentAfter),
            allowed: `at least two heartbeats ([relay] heartbeatMilliseconds = ${relay.heartbeat})`,
        },
    ({ placement, hold }) =>
        placement.retention >= 4 * (hold.duration + hold.margin) ? undefined : {
            section: "placement",
            key: "retentionSeconds",
            value: String(placement.retention / 1_000),
            allowed: "at least four times the sum of [hold] holdSeconds and marginSeconds",
        },
    ({ gateway, replica }) =>
        replica.relayStaleAfter + replica.maximumRankDelay < gateway.outageAfter ? undefined : {
            section: "gateway",
            key: "outageAfterMilliseconds",
            value: String(gateway.outageAfter),
            allowed: "more than the sum of [replica] relayStaleAfterMilliseconds and maximumRankDelayMilliseconds",
        },
];

function resolveAll(
    sources: SettingsSources,
): Result<AllSettings & { readonly gateway: DerivedMemoryLimits; }, GoldcrestpointError> {
    const { values, problems } = resolveSections(allSections, sources);
    const source = sources.file?.name ?? "settings";
    const found = problems.length > 0 ?
        problems :
        checks.flatMap(check => check(values) ?? []).map(problem => ({ source, ...problem }));
    if (found.length > 0) {
        return err(createProblemError("SETTINGS_INVALID", "resolve settings", found));
    }
    const { gateway, instance, weightAgent } = values;
    const derived = limitHeldAnswers(deriveVersionTimes(gateway));
    return ok({
        ...values,
        gateway: derived,
        weightAgent: { ...weightAgent, lastWaveAfter: limitLastWave(weightAgent.lastWaveAfter, derived) },
        instance: { ...instance, id: instance.id === "" ? instance.grpcAddress : instance.id },
    });
}

/**
 * Resolves the settings of an entry instance.
 *
 * @param sources - flags, environment and file
 * @returns the settings; `SETTINGS_INVALID` with one line for each problem
 */
export function resolveEntrySettings(sources: SettingsSources): Result<EntrySettings, GoldcrestpointError> {
    return resolveAll(sources).map(all => ({
        instance: all.instance,
        platform: all.platform,
        relay: all.relay,
        hold: all.hold,
        placement: { ...all.placement, holdDuration: all.hold.duration, holdMargin: all.hold.margin },
        routing: all.routing,
        admission: all.admission,
        retry: all.retry,
        idempotency: all.idempotency,
        log: all.log,
    }));
}

/**
 * Resolves the settings of an agent.
 *
 * @param sources - flags, environment and file
 * @returns the settings; `SETTINGS_INVALID` with one line for each problem
 */
export function resolveAgentSettings(sources: SettingsSources): Result<AgentSettings, GoldcrestpointError> {
    return resolveAll(sources).map(all => ({
        instance: all.instance,
        platform: all.platform,
        relay: all.relay,
        hold: all.hold,
        placement: all.placement,
        backendServer: all.backendServer,
        distribution: all.distribution,
        admission: all.admission,
        idempotency: all.idempotency,
        log: all.log,
    }));
}

/**
 * Resolves the settings of a gateway.
 *
 * @param sources - flags, environment and file
 * @returns the settings; `SETTINGS_INVALID` with one line for each problem
 */
export function resolveGatewaySettings(sources: SettingsSources): Result<GatewaySettings, GoldcrestpointError> {
    return resolveAll(sources);
}

/**
 * Resolves the settings of an agent on the platform, where gateways route the requests.
 *
 * @param sources - flags, environment and file
 * @returns the settings; `SETTINGS_INVALID` with one line for each problem
 */
export function resolveWeightAgentSettings(
    sources: SettingsSources,
): Result<WeightAgentSettings, GoldcrestpointError> {
    return resolveAll(sources);
}

/**
 * Resolves the settings of the stand-ins.
 *
 * @param sources - flags, environment and file
 * @returns the settings; `SETTINGS_INVALID` with one line for each problem
 */
export function resolveStandInSettings(sources: SettingsSources): Result<StandInSettings, GoldcrestpointError> {
    return resolveAll(sources).map(all => ({
        standInPlatform: all.standInPlatform,
        standInEngine: all.standInEngine,
        standInService: all.standInService,
        log: all.log,
    }));
}

/**
 * Resolves the settings of the operator commands.
 *
 * @param sources - flags, environment and file
 * @returns the settings; `SETTINGS_INVALID` with one line for each problem
 */
export function resolveOperatorSettings(sources: SettingsSources): Result<OperatorSettings, GoldcrestpointError> {
    return resolveAll(sources).map(all => ({
        platform: all.platform,
        placement: all.placement,
        operator: all.operator,
        log: all.log,
    }));
}
