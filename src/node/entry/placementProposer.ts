import { createProposerMemory, type ProposerCommand, runProposer } from "../../runtime/placement/index.js";
import type { DeploymentName, Milliseconds, Offset } from "../../types/index.js";
import type { EntryContext } from "./context.js";

/** Runs the proposer of an entry instance and appends the proposed records to the log. */
export interface PlacementProposer {
    /** Runs the proposer once and starts the appends that it requests. */
    tick(): void;
}

/** Append whose record has not been read back from the log. */
interface PendingAppend {
    /** Offset of the record; undefined while the outcome of the append is not known. */
    offset: Offset | undefined;
    /** Monotonic time at which the append ended; undefined while it is in progress. */
    endedAt: Milliseconds | undefined;
}

/**
 * Age of the state above which nothing is proposed: if the log has not been read for that long, an append would most
 * likely fail as well.
 */
const maximumLogAge: Milliseconds = 10_000;

/**
 * Creates the proposer of an entry instance.
 *
 * @param context - the entry instance
 * @returns the proposer; `tick` has to be called regularly
 */
export function createPlacementProposer(context: EntryContext): PlacementProposer {
    const { clock, store } = context;
    const memory = createProposerMemory();
    const pending = new Map<DeploymentName, PendingAppend>();

    function isPending(deployment: DeploymentName): boolean {
        const append = pending.get(deployment);
        if (append === undefined) {
            return false;
        }
        // The outcome of an ambiguous append is known once the whole log has been read after the append ended.
        const settled = append.offset === undefined ?
            append.endedAt !== undefined && (store.logKnownAt ?? 0) > append.endedAt :
            store.state.appliedOffset >= append.offset;
        if (settled) {
            pending.delete(deployment);
        }
        return !settled;
    }

    async function append(command: ProposerCommand): Promise<void> {
        const row: PendingAppend = { offset: undefined, endedAt: undefined };
        pending.set(command.deployment, row);
        const result = await context.log.append(command.record);
        row.endedAt = clock.monotonic();
        context.metrics.appends.add(1, { kind: command.kind, result: result.isOk ? "appended" : result.error.code });
        if (result.isOk) {
            row.offset = result.value;
            return;
        }
        context.logger.warn({ deployment: command.deployment, error: result.error }, "append failed");
        if (!result.error.mayHaveTakenEffect) {
            pending.delete(command.deployment);
        }
    }

    function recordChanges(command: ProposerCommand): void {
        if (command.kind !== "append-placement") {
            return;
        }
        for (const change of command.changes) {
            context.decisions.record({
                kind: "placement",
                outcome: "chosen",
                deployment: command.deployment,
                choice: `${change.kind} ${change.instance}`.trim(),
                reason: change.reason,
                candidates: command.candidates,
            });
        }
    }

    return {
        tick: () => {
            const now = clock.monotonic();
            if (store.logKnownAt === undefined || now - store.logKnownAt > maximumLogAge) {
                return;
            }
            context.witnesses.set(context.self, {
                instance: context.self,
                heardAt: now,
                appliedOffset: store.state.appliedOffset,
                uptime: now - context.startedAt,
            });
            const commands = runProposer({
                self: context.self,
                state: store.state,
                instances: context.instances,
                observations: context.observations,
                witnesses: context.witnesses,
                memory,
                clock,
                random: context.random,
                options: context.settings.placement,
            });
            for (const command of commands) {
                if (!isPending(command.deployment)) {
                    recordChanges(command);
                    void append(command);
                }
            }
        },
    };
}
