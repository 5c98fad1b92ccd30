import { resolveKeyOwner } from "../../runtime/idempotency/index.js";
import { type RoutingReason, type RunnerRow, type RunnerSubset, selectRunner } from "../../runtime/routing/index.js";
import type { InstanceId, ManifestDigest, Offset, RefusalReason } from "../../types/index.js";
import type { AgentClient } from "../grpc/index.js";
import type { EntryContext } from "./context.js";
import type { CallerRequest } from "./requestPipeline.js";
import type { RunnerDirectory } from "./runnerDirectory.js";

/** Where a request is sent. */
export type RunnerChoice =
    | {
        readonly kind: "chosen";
        readonly instance: InstanceId;
        /** Undefined if the instance is not in the subset that this entry instance follows. */
        readonly runner: RunnerRow | undefined;
        readonly client: AgentClient;
        /** Undefined for plain services and when the agent names the set itself. */
        readonly manifestDigest: ManifestDigest | undefined;
        readonly placementOffset: Offset;
    }
    | { readonly kind: "none"; readonly reason: RefusalReason; readonly retryAfterSeconds: number; };

type Location =
    | {
        readonly kind: "found";
        readonly runner: RunnerRow;
        readonly reason: RoutingReason;
        readonly candidates: number;
    }
    | { readonly kind: "none"; readonly reason: RefusalReason; readonly retryAfterSeconds: number; };

const noDeploymentRetrySeconds = 5;
const noOwnerRetrySeconds = 2;

/**
 * Chooses the runner of a request: the owner of its key for a non-idempotent one, else by load and prefix.
 *
 * @param context - the entry instance
 * @param directory - runners and connections
 * @param request - the request
 * @param excluded - instances on which earlier attempts failed
 * @param pinnedDigest - set that has to answer; undefined for any set that is served
 * @returns the choice; it has been written to the decision log
 */
export function chooseRunner(
    context: EntryContext,
    directory: RunnerDirectory,
    request: CallerRequest,
    excluded: ReadonlySet<InstanceId>,
    pinnedDigest: ManifestDigest | undefined,
): RunnerChoice {
    const { row } = request;
    const placement = context.store.state.placements.get(row.deployment);
    const subset = directory.findSubset(row.deployment);
    if (placement === undefined || subset === undefined) {
        return { kind: "none", reason: "no-deployment", retryAfterSeconds: noDeploymentRetrySeconds };
    }
    if (!row.idempotent && row.idempotencyKey !== undefined) {
        return chooseKeyOwner(context, directory, request, placement.offset, placement.owners);
    }
    const startedAt = context.clock.monotonic();
    const location = locate(context, subset, request, excluded, pinnedDigest);
    context.metrics.routingMicroseconds.record((context.clock.monotonic() - startedAt) * 1_000);
    if (location.kind === "none") {
        return location;
    }
    const { runner } = location;
    const client = directory.connect(runner.instance);
    if (client === undefined) {
        return { kind: "none", reason: "no-runner", retryAfterSeconds: noDeploymentRetrySeconds };
    }
    recordChoice(context, request, runner.instance, location.reason, location.candidates);
    return {
        kind: "chosen",
        instance: runner.instance,
        runner,
        client,
        manifestDigest: runner.manifestDigest,
        placementOffset: placement.offset,
    };
}

function locate(
    context: EntryContext,
    subset: RunnerSubset,
    request: CallerRequest,
    excluded: ReadonlySet<InstanceId>,
    pinnedDigest: ManifestDigest | undefined,
): Location {
    const { instance, routing } = context.settings;
    const decision = selectRunner({
        subset,
        zone: instance.zone,
        region: instance.region,
        manifestDigest: pinnedDigest ?? drawServedSet(context, subset),
        prefix: request.row.prefix,
        excluded,
        now: context.clock.monotonic(),
        random: context.random,
        options: routing,
    });
    if (decision.kind === "none") {
        return decision;
    }
    return { kind: "found", runner: decision.runner, reason: decision.reason, candidates: decision.candidates };
}

/**
 * Draws one of the sets that are being served, in proportion to the runners that serve it. While a deployment moves to
 * a new version, both versions get their share of the requests.
 */
function drawServedSet(context: EntryContext, subset: RunnerSubset): ManifestDigest | undefined {
    const serving = subset.runners.filter(({ phase, draining }) => phase === "serving" && !draining);
    return serving[Math.floor(context.random.next() * serving.length)]?.manifestDigest;
}

function chooseKeyOwner(
    context: EntryContext,
    directory: RunnerDirectory,
    request: CallerRequest,
    placementOffset: Offset,
    owners: readonly InstanceId[],
): RunnerChoice {
    const owner = resolveKeyOwner(owners, request.row.idempotencyKey!);
    const client = owner === undefined ? undefined : directory.connect(owner);
    if (owner === undefined || client === undefined) {
        return { kind: "none", reason: "no-runner", retryAfterSeconds: noOwnerRetrySeconds };
    }
    const runner = directory.findSubset(request.row.deployment)?.runners.find(({ instance }) => instance === owner);
    recordChoice(context, request, owner, "key-owner", owners.length);
    // The owner answers with the set that it serves, so no other instance can be asked instead.
    return { kind: "chosen", instance: owner, runner, client, manifestDigest: undefined, placementOffset };
}

function recordChoice(
    context: EntryContext,
    request: CallerRequest,
    instance: InstanceId,
    reason: string,
    candidates: number,
): void {
    context.decisions.record({
        kind: "routing",
        outcome: "chosen",
        deployment: request.row.deployment,
        requestId: request.row.requestId,
        choice: instance,
        reason,
        candidates,
    });
}
