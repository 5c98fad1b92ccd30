import type { FollowRequest } from "../../generated/goldcrestpoint_pb.js";
import type { CopyPhase } from "../../types/index.js";
import type { EntryContext } from "./context.js";

/**
 * Records the heartbeat of a follower: as an observation of an agent, or of an entry instance as a witness.
 *
 * @param context - the entry instance; its tables are changed
 * @param request - the heartbeat of an agent or of another entry instance
 */
export function recordHeartbeat(context: EntryContext, request: FollowRequest): void {
    const { instance } = request;
    const heardAt = context.clock.monotonic();
    const appliedOffset = Number(request.appliedOffset);
    if (context.instances.get(instance)?.role === "entry") {
        const uptime = Number(request.uptimeMilliseconds);
        context.witnesses.set(instance, { instance, heardAt, appliedOffset, uptime });
        return;
    }
    context.observations.set(instance, {
        instance,
        incarnation: request.incarnation,
        heardAt,
        appliedOffset,
        draining: request.draining,
        copies: request.copies.map(copy => ({
            deployment: copy.deployment,
            epoch: Number(copy.epoch),
            version: copy.version,
            manifestDigest: copy.manifestDigest,
            phase: copy.phase as CopyPhase,
            chunksComplete: copy.chunksComplete,
            chunksTotal: copy.chunksTotal,
        })),
    });
}
