import type { Logger } from "pino";
import type { AdmissionTable } from "../../runtime/admission/index.js";
import type { WitnessObservation } from "../../runtime/placement/index.js";
import type { RetryBudget, SuspectTable } from "../../runtime/retry/index.js";
import type {
    AgentObservation,
    Clock,
    InstanceId,
    InstanceRow,
    LogPort,
    Milliseconds,
    RandomSource,
} from "../../types/index.js";
import type { Table } from "../../utils/index.js";
import type { DecisionLog } from "../logging/index.js";
import type { StateStore } from "../relay/index.js";
import type { EntrySettings } from "../settings/index.js";
import type { EntryMetrics } from "./entryMetrics.js";

/** State, clients and settings that the modules of an entry instance share. */
export interface EntryContext {
    readonly self: InstanceId;
    readonly settings: EntrySettings;
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly logger: Logger;
    readonly decisions: DecisionLog;
    readonly metrics: EntryMetrics;
    readonly startedAt: Milliseconds;
    readonly log: LogPort;
    readonly store: StateStore;
    readonly instances: Table<InstanceId, InstanceRow>;
    readonly observations: Table<InstanceId, AgentObservation>;
    readonly witnesses: Table<InstanceId, WitnessObservation>;
    readonly admission: AdmissionTable;
    readonly retryBudget: RetryBudget;
    readonly suspects: SuspectTable;
}
