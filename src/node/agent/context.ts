import type { Logger } from "pino";
import type { AdmissionTable } from "../../runtime/admission/index.js";
import type { Ledger, OwnershipHistory } from "../../runtime/idempotency/index.js";
import type {
    BackendServerPort,
    Clock,
    DeploymentName,
    InstanceId,
    InstanceRow,
    Milliseconds,
    RandomSource,
} from "../../types/index.js";
import type { Table } from "../../utils/index.js";
import type { DecisionLog } from "../logging/index.js";
import type { Metrics } from "../metrics/index.js";
import type { StateStore } from "../relay/index.js";
import type { AgentSettings } from "../settings/index.js";

/** State and services that the parts of an agent share. */
export interface AgentContext {
    readonly self: InstanceId;
    readonly incarnation: string;
    readonly settings: AgentSettings;
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly logger: Logger;
    readonly decisions: DecisionLog;
    readonly metrics: Metrics;
    readonly startedAt: Milliseconds;
    readonly backend: BackendServerPort;
    readonly store: StateStore;
    readonly instances: Table<InstanceId, InstanceRow>;
    readonly admission: AdmissionTable;
    readonly ledger: Ledger;
    /** Owners of idempotency keys in each deployment that this instance has belonged to. */
    readonly ownership: Map<DeploymentName, OwnershipHistory>;
}
