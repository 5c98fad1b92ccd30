import { existsSync } from "node:fs";
import { implementations } from "../../../src/node/cli/implementations.js";
import type { FoldPort } from "../../../src/node/cli/types.js";
import { version2Defaults } from "../../../src/node/declaration/index.js";
import type { FoldState } from "../../../src/runtime/state/types.js";
import type { ConfigurationRow, LogEntry, Offset } from "../../../src/types/index.js";
import { createTable } from "../../../src/utils/index.js";

/** Fold of configuration records alone, as section 6 of the design describes it, without retention. */
const simpleFold: FoldPort = {
    createFoldState: () => {
        const state: object = {
            appliedOffset: 0,
            configurations: createTable<string, ConfigurationRow>(),
            placements: createTable(),
        };
        return state as FoldState;
    },
    foldEntry: (state, { offset, record }: LogEntry) => {
        (state as { appliedOffset: Offset; }).appliedOffset = offset;
        const row = state.configurations.get(record.deployment);
        if (record.kind !== "configuration" || record.base !== (row?.offset ?? 0)) {
            return "ignored-base";
        }
        const { declaration, deployment, refreshOf, writer, writtenAt } = record;
        const { objective, priority, updateStrategy } = declaration.schemaVersion === 2 ?
            declaration :
            row ?? version2Defaults;
        state.configurations.set(deployment, {
            deployment,
            offset,
            revision: refreshOf?.revision ?? (row?.revision ?? 0) + 1,
            writer,
            writtenAt,
            schemaVersion: declaration.schemaVersion,
            kind: declaration.kind,
            weights: declaration.weights,
            replicas: declaration.replicas,
            pool: declaration.pool ?? deployment,
            objective,
            priority,
            updateStrategy,
        });
        return "accepted";
    },
    beginAfterTruncation: () => undefined,
};

/**
 * Loads the project's fold; on a branch that does not have it yet, a simple one takes its place.
 *
 * @returns the fold
 */
export async function loadFold(): Promise<FoldPort> {
    const path = new URL("../../../src/runtime/state/index.ts", import.meta.url);
    return existsSync(path) ? await implementations.state() : simpleFold;
}
