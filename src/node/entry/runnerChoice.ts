import { resolveKeyOwner } from "../../runtime/idempotency/index.js";
import { type RoutingReason, type RunnerRow, type RunnerSubset, selectRunner } from "../../runtime/routing/index.js";
import type { InstanceId, ManifestDigest, Offset, RefusalReason } from "../../types/index.js";
import type { AgentClient } from "../grpc/index.js";
import type { EntryContext } from "./context.js";
import type { CallerRequest } from "./requestPipeline.js";
import type { RunnerDirectory } from "./runnerDirectory.js";

/** Runner to which a request is sent, or the reason why there is none. */
export type RunnerChoice =
    | {
        readonly kind: "chosen";
        readonly instance: InstanceId;
        /** Undefined if the instance is not in the subset of runners that this entry instance follows. */
        readonly runner: RunnerRow | undefined;
        readonly client: AgentClient;
        /** Undefined for plain services, and if the runner may answer with any weight set that it serves. */
        readonly manifestDigest: ManifestDigest | undefined;
        readonly placementOffset: Offset;
    }
    | { readonly kind: "none"; readonly reason: RefusalReason; readonly retryAfterSeconds: number; };

type Selection =
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
 * Chooses the runner of a request: the owner of the key if the request is not idempotent, otherwise a runner by load
 * and prompt prefix.
 *
 * @param context - the entry instance
 * @param directory - runners and connections
 * @param request - the request
 * @param excluded - instances on which earlier attempts failed
 * @param pinnedDigest - weight set that has to answer; undefined for any weight set that is served
 * @returns the choice; the choice of a runner has been written to the decision log
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
    const selection = selectFromSubset(context, subset, request, excluded, pinnedDigest);
    context.metrics.routingMicroseconds.record((context.clock.monotonic() - startedAt) * 1_000);
    if (selection.kind === "none") {
        return selection;
    }
    const { runner } = selection;
    const client = directory.connect(runner.instance);
    if (client === undefined) {
        return { kind: "none", reason: "no-runner", retryAfterSeconds: noDeploymentRetrySeconds };
    }
    recordChoice(context, request, runner.instance, selection.reason, selection.candidates);
    return {
        kind: "chosen",
        instance: runner.instance,
        runner,
        client,
        manifestDigest: runner.manifestDigest,
        placementOffset: placement.offset,
    };
}

function selectFromSubset(
    context: EntryContext,
    subset: RunnerSubset,
    request: CallerRequest,
    excluded: ReadonlySet<InstanceId>,
    pinnedDigest: ManifestDigest | undefined,
): Selection {
    const { instance, routing } = context.settings;
    const decision = selectRunner({
        subset,
        zone: instance.zone,
        region: instance.region,
        manifestDigest: pinnedDigest ?? drawServedDigest(context, subset),
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
 * Draws one of the weight sets that are being served at random, in proportion to the number of runners that serve it.
 * While a deployment changes to a new version, both versions thus get their share of the requests.
 */
function drawServedDigest(context: EntryContext, subset: RunnerSubset): ManifestDigest | undefined {
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
    // Only the owner may answer, so the request does not demand a weight set that the owner may not serve.
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
