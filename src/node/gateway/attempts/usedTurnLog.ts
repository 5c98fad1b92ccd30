import type { Logger } from "pino";
import type { Clock, ListedBackendServer, Milliseconds } from "../../../types/index.js";
import type { UsedTurn } from "../../httpClient/index.js";
import type { GatewayMetrics } from "../gatewayMetrics.js";

/** Reports backend servers whose responses take much of the event loop. */
export interface UsedTurnLog {
    /**
     * Records a turn of the event loop that a response has used up.
     *
     * @param server - backend server that sends the response
     * @param used - the turn
     */
    record(server: ListedBackendServer, used: UsedTurn): void;
}

interface UsedRow {
    startedAt: Milliseconds;
    turns: number;
    busy: Milliseconds;
}

/** Time over which the turns of a backend server are added up. */
const logInterval: Milliseconds = 1_000;
/** Time of them from which on there is a line in the log. */
const loggedTime: Milliseconds = 50;
/** Maximum number of backend servers whose turns are added up; the one added first is forgotten. */
const maximumRows = 1_000;

/**
 * Creates the log.
 *
 * @param clock - time source
 * @param logger - gets a line for each backend server at most once a second
 * @param metrics - counts the turns
 * @returns the log
 */
export function createUsedTurnLog(
    clock: Pick<Clock, "monotonic">,
    logger: Logger,
    metrics: Pick<GatewayMetrics, "countUsedTurn">,
): UsedTurnLog {
    const rows = new Map<string, UsedRow>();

    function find(instance: string, now: Milliseconds): UsedRow {
        const known = rows.get(instance);
        if (known !== undefined && now - known.startedAt <= logInterval) {
            return known;
        }
        const row: UsedRow = { startedAt: now, turns: 0, busy: 0 };
        rows.delete(instance);
        rows.set(instance, row);
        if (rows.size > maximumRows) {
            rows.delete(rows.keys().next().value!);
        }
        return row;
    }

    return {
        record: ({ instance, service }, { busy, peer }) => {
            metrics.countUsedTurn(service);
            const row = find(instance, clock.monotonic());
            const wasLogged = row.busy >= loggedTime;
            row.turns++;
            row.busy += busy;
            if (!wasLogged && row.busy >= loggedTime) {
                const busyMilliseconds = Math.round(row.busy);
                logger.warn(
                    { peer: instance, address: peer, service, turns: row.turns, busyMilliseconds },
                    "responses take much of the process",
                );
            }
        },
    };
}
